/**
 * Processes within one Node process: each timer belongs to the process whose
 * code set it, so that a process can be frozen or killed as a whole.
 */
import {AsyncLocalStorage} from 'node:async_hooks';

const current = new AsyncLocalStorage<Owner | undefined>();

interface Held {
  readonly handle: object | undefined;
  readonly run: () => void;
}

/** One process, from its start to its end. */
export class Owner {
  private frozen = false;
  private held: Held[] = [];
  private readonly endings: (() => void)[] = [];
  ended = false;

  /** Runs `work` as code of this process. */
  run<T>(work: () => T): T {
    return current.run(this, work);
  }

  /** Runs `work` now, once the process thaws, or never if it has ended. */
  enter(work: () => void, handle?: object): void {
    if (this.ended) return;
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
    while (this.held.length > 0 && !this.frozen && !this.ended) {
      this.run(this.held.shift()!.run);
    }
  }

  /** Ends the process without letting it do anything more. */
  kill(): void {
    if (this.ended) return;
    this.ended = true;
    this.held = [];
    for (const ending of this.endings) ending();
  }

  /** Called when the process ends, as its connections are then closed. */
  onEnd(ending: () => void): void {
    if (this.ended) ending();
    else this.endings.push(ending);
  }

  cancel(handle: object): void {
    this.held = this.held.filter(held => held.handle !== handle);
  }
}

/** The process whose code runs now. */
export function currentOwner(): Owner | undefined {
  return current.getStore();
}

/** Runs `work` as code of no process, such as the network's. */
export function outside<T>(work: () => T): T {
  return current.run(undefined, work);
}

type Callback = (...args: unknown[]) => void;
type Setter = (callback: Callback, ...rest: unknown[]) => object;
type Clearer = (handle: object | undefined) => void;

const SETTERS = ['setTimeout', 'setInterval', 'setImmediate'] as const;
const CLEARERS = ['clearTimeout', 'clearInterval', 'clearImmediate'] as const;

/**
 * Lets the timer functions in force, such as those of a paused clock, keep
 * track of owners. Returns what undoes it.
 */
export function ownTimers(): () => void {
  const functions = globalThis as unknown as Record<string, unknown>;
  const before = new Map<string, unknown>();
  const owners = new WeakMap<object, Owner>();
  for (const name of SETTERS) {
    const original = functions[name] as Setter;
    before.set(name, original);
    functions[name] = (callback: Callback, ...rest: unknown[]) => {
      const owner = current.getStore();
      if (!owner) return original(callback, ...rest);
      const args = name === 'setImmediate' ? rest : rest.slice(1);
      const delays = name === 'setImmediate' ? [] : rest.slice(0, 1);
      const handle = original(
        () => owner.enter(() => callback(...args), handle),
        ...delays,
      );
      owners.set(handle, owner);
      return handle;
    };
  }
  for (const name of CLEARERS) {
    const original = functions[name] as Clearer;
    before.set(name, original);
    functions[name] = (handle: object | undefined) => {
      if (typeof handle === 'object') owners.get(handle)?.cancel(handle);
      original(handle);
    };
  }
  return () => {
    for (const [name, value] of before) functions[name] = value;
  };
}
