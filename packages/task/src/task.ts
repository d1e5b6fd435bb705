/**
 * Tasks: `nact` actors that own their state and their sockets and talk by
 * messages.
 *
 * Messages that arrive within one turn of the event loop are handed to the
 * actor as one batch, since `nact` spends one `setImmediate` on each dispatch.
 * A handler that throws would end a `nact` actor and lose the messages behind
 * it; here the state from before that message is kept, the failure is
 * reported, and a waiting sender gets the error.
 */
import {
  dispatch,
  spawn,
  start,
  stop,
  type ActorSystemRef,
  type Ref,
} from 'nact';

/** Where the answer to a message goes; only the first call counts. */
export interface Reply<T> {
  resolve(value: T): void;
  reject(error: Error): void;
}

/** A message may carry a `reply`; it is rejected if the handler throws. */
export interface Message {
  readonly reply?: Reply<never>;
}

export interface Task<Msg> {
  readonly name: string;
  /** Delivers a message. Returns false if the task has stopped. */
  post(message: Msg): boolean;
  /**
   * Posts the message built around a reply and resolves with the answer.
   * Rejects with `TaskTimeoutError` after `timeoutMs`, with `TaskStoppedError` if the
   * task has stopped or stops before it answers, else with the handler's
   * error.
   */
  ask<T>(build: (reply: Reply<T>) => Msg, timeoutMs: number): Promise<T>;
  /** Handles the messages that wait, then stops. */
  stop(): Promise<void>;
}

export interface TaskSpec<State, Msg> {
  readonly name: string;
  readonly initial: State;
  /** Returns the next state; an async handler holds up those behind it. */
  handle(state: State, message: Msg, self: Task<Msg>): State | Promise<State>;
  /** Runs once, after the last message. */
  afterStop?(state: State): void | Promise<void>;
}

/** Receives failures of handlers, for the log. */
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

/** Starts a system of tasks. */
export function startTasks(onFailure: FailureListener): TaskSystem {
  const system = start();
  return {
    spawn: spec => spawnTask(system, spec, onFailure),
    stop: () => stop(system),
  };
}

type Batch = 'batch';

function spawnTask<State, Msg extends object>(
  system: ActorSystemRef,
  spec: TaskSpec<State, Msg>,
  onFailure: FailureListener,
): Task<Msg> {
  const {name} = spec;
  let waiting: Msg[] = [];
  let scheduled = false;
  let stopping: Promise<void> | undefined;
  let onDrained: ((state: State) => void) | undefined;
  const unanswered = new Set<Reply<never>>();

  const actor: Ref<Batch> = spawn(
    system,
    async (state: State) => drain(state),
    undefined,
    {initialState: spec.initial, onCrash: (_m, _e, ctx) => ctx.resume},
  );

  async function drain(state: State): Promise<State> {
    let next = state;
    const batch = waiting;
    waiting = [];
    scheduled = false;
    for (const message of batch) {
      const result = handleOne(next, message);
      // Awaiting a plain value would cost a turn of the microtask queue.
      next = result instanceof Promise ? await result : result;
    }
    if (waiting.length === 0) onDrained?.(next);
    return next;
  }

  function handleOne(state: State, message: Msg): State | Promise<State> {
    try {
      const result = spec.handle(state, message, task);
      if (!(result instanceof Promise)) return result;
      return result.catch(thrown => recover(state, message, thrown));
    } catch (thrown) {
      return recover(state, message, thrown);
    }
  }

  function recover(state: State, message: Msg, thrown: unknown): State {
    const error = thrown instanceof Error ? thrown : new Error(String(thrown));
    onFailure(name, error);
    (message as Message).reply?.reject(error);
    return state;
  }

  function post(message: Msg): boolean {
    if (stopping) return false;
    waiting.push(message);
    schedule();
    return true;
  }

  function schedule(): void {
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
        unanswered.delete(reply);
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
      unanswered.add(reply);
      if (!post(build(reply))) reply.reject(new TaskStoppedError(name));
    });
  }

  function stopTask(): Promise<void> {
    stopping ??= new Promise((resolve, reject) => {
      onDrained = state => {
        onDrained = undefined;
        for (const reply of [...unanswered]) {
          reply.reject(new TaskStoppedError(name));
        }
        stop(actor);
        Promise.resolve(spec.afterStop?.(state)).then(resolve, reject);
      };
    });
    schedule();
    return stopping;
  }

  const task: Task<Msg> = {name, post, ask, stop: stopTask};
  return task;
}
