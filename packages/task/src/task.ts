/**
 * Tasks: `nact` actors that own their state and their sockets and communicate
 * by messages.
 *
 * Messages that arrive within one turn of the event loop are dispatched to the
 * actor as one batch, because `nact` uses one `setImmediate` per dispatch. A
 * batch that takes long is divided among several turns.
 *
 * In plain `nact`, a handler that throws ends its actor, and the messages that
 * are queued behind are lost. A task instead keeps the state from before the
 * failed message, reports the error, and rejects the reply of the message.
 */
import {
  dispatch,
  spawn,
  start,
  stop,
  type ActorSystemRef,
  type Ref,
} from 'nact';

/** Settles the promise of an `ask`; calls after the first have no effect. */
export interface Reply<T> {
  resolve(value: T): void;
  reject(error: Error): void;
}

/** A message. Its `reply`, if any, is rejected when the handler throws. */
export interface Message {
  readonly reply?: Reply<never>;
}

export interface Task<Msg> {
  readonly name: string;
  /**
   * Queues a message. Returns `false`, and discards the message, if the task
   * has stopped or is stopping.
   */
  post(message: Msg): boolean;
  /**
   * Posts the message that `build` returns for a reply, and resolves with the
   * value of the reply. Rejects with `TaskTimeoutError` after `timeoutMs`, with
   * `TaskStoppedError` if the task has stopped or stops before it replies, and
   * otherwise with the error of the handler.
   */
  ask<T>(build: (reply: Reply<T>) => Msg, timeoutMs: number): Promise<T>;
  /** Handles the queued messages, then stops the task. */
  stop(): Promise<void>;
}

export interface TaskSpec<State, Msg> {
  readonly name: string;
  readonly initial: State;
  /**
   * Returns the next state. Messages queued behind an async handler wait until
   * its promise settles.
   */
  handle(state: State, message: Msg, self: Task<Msg>): State | Promise<State>;
  /** Called once with the final state, after the last message. */
  afterStop?(state: State): void | Promise<void>;
}

/** Called with each error that a handler throws, so that it can be logged. */
export type FailureListener = (task: string, error: Error) => void;

export interface TaskSystem {
  spawn<State, Msg extends object>(spec: TaskSpec<State, Msg>): Task<Msg>;
  stop(): void;
}

export class TaskTimeoutError extends Error {
  constructor(task: string, timeoutMs: number) {
    super(`task ${task} did not answer within ${timeoutMs} ms`);
    this.name = 'TaskTimeoutError';
  }
}

export class TaskStoppedError extends Error {
  constructor(task: string) {
    super(`task ${task} has stopped`);
    this.name = 'TaskStoppedError';
  }
}

/** Starts an actor system; its tasks are created with `spawn`. */
export function startTasks(onFailure: FailureListener): TaskSystem {
  const system = start();
  return {
    spawn: spec => spawnTask(system, spec, onFailure),
    stop: () => stop(system),
  };
}

type BatchSignal = 'batch';

/**
 * A batch that has taken this long ends with the current message; the rest
 * follows in a later turn. Timers and other tasks, such as the heartbeats of a
 * leader, would otherwise wait until thousands of messages are handled.
 */
const MAX_BATCH_MS = 10;

function spawnTask<State, Msg extends object>(
  system: ActorSystemRef,
  spec: TaskSpec<State, Msg>,
  onFailure: FailureListener,
): Task<Msg> {
  const {name} = spec;
  let mailbox: Msg[] = [];
  let scheduled = false;
  let stopResult: Promise<void> | undefined;
  let onMailboxEmpty: ((state: State) => void) | undefined;
  const pendingReplies = new Set<Reply<never>>();

  const actor: Ref<BatchSignal> = spawn(
    system,
    async (state: State) => processBatch(state),
    undefined,
    {initialState: spec.initial, onCrash: (_m, _e, ctx) => ctx.resume},
  );

  async function processBatch(state: State): Promise<State> {
    let next = state;
    const batch = mailbox;
    mailbox = [];
    scheduled = false;
    const endMs = performance.now() + MAX_BATCH_MS;
    let handled = 0;
    while (handled < batch.length) {
      const result = handleMessage(next, batch[handled++]!);
      // Awaiting a plain value would cost a turn of the microtask queue.
      next = result instanceof Promise ? await result : result;
      if (performance.now() >= endMs) break;
    }
    if (handled < batch.length) {
      mailbox = [...batch.slice(handled), ...mailbox];
      scheduleBatch();
    }
    if (mailbox.length === 0) onMailboxEmpty?.(next);
    return next;
  }

  function handleMessage(state: State, message: Msg): State | Promise<State> {
    try {
      const result = spec.handle(state, message, task);
      if (!(result instanceof Promise)) return result;
      return result.catch(thrown => handleFailure(state, message, thrown));
    } catch (thrown) {
      return handleFailure(state, message, thrown);
    }
  }

  function handleFailure(state: State, message: Msg, thrown: unknown): State {
    const error = thrown instanceof Error ? thrown : new Error(String(thrown));
    onFailure(name, error);
    (message as Message).reply?.reject(error);
    return state;
  }

  function post(message: Msg): boolean {
    if (stopResult) return false;
    mailbox.push(message);
    scheduleBatch();
    return true;
  }

  function scheduleBatch(): void {
    if (scheduled) return;
    scheduled = true;
    dispatch(actor, 'batch');
  }

  function ask<T>(
    build: (reply: Reply<T>) => Msg,
    timeoutMs: number,
  ): Promise<T> {
    return new Promise<T>((resolve, reject) => {
      const timer = setTimeout(
        () => reply.reject(new TaskTimeoutError(name, timeoutMs)),
        timeoutMs,
      );
      const settle = () => {
        clearTimeout(timer);
        pendingReplies.delete(reply);
      };
      const reply: Reply<T> = {
        resolve: value => {
          settle();
          resolve(value);
        },
        reject: error => {
          settle();
          reject(error);
        },
      };
      pendingReplies.add(reply);
      if (!post(build(reply))) reply.reject(new TaskStoppedError(name));
    });
  }

  function stopTask(): Promise<void> {
    stopResult ??= new Promise((resolve, reject) => {
      onMailboxEmpty = state => {
        onMailboxEmpty = undefined;
        for (const reply of [...pendingReplies]) {
          reply.reject(new TaskStoppedError(name));
        }
        stop(actor);
        Promise.resolve(spec.afterStop?.(state)).then(resolve, reject);
      };
    });
    scheduleBatch();
    return stopResult;
  }

  const task: Task<Msg> = {name, post, ask, stop: stopTask};
  return task;
}
