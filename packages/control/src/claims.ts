/** The task that batches claims and settlements into changes. */
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

interface Waiting<Request, Response> {
  readonly request: Request;
  readonly reply: Reply<Response>;
}
type WaitingClaim = Waiting<ClaimRequest, ClaimResponse>;
type WaitingSettle = Waiting<SettleRequest, void>;

type ClaimsMessage =
  | ({type: 'claim'} & WaitingClaim)
  | ({type: 'settle'} & WaitingSettle)
  | {type: 'flush'};

interface ClaimsState {
  readonly claims: readonly WaitingClaim[];
  readonly settles: readonly WaitingSettle[];
}

const NOTHING: ClaimsState = {claims: [], settles: []};

export interface ClaimBatcher {
  claim(request: ClaimRequest): Promise<ClaimResponse>;
  settle(request: SettleRequest): Promise<void>;
  stop(): Promise<void>;
}

export function createClaimBatcher(
  tasks: TaskSystem,
  proposer: Proposer,
): ClaimBatcher {
  const task: Task<ClaimsMessage> = tasks.spawn<ClaimsState, ClaimsMessage>({
    name: 'claims',
    initial: NOTHING,
    handle(state, message, self) {
      if (message.type === 'flush') {
        void flushSettles(proposer, state.settles);
        void flushClaims(proposer, state.claims);
        return NOTHING;
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

async function flushClaims(
  proposer: Proposer,
  waiting: readonly WaitingClaim[],
): Promise<void> {
  if (waiting.length === 0) return;
  const claims: BodyOf<'claim'>['claims'] = waiting.flatMap(({request}) =>
    request.claims.map(claim => ({...claim, session: request.session})),
  );
  try {
    const taken = readTaken(await proposer.propose({type: 'claim', claims}));
    let start = 0;
    for (const {request, reply} of waiting) {
      const end = start + request.claims.length;
      const own = taken.filter(({index}) => index >= start && index < end);
      const rows = own.map(({index, ...rest}) => ({
        ...request.claims[index - start]!,
        ...rest,
      }));
      reply.resolve({taken: rows});
      start = end;
    }
  } catch (error) {
    for (const {reply} of waiting) reply.reject(error as Error);
  }
}

function readTaken(answer: Answer) {
  if (!answer.ok) throw new ServiceError('unavailable', answer.message);
  return claimConflictsSchema.parse(JSON.parse(answer.detail ?? '[]'));
}

async function flushSettles(
  proposer: Proposer,
  waiting: readonly WaitingSettle[],
): Promise<void> {
  if (waiting.length === 0) return;
  const claims = waiting.flatMap(({request}) =>
    request.claims.map(claim => ({...claim, session: request.session})),
  );
  try {
    // A later claim of the key is another attempt, which this leaves alone.
    await proposer.propose({type: 'settle', claims}, {idempotent: true});
    for (const {reply} of waiting) reply.resolve();
  } catch (error) {
    for (const {reply} of waiting) reply.reject(error as Error);
  }
}
