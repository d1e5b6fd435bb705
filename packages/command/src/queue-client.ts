/**
 * Client for the job queues, over the links that the processes of the system
 * use among themselves. Any request of `dispatch` may be sent.
 */
import {
  startQueueEntry,
  type Refusal,
  type Reply,
  type Request,
} from '@lentildrift/dispatch';
import {createLog} from '@lentildrift/observe';
import {startTasks} from '@lentildrift/task';
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {CommandError, OutcomeUnknownError} from './error.js';

export interface QueueClientOptions {
  /** Link addresses of control processes; others are learnt from these. */
  readonly linkAddresses: readonly string[];
  /** Longest wait for an answer, repeated attempts included. */
  readonly timeoutMs: number;
}

/** A reply that is not a refusal, by its type. */
export type ReplyOf<T extends Exclude<Reply, Refusal>['type']> = Extract<
  Reply,
  {type: T}
>;

export interface QueueClient {
  /**
   * Sends the request to the leader, and again while none answers: requests are
   * idempotent, since each names its subject. Throws `CommandError` if the
   * request was refused or the reply is not of the type `expected`, and its
   * subclass `OutcomeUnknownError` if the request may have taken effect.
   */
  send<T extends Exclude<Reply, Refusal>['type']>(
    requestId: string,
    request: Request,
    expected: T,
  ): Promise<ReplyOf<T>>;
  /** Closes the links. */
  close(): Promise<void>;
}

/** Pause before a request is sent again, unless the refusal names one. */
const RETRY_PAUSE_MS = 300;

export function createQueueClient(options: QueueClientOptions): QueueClient {
  const {linkAddresses, timeoutMs} = options;
  const tasks = startTasks(() => {});
  const entry = startQueueEntry({
    name: `command-${randomUUID()}`,
    seeds: () => linkAddresses,
    tasks,
    log: createLog('error', {}, () => {}),
  });

  async function handle(requestId: string, request: Request): Promise<Reply> {
    const endMs = performance.now() + timeoutMs;
    let mayHaveRun = false;
    for (;;) {
      const leftMs = Math.max(1, endMs - performance.now());
      const reply = await entry.service.handle(requestId, request, leftMs);
      if (reply.type !== 'refused') return reply;
      mayHaveRun ||= reply.verdict === 'may-have-run';
      const pauseMs = reply.retryAfterMs ?? RETRY_PAUSE_MS;
      const isOver = performance.now() + pauseMs >= endMs;
      if (reply.reason !== 'unavailable' || isOver) {
        throw toCommandError(reply, mayHaveRun);
      }
      await sleep(pauseMs);
    }
  }

  return {
    async send(requestId, request, expected) {
      const reply = await handle(requestId, request);
      if (isReplyOf(reply, expected)) return reply;
      throw new CommandError(
        `the server answered ${reply.type} instead of ${expected}`,
      );
    },
    async close() {
      await entry.stop();
      tasks.stop();
    },
  };
}

/** Runs `use` with a client of the context, and closes it after. */
export async function withQueueClient<T>(
  context: {createQueueClient(): QueueClient},
  use: (client: QueueClient) => Promise<T>,
): Promise<T> {
  const client = context.createQueueClient();
  try {
    return await use(client);
  } finally {
    await client.close();
  }
}

function isReplyOf<T extends Reply['type']>(
  reply: Reply,
  type: T,
): reply is Extract<Reply, {type: T}> {
  return reply.type === type;
}

function toCommandError(
  {reason, detail}: Refusal,
  mayHaveRun: boolean,
): CommandError {
  const text = `refused (${reason}): ${detail}`;
  return mayHaveRun ? new OutcomeUnknownError(text) : new CommandError(text);
}
