/** The task that proposes changes to the leader. */
import {NotLeader} from '@lentildrift/consensus';
import type {Answer, ChangeBody} from '@lentildrift/model';
import {
  ServiceError,
  type PeerService,
  type ProposeResponse,
} from '@lentildrift/protocol';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import type {StateReplica} from './machine.js';
import {delay, withTimeout} from './time.js';

/** Long enough for one election: two timeouts of at most 3,000 ms each. */
const PROPOSE_DEADLINE_MS = 7000;
const RETRY_DELAY_MS = 100;

/** Member ID to the peer service of that control process. */
export type Peers = ReadonlyMap<string, PeerService>;

interface Propose {
  readonly type: 'propose';
  readonly body: ChangeBody;
  /** Whether committing the change twice has the same effect as once. */
  readonly idempotent: boolean;
  readonly reply: Reply<Answer>;
}

export interface Proposer {
  /**
   * Resolves with the answer once the change is committed and applied on this
   * replica. Rejects with `ServiceError`. After a transient failure the change is
   * proposed again; a change that is not idempotent only if it was certainly not
   * committed.
   */
  propose(body: ChangeBody, retry?: {idempotent: boolean}): Promise<Answer>;
  stop(): Promise<void>;
}

export interface ProposerOptions {
  readonly replica: StateReplica;
  readonly peers: Peers;
  readonly tasks: TaskSystem;
}

export function createProposer(options: ProposerOptions): Proposer {
  const task: Task<Propose> = options.tasks.spawn<null, Propose>({
    name: 'proposer',
    initial: null,
    handle(state, {body, idempotent, reply}) {
      // Proposals run concurrently; the log orders them.
      proposeWithRetry(options, body, idempotent).then(
        reply.resolve,
        reply.reject,
      );
      return state;
    },
  });
  return {
    propose: (body, retry) =>
      task.ask<Answer>(
        reply => ({
          type: 'propose',
          body,
          idempotent: retry?.idempotent ?? false,
          reply,
        }),
        PROPOSE_DEADLINE_MS * 2,
      ),
    stop: () => task.stop(),
  };
}

/** Proposes until the change is committed, must not be retried, or is too late. */
async function proposeWithRetry(
  options: ProposerOptions,
  body: ChangeBody,
  idempotent: boolean,
): Promise<Answer> {
  const deadlineMs = performance.now() + PROPOSE_DEADLINE_MS;
  let mayHaveRun = false;
  for (;;) {
    try {
      return await proposeOnce(options, body, deadlineMs);
    } catch (thrown) {
      const error = toServiceError(thrown);
      mayHaveRun ||= error.verdict !== 'not-run';
      const isTransient =
        error.code === 'unavailable' || error.code === 'outcome-unknown';
      const isSafe = idempotent || !mayHaveRun;
      const isLate = performance.now() + RETRY_DELAY_MS >= deadlineMs;
      if (!isTransient || !isSafe || isLate) {
        const verdict = mayHaveRun ? 'may-have-run' : error.verdict;
        throw new ServiceError(error.code, error.message, verdict);
      }
    }
    await delay(RETRY_DELAY_MS);
  }
}

/** Makes one attempt, on this replica if it leads, otherwise at the leader. */
async function proposeOnce(
  options: ProposerOptions,
  body: ChangeBody,
  deadlineMs: number,
): Promise<Answer> {
  const {replica, peers} = options;
  const {role, leader} = replica.status();
  const remainingMs = Math.max(1, deadlineMs - performance.now());
  if (role === 'leader') {
    return (await proposeLocally(replica, body, remainingMs)).answer;
  }
  const peer = leader === undefined ? undefined : peers.get(leader);
  if (!peer) throw new ServiceError('unavailable', 'no leader is known');
  const {answer, revision} = await withTimeout(
    peer.propose({body}),
    remainingMs,
    'the leader did not answer',
  );
  // The caller must be able to read its own change on this replica.
  await withTimeout(
    replica.waitForRevision(revision),
    remainingMs,
    'the change was committed but is not applied here',
  );
  return answer;
}

/**
 * Proposes on this replica. Rejects with `ServiceError`, with the verdict
 * `not-run` if the replica does not lead.
 */
export async function proposeLocally(
  replica: StateReplica,
  body: ChangeBody,
  timeoutMs = PROPOSE_DEADLINE_MS,
): Promise<ProposeResponse> {
  try {
    const proposal = replica.propose({atMs: Date.now(), body});
    const message = 'the change was not committed in time';
    return await withTimeout(proposal, timeoutMs, message);
  } catch (error) {
    throw toServiceError(error);
  }
}

/**
 * Converts a failure to a `ServiceError` with the correct verdict. Only a
 * proposal that a non-leader rejected is `not-run`: after any other failure the
 * change may be in the log, and may still commit.
 */
export function toServiceError(error: unknown): ServiceError {
  if (error instanceof ServiceError) return error;
  if (error instanceof NotLeader) {
    return new ServiceError('unavailable', error.message);
  }
  const message = error instanceof Error ? error.message : String(error);
  return new ServiceError('outcome-unknown', message, 'may-have-run');
}
