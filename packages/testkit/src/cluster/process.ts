/**
 * Simulated processes within one Node process. Each timer belongs to the
 * simulated process whose code set the timer, so that a simulated process can
 * be frozen or killed as a whole.
 */
import {AsyncLocalStorage} from 'node:async_hooks';

const current = new AsyncLocalStorage<SimulatedProcess | undefined>();

interface DeferredWork {
  readonly handle: object | undefined;
  readonly run: () => void;
}

/** A simulated process, from its start to its exit. */
export class SimulatedProcess {
  private frozen = false;
  private deferred: DeferredWork[] = [];
  private readonly exitHandlers: (() => void)[] = [];
  hasExited = false;

  /** Runs `work` in the context of this process. */
  run<T>(work: () => T): T {
    return current.run(this, work);
  }

  /**
   * Runs `work` in this process: at once, or after the thaw if the process is
   * frozen. Does nothing if the process has exited. Only one deferred run is
   * kept for each `handle`.
   */
  dispatch(work: () => void, handle?: object): void {
    if (this.hasExited) return;
    if (!this.frozen) return this.run(work);
    // A repeating timer that fired several times while frozen runs once.
    if (handle && this.deferred.some(entry => entry.handle === handle)) return;
    this.deferred.push({handle, run: work});
  }

  /** Defers all work until `thaw`, while the clock advances. */
  freeze(): void {
    this.frozen = true;
  }

  isFrozen(): boolean {
    return this.frozen;
  }

  /** Runs the deferred work in order and continues the process. */
  thaw(): void {
    this.frozen = false;
    while (this.deferred.length > 0 && !this.frozen && !this.hasExited) {
      this.run(this.deferred.shift()!.run);
    }
  }

  /** Ends the process at once; its deferred work is dropped. */
  kill(): void {
    if (this.hasExited) return;
    this.hasExited = true;
    this.deferred = [];
    for (const handler of this.exitHandlers) handler();
  }

  /** Registers a function to run at exit, for example to close connections. */
  onExit(handler: () => void): void {
    if (this.hasExited) handler();
    else this.exitHandlers.push(handler);
  }
}

/** Returns the simulated process whose code is running. */
export function currentProcess(): SimulatedProcess | undefined {
  return current.getStore();
}

/** Runs `work` outside any simulated process, for example for the network. */
export function runOutsideProcess<T>(work: () => T): T {
  return current.run(undefined, work);
}
