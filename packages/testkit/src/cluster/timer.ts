/**
 * Timer functions that know which process set a timer. They keep the timers
 * in a heap over one timer of the clock in force, since a paused clock
 * searches all of its timers at each step.
 */
import {
  currentProcess,
  runOutsideProcess,
  type SimulatedProcess,
} from './process.js';

type Callback = (...args: unknown[]) => void;

class Timer {
  cleared = false;

  constructor(
    readonly process: SimulatedProcess | undefined,
    readonly callback: () => void,
    /** Repeats after this time; absent for a single run. */
    readonly everyMs: number | undefined,
    public atMs: number,
    public order: number,
  ) {}

  ref(): this {
    return this;
  }

  unref(): this {
    return this;
  }
}

function before(a: Timer, b: Timer): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Replaces the timer functions in force; returns what undoes it. */
export function installProcessTimers(): () => void {
  const {setTimeout: set, clearTimeout: clear} = globalThis;
  const {setImmediate: setNow, clearImmediate: clearNow} = globalThis;
  const heap: Timer[] = [];
  let order = 0;
  let armed: {atMs: number; cancel: () => void} | undefined;

  function arm(): void {
    const first = heap[0];
    if (!first || (armed && armed.atMs <= first.atMs)) return;
    armed?.cancel();
    armed = {
      atMs: first.atMs,
      cancel: runOutsideProcess(() => start(first.atMs)),
    };
  }

  /** A timer of 0 ms would wait for 1 ms, unlike an immediate. */
  function start(atMs: number): () => void {
    const waitMs = atMs - performance.now();
    if (waitMs <= 0) {
      const handle = setNow(fire);
      return () => clearNow(handle);
    }
    const handle = set(fire, waitMs);
    return () => clear(handle);
  }

  function fire(): void {
    armed = undefined;
    const timer = heap[0];
    if (timer && timer.atMs <= performance.now()) {
      remove(heap);
      if (!timer.cleared && !timer.process?.hasExited) run(timer);
    }
    arm();
  }

  function run(timer: Timer): void {
    const {process, callback, everyMs} = timer;
    if (everyMs !== undefined) add(timer, everyMs);
    const once = () => {
      if (!timer.cleared) callback();
    };
    if (process) process.dispatch(once, timer);
    else runOutsideProcess(once);
  }

  function add(timer: Timer, delayMs: number): Timer {
    timer.atMs = performance.now() + Math.max(0, delayMs);
    timer.order = ++order;
    insert(heap, timer);
    arm();
    return timer;
  }

  function setter(repeats: boolean, immediate: boolean) {
    return (callback: Callback, ...rest: unknown[]) => {
      const delayMs = immediate ? 0 : Math.max(1, Number(rest.shift() ?? 0));
      const run = () => callback(...rest);
      const everyMs = repeats ? delayMs : undefined;
      return add(new Timer(currentProcess(), run, everyMs, 0, 0), delayMs);
    };
  }

  function clearer(timer: unknown): void {
    if (timer instanceof Timer) timer.cleared = true;
    else clear(timer as NodeJS.Timeout);
  }

  const replaced = {
    setTimeout: setter(false, false),
    setInterval: setter(true, false),
    setImmediate: setter(false, true),
    clearTimeout: clearer,
    clearInterval: clearer,
    clearImmediate: clearer,
  };
  const functions = globalThis as unknown as Record<string, unknown>;
  const original = Object.fromEntries(
    Object.keys(replaced).map(name => [name, functions[name]]),
  );
  Object.assign(functions, replaced);
  return () => {
    armed?.cancel();
    Object.assign(functions, original);
  };
}

function insert(heap: Timer[], timer: Timer): void {
  let at = heap.push(timer) - 1;
  while (at > 0) {
    const parent = (at - 1) >> 1;
    if (!before(timer, heap[parent]!)) break;
    heap[at] = heap[parent]!;
    at = parent;
  }
  heap[at] = timer;
}

/** Removes the first timer. */
function remove(heap: Timer[]): void {
  const last = heap.pop()!;
  if (heap.length === 0) return;
  let at = 0;
  for (;;) {
    let child = 2 * at + 1;
    if (child >= heap.length) break;
    const right = child + 1;
    if (right < heap.length && before(heap[right]!, heap[child]!))
      child = right;
    if (!before(heap[child]!, last)) break;
    heap[at] = heap[child]!;
    at = child;
  }
  heap[at] = last;
}
