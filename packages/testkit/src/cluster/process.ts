/**
 * Processes within one Node process: each timer belongs to the process whose
 * code set it, so that a process can be frozen or killed as a whole.
 */
import {AsyncLocalStorage} from 'node:async_hooks';

const current = new AsyncLocalStorage<SimulatedProcess | undefined>();

interface Held {
  readonly handle: object | undefined;
  readonly run: () => void;
}

/** One process, from its start to its end. */
export class SimulatedProcess {
  private frozen = false;
  private held: Held[] = [];
  private readonly endings: (() => void)[] = [];
  hasExited = false;

  /** Runs `work` as code of this process. */
  run<T>(work: () => T): T {
    return current.run(this, work);
  }

  /** Runs `work` now, once the process thaws, or never if it has ended. */
  dispatch(work: () => void, handle?: object): void {
    if (this.hasExited) return;
    if (!this.frozen) return this.run(work);
    // A repeating timer that was missed several times runs once.
    if (handle && this.held.some(held => held.handle === handle)) return;
    this.held.push({handle, run: work});
  }

  /** Runs nothing from here on until `thaw`; the clock moves on. */
  freeze(): void {
    this.frozen = true;
  }

  isFrozen(): boolean {
    return this.frozen;
  }

  thaw(): void {
    this.frozen = false;
    while (this.held.length > 0 && !this.frozen && !this.hasExited) {
      this.run(this.held.shift()!.run);
    }
  }

  /** Ends the process without letting it do anything more. */
  kill(): void {
    if (this.hasExited) return;
    this.hasExited = true;
    this.held = [];
    for (const ending of this.endings) ending();
  }

  /** Called when the process ends, as its connections are then closed. */
  onExit(ending: () => void): void {
    if (this.hasExited) ending();
    else this.endings.push(ending);
  }
}

/** The process whose code runs now. */
export function currentProcess(): SimulatedProcess | undefined {
  return current.getStore();
}

/** Runs `work` as code of no process, such as the network's. */
export function runOutsideProcess<T>(work: () => T): T {
  return current.run(undefined, work);
}
