/**
 * Timer functions that record which simulated process set each timer. All timers
 * are in one heap and share one timer of the underlying clock, because a paused
 * clock searches all of its timers at each step.
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
    /** Time between runs of a repeating timer; absent for a single run. */
    readonly intervalMs: number | undefined,
    public dueMs: number,
    /** Order of timers that are due at the same time. */
    public order: number,
  ) {}

  ref(): this {
    return this;
  }

  unref(): this {
    return this;
  }
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order);
}

/**
 * Replaces the global timer functions. Returns a function that restores the
 * original ones.
 */
export function installProcessTimers(): () => void {
  const {setTimeout: set, clearTimeout: clear} = globalThis;
  const {setImmediate: setNow, clearImmediate: clearNow} = globalThis;
  const heap: Timer[] = [];
  let order = 0;
  let armed: {atMs: number; cancel: () => void} | undefined;

  /**
   * Starts a timer for the earliest entry of the heap, unless the running timer
   * is due early enough.
   */
  function arm(): void {
    const first = heap[0];
    if (!first || (armed && armed.atMs <= first.dueMs)) return;
    armed?.cancel();
    armed = {
      atMs: first.dueMs,
      cancel: runOutsideProcess(() => start(first.dueMs)),
    };
  }

  /**
   * Starts a timer of the underlying clock, or an immediate if the time has come,
   * because a timer of 0 ms would wait for 1 ms. Returns a function that cancels
   * the timer or the immediate.
   */
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
    if (timer && timer.dueMs <= performance.now()) {
      removeFirstTimer(heap);
      if (!timer.cleared && !timer.process?.hasExited) run(timer);
    }
    arm();
  }

  function run(timer: Timer): void {
    const {process, callback, intervalMs} = timer;
    if (intervalMs !== undefined) add(timer, intervalMs);
    const runUnlessCleared = () => {
      if (!timer.cleared) callback();
    };
    if (process) process.dispatch(runUnlessCleared, timer);
    else runOutsideProcess(runUnlessCleared);
  }

  function add(timer: Timer, delayMs: number): Timer {
    timer.dueMs = performance.now() + Math.max(0, delayMs);
    timer.order = ++order;
    insertTimer(heap, timer);
    arm();
    return timer;
  }

  function createSetFunction(repeats: boolean, immediate: boolean) {
    return (callback: Callback, ...rest: unknown[]) => {
      const delayMs = immediate ? 0 : Math.max(1, Number(rest.shift() ?? 0));
      const run = () => callback(...rest);
      const intervalMs = repeats ? delayMs : undefined;
      return add(new Timer(currentProcess(), run, intervalMs, 0, 0), delayMs);
    };
  }

  function clearTimer(timer: unknown): void {
    if (timer instanceof Timer) timer.cleared = true;
    else clear(timer as NodeJS.Timeout);
  }

  const replacements = {
    setTimeout: createSetFunction(false, false),
    setInterval: createSetFunction(true, false),
    setImmediate: createSetFunction(false, true),
    clearTimeout: clearTimer,
    clearInterval: clearTimer,
    clearImmediate: clearTimer,
  };
  const functions = globalThis as unknown as Record<string, unknown>;
  const original = Object.fromEntries(
    Object.keys(replacements).map(name => [name, functions[name]]),
  );
  Object.assign(functions, replacements);
  return () => {
    armed?.cancel();
    Object.assign(functions, original);
  };
}

/** Inserts a timer into the heap. */
function insertTimer(heap: Timer[], timer: Timer): void {
  let at = heap.push(timer) - 1;
  while (at > 0) {
    const parent = (at - 1) >> 1;
    if (!isBefore(timer, heap[parent]!)) break;
    heap[at] = heap[parent]!;
    at = parent;
  }
  heap[at] = timer;
}

/** Removes the earliest timer from the heap. */
function removeFirstTimer(heap: Timer[]): void {
  const last = heap.pop()!;
  if (heap.length === 0) return;
  let at = 0;
  for (;;) {
    let child = 2 * at + 1;
    if (child >= heap.length) break;
    const right = child + 1;
    if (right < heap.length && isBefore(heap[right]!, heap[child]!))
      child = right;
    if (!isBefore(heap[child]!, last)) break;
    heap[at] = heap[child]!;
    at = child;
  }
  heap[at] = last;
}
