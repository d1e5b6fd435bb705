/** The task that batches claims and settlements into replicated changes. */
import {
  claimConflictsSchema,
  type Answer,
  type BodyOf,
} from '@lentildrift/model';
import {
  ServiceError,
  type ClaimRequest,
  type ClaimResponse,
  type SettleRequest,
} from '@lentildrift/protocol';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import type {Proposer} from './propose.js';

const BATCH_INTERVAL_MS = 5;
const ASK_TIMEOUT_MS = 15_000;

interface PendingRequest<Request, Response> {
  readonly request: Request;
  readonly reply: Reply<Response>;
}
type PendingClaim = PendingRequest<ClaimRequest, ClaimResponse>;
type PendingSettle = PendingRequest<SettleRequest, void>;

type BatcherMessage =
  | ({type: 'claim'} & PendingClaim)
  | ({type: 'settle'} & PendingSettle)
  | {type: 'flush'};

interface Batch {
  readonly claims: readonly PendingClaim[];
  readonly settles: readonly PendingSettle[];
}

const EMPTY_BATCH: Batch = {claims: [], settles: []};

export interface ClaimBatcher {
  /**
   * Claims idempotency keys. Resolves with the claims that were refused because
   * another attempt holds the key. Rejects with `ServiceError`, or with
   * `TaskTimeout` after 15,000 ms.
   */
  claim(request: ClaimRequest): Promise<ClaimResponse>;
  /** Records how claimed attempts ended. Rejects like `claim`. */
  settle(request: SettleRequest): Promise<void>;
  stop(): Promise<void>;
}

export function createClaimBatcher(
  tasks: TaskSystem,
  proposer: Proposer,
): ClaimBatcher {
  const task: Task<BatcherMessage> = tasks.spawn<Batch, BatcherMessage>({
    name: 'claim-batcher',
    initial: EMPTY_BATCH,
    handle(state, message, self) {
      if (message.type === 'flush') {
        void flushSettles(proposer, state.settles);
        void flushClaims(proposer, state.claims);
        return EMPTY_BATCH;
      }
      if (state.claims.length + state.settles.length === 0) {
        setTimeout(() => self.post({type: 'flush'}), BATCH_INTERVAL_MS);
      }
      return message.type === 'claim'
        ? {...state, claims: [...state.claims, message]}
        : {...state, settles: [...state.settles, message]};
    },
  });
  return {
    claim: request =>
      task.ask<ClaimResponse>(
        reply => ({type: 'claim', request, reply}),
        ASK_TIMEOUT_MS,
      ),
    settle: request =>
      task.ask<void>(
        reply => ({type: 'settle', request, reply}),
        ASK_TIMEOUT_MS,
      ),
    stop: () => task.stop(),
  };
}

/** Proposes all pending claims as one change, and splits its answer by request. */
async function flushClaims(
  proposer: Proposer,
  pending: readonly PendingClaim[],
): Promise<void> {
  if (pending.length === 0) return;
  const claims: BodyOf<'claim'>['claims'] = pending.flatMap(({request}) =>
    request.claims.map(claim => ({...claim, session: request.session})),
  );
  try {
    const taken = parseTakenClaims(
      await proposer.propose({type: 'claim', claims}),
    );
    let start = 0;
    for (const {request, reply} of pending) {
      const end = start + request.claims.length;
      const ownClaims = taken.filter(
        ({index}) => index >= start && index < end,
      );
      const rows = ownClaims.map(({index, ...rest}) => ({
        ...request.claims[index - start]!,
        ...rest,
      }));
      reply.resolve({taken: rows});
      start = end;
    }
  } catch (error) {
    for (const {reply} of pending) reply.reject(error as Error);
  }
}

function parseTakenClaims(answer: Answer) {
  if (!answer.ok) throw new ServiceError('unavailable', answer.message);
  return claimConflictsSchema.parse(JSON.parse(answer.detail ?? '[]'));
}

async function flushSettles(
  proposer: Proposer,
  pending: readonly PendingSettle[],
): Promise<void> {
  if (pending.length === 0) return;
  const claims = pending.flatMap(({request}) =>
    request.claims.map(claim => ({...claim, session: request.session})),
  );
  try {
    // Proposing the settlements twice is safe: a later claim of the same key
    // belongs to another attempt, which the settlement does not change.
    await proposer.propose({type: 'settle', claims}, {idempotent: true});
    for (const {reply} of pending) reply.resolve();
  } catch (error) {
    for (const {reply} of pending) reply.reject(error as Error);
  }
}
