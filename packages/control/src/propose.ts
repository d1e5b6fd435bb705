/** The task that brings changes to the leader. */
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

/** Covers one election: two timeouts of at most 3,000 ms. */
const PROPOSE_DEADLINE_MS = 7000;
const RETRY_DELAY_MS = 100;

/** Member ID to the service of that control process. */
export type Peers = ReadonlyMap<string, PeerService>;

interface Propose {
  readonly type: 'propose';
  readonly body: ChangeBody;
  /** Whether a second run of the change has no effect of its own. */
  readonly idempotent: boolean;
  readonly reply: Reply<Answer>;
}

export interface Proposer {
  /**
   * Resolves once the change is committed and applied here. Rejects with
   * `ServiceError`; a change that is not idempotent is proposed again only
   * when it was certainly not committed.
   */
  propose(body: ChangeBody, rest?: {idempotent: boolean}): Promise<Answer>;
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
      // Proposals run side by side; the log orders them.
      bring(options, body, idempotent).then(reply.resolve, reply.reject);
      return state;
    },
  });
  return {
    propose: (body, rest) =>
      task.ask<Answer>(
        reply => ({
          type: 'propose',
          body,
          idempotent: rest?.idempotent ?? false,
          reply,
        }),
        PROPOSE_DEADLINE_MS * 2,
      ),
    stop: () => task.stop(),
  };
}

async function bring(
  options: ProposerOptions,
  body: ChangeBody,
  idempotent: boolean,
): Promise<Answer> {
  const deadlineMs = performance.now() + PROPOSE_DEADLINE_MS;
  let mayHaveRun = false;
  for (;;) {
    try {
      return await once(options, body, deadlineMs);
    } catch (thrown) {
      const error = toServiceError(thrown);
      mayHaveRun ||= error.verdict !== 'not-run';
      const transient =
        error.code === 'unavailable' || error.code === 'outcome-unknown';
      const safe = idempotent || !mayHaveRun;
      const late = performance.now() + RETRY_DELAY_MS >= deadlineMs;
      if (!transient || !safe || late) {
        const verdict = mayHaveRun ? 'may-have-run' : error.verdict;
        throw new ServiceError(error.code, error.message, verdict);
      }
    }
    await delay(RETRY_DELAY_MS);
  }
}

async function once(
  options: ProposerOptions,
  body: ChangeBody,
  deadlineMs: number,
): Promise<Answer> {
  const {replica, peers} = options;
  const {role, leader} = replica.status();
  const leftMs = Math.max(1, deadlineMs - performance.now());
  if (role === 'leader') {
    return (await proposeLocally(replica, body, leftMs)).answer;
  }
  const peer = leader === undefined ? undefined : peers.get(leader);
  if (!peer) throw new ServiceError('unavailable', 'no leader is known');
  const {answer, revision} = await withTimeout(
    peer.propose({body}),
    leftMs,
    'the leader did not answer',
  );
  // The sender reads its own change on this replica.
  await withTimeout(
    replica.waitForRevision(revision),
    leftMs,
    'the change was committed but is not applied here',
  );
  return answer;
}

/** Proposes on this replica, or rejects if it does not lead. */
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

/** The true verdict of a failure: what may have been logged may yet commit. */
export function toServiceError(error: unknown): ServiceError {
  if (error instanceof ServiceError) return error;
  if (error instanceof NotLeader) {
    return new ServiceError('unavailable', error.message);
  }
  const message = error instanceof Error ? error.message : String(error);
  return new ServiceError('outcome-unknown', message, 'may-have-run');
}
