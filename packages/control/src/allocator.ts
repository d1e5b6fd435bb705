/**
 * The leader's task that divides the limits, and closes and ends sessions.
 * Its state is soft: a new leader starts without it and hears it again.
 */
import type {BodyOf, State} from '@lentildrift/model';
import {
  ServiceError,
  type ReportRequest,
  type ReportResponse,
  type UseByTeam,
} from '@lentildrift/protocol';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import type {Log} from '@lentildrift/observe';
import type {SliceHolder, LimitPolicy} from './policy.js';
import type {StateReplica} from './machine.js';
import type {Proposer} from './propose.js';
import {isUrgent} from './use.js';

const REBALANCE_INTERVAL_MS = 500;
/** Bounds the changes that urgent reports cause. */
const URGENT_SPACING_MS = 100;
/** Longer than the freshness lease of 3,000 ms and 1 % of clock drift. */
export const SILENT_SESSION_TIMEOUT_MS = 5000;
/** Lease, longest call deadline and grace, from the close. */
export const CLOSED_SESSION_HOLD_MS = 3000 + 30_000 + 2000;
const ASK_TIMEOUT_MS = 10_000;

interface Reported {
  readonly heardMs: number;
  /** Highest sync number reported. */
  readonly sequence: number;
  readonly use: UseByTeam;
}

type Targets = ReportResponse['targets'];

interface LimitsState {
  /** Term that this state belongs to; undefined while not leading. */
  readonly term: number | undefined;
  readonly reported: ReadonlyMap<string, Reported>;
  /** Closed session to when this leader first saw it closed. */
  readonly closedMs: ReadonlyMap<string, number>;
  readonly targets: Targets;
  readonly decidedMs: number;
  readonly deciding: boolean;
  /** Reports whose answer waits for the next decision. */
  readonly waiting: readonly Waiting[];
}

interface Waiting {
  readonly request: ReportRequest;
  readonly reply: Reply<ReportResponse>;
}

type LimitsMessage =
  | ({type: 'report'} & Waiting)
  | {type: 'tick'}
  | {type: 'urgent'}
  | {type: 'decided'; waiting: readonly Waiting[]};

export interface SliceAllocator {
  /** Rejects with `ServiceError` and `not-run` when this is not the leader. */
  report(request: ReportRequest): Promise<ReportResponse>;
  stop(): Promise<void>;
}

export interface SliceAllocatorOptions {
  readonly replica: StateReplica;
  readonly proposer: Proposer;
  readonly policy: LimitPolicy;
  readonly tasks: TaskSystem;
  readonly log: Log;
}

const IDLE: LimitsState = {
  term: undefined,
  reported: new Map(),
  closedMs: new Map(),
  targets: {},
  decidedMs: -Infinity,
  deciding: false,
  waiting: [],
};

export function createSliceAllocator(
  options: SliceAllocatorOptions,
): SliceAllocator {
  const task = options.tasks.spawn<LimitsState, LimitsMessage>({
    name: 'limits',
    initial: IDLE,
    handle(held, message, self) {
      const state = follow(options.replica, held);
      switch (message.type) {
        case 'report':
          return receive(state, message, self);
        case 'tick':
          return decide(options, watchSessions(options, state), self);
        case 'urgent':
          return decide(options, state, self);
        case 'decided':
          return finish(options, state, message.waiting, self);
      }
    },
  });
  const timer = setInterval(
    () => task.post({type: 'tick'}),
    REBALANCE_INTERVAL_MS,
  );
  return {
    report: request =>
      task.ask<ReportResponse>(
        reply => ({type: 'report', request, reply}),
        ASK_TIMEOUT_MS,
      ),
    stop: () => {
      clearInterval(timer);
      return task.stop();
    },
  };
}

/** Drops what belongs to an earlier term. */
function follow(replica: StateReplica, state: LimitsState): LimitsState {
  const {role, term} = replica.status();
  const leading = role === 'leader' ? term : undefined;
  if (leading === state.term) return state;
  answer(state, state.waiting);
  const now = performance.now();
  // Every session gets the full time again: this leader heard none before.
  const reported = Object.keys(replica.state().sessions).map(
    id => [id, {heardMs: now, sequence: 0, use: {}}] as const,
  );
  const {deciding} = state;
  return {...IDLE, deciding, term: leading, reported: new Map(reported)};
}

function receive(
  state: LimitsState,
  {request, reply}: Waiting,
  self: Task<LimitsMessage>,
): LimitsState {
  if (state.term === undefined) {
    reply.reject(new ServiceError('unavailable', 'not the leader'));
    return state;
  }
  const now = performance.now();
  const reported = new Map(state.reported);
  let urgent = false;
  for (const {session, ageMs, sequence, use} of request.sessions) {
    const old = reported.get(session);
    // A process that the entry has left knows nothing newer.
    const late = old !== undefined && sequence < old.sequence;
    const merged = late ? {...use, ...old.use} : {...old?.use, ...use};
    // A session without use has no slices yet, and cannot admit anything.
    const before =
      Object.keys(old?.use ?? {}).length > 0 ? old?.use : undefined;
    urgent ||= isUrgent(before, merged);
    const heardMs = Math.max(old?.heardMs ?? -Infinity, now - ageMs);
    const newest = Math.max(old?.sequence ?? 0, sequence);
    reported.set(session, {heardMs, sequence: newest, use: merged});
  }
  const next = {...state, reported};
  if (!urgent) {
    answer(next, [{request, reply}]);
    return next;
  }
  if (state.waiting.length === 0) {
    const waitMs = state.decidedMs + URGENT_SPACING_MS - now;
    setTimeout(() => self.post({type: 'urgent'}), Math.max(0, waitMs));
  }
  return {...next, waiting: [...state.waiting, {request, reply}]};
}

function answer(state: LimitsState, waiting: readonly Waiting[]): void {
  for (const {request, reply} of waiting) {
    const known = request.sessions.flatMap(({session}) => {
      const targets = state.targets[session];
      return targets ? [[session, targets] as const] : [];
    });
    reply.resolve({targets: Object.fromEntries(known)});
  }
}

function finish(
  options: SliceAllocatorOptions,
  state: LimitsState,
  waiting: readonly Waiting[],
  self: Task<LimitsMessage>,
): LimitsState {
  answer(state, waiting);
  const next = {...state, deciding: false};
  return next.waiting.length > 0 ? decide(options, next, self) : next;
}

function decide(
  options: SliceAllocatorOptions,
  state: LimitsState,
  self: Task<LimitsMessage>,
): LimitsState {
  if (state.term === undefined || state.deciding) return state;
  const {waiting} = state;
  const {slices, targets} = decideAll(options, state);
  const next = {
    ...state,
    targets,
    waiting: [],
    decidedMs: performance.now(),
  };
  if (slices.length === 0) {
    answer(next, waiting);
    return next;
  }
  options.proposer
    .propose({type: 'set-slices', slices})
    .catch(error => {
      options.log.warn('rebalance-failed', {error: String(error)});
    })
    .finally(() => self.post({type: 'decided', waiting}));
  return {...next, deciding: true};
}

interface Decisions {
  readonly slices: BodyOf<'set-slices'>['slices'];
  readonly targets: Targets;
}

function decideAll(
  options: SliceAllocatorOptions,
  held: LimitsState,
): Decisions {
  const state = options.replica.state();
  const {teams} = state.tables;
  const slices: Decisions['slices'] = [];
  const targets: Targets = {};
  // A team that was removed may still hold slices, to be taken back.
  const names = new Set([...Object.keys(teams), ...Object.keys(state.slices)]);
  for (const team of names) {
    const limit = Object.hasOwn(teams, team) ? teams[team]!.limit : 0;
    const holders = holdersOf(state, held, team);
    const decision = options.policy.decide({limit, holders});
    slices.push(...decision.slices.map(each => ({team, ...each})));
    for (const [session, ceiling] of decision.targets) {
      const generation = state.slices[team]?.[session]?.generation ?? 0;
      const target = {ceiling, generation};
      targets[session] = {...targets[session], [team]: target};
    }
  }
  return {slices, targets};
}

function holdersOf(
  state: State,
  held: LimitsState,
  team: string,
): SliceHolder[] {
  return Object.values(state.sessions).map(({id, phase}) => ({
    session: id,
    phase,
    slice: state.slices[team]?.[id],
    use: held.reported.get(id)?.use[team],
  }));
}

/** Closes silent sessions and ends those whose work has surely ended. */
function watchSessions(
  options: SliceAllocatorOptions,
  state: LimitsState,
): LimitsState {
  if (state.term === undefined) return state;
  const now = performance.now();
  const {sessions} = options.replica.state();
  const closedMs = new Map<string, number>();
  const reported = new Map<string, Reported>();
  for (const {id, phase} of Object.values(sessions)) {
    if (phase === 'closed') {
      const since = state.closedMs.get(id) ?? now;
      closedMs.set(id, since);
      if (now - since >= CLOSED_SESSION_HOLD_MS)
        send(options, 'end-session', id);
      continue;
    }
    const known = state.reported.get(id) ?? {
      heardMs: now,
      sequence: 0,
      use: {},
    };
    reported.set(id, known);
    if (now - known.heardMs >= SILENT_SESSION_TIMEOUT_MS) {
      send(options, 'close-session', id);
    }
  }
  return {...state, closedMs, reported};
}

function send(
  {proposer, log}: SliceAllocatorOptions,
  type: 'close-session' | 'end-session',
  session: string,
): void {
  log.info(type, {session});
  // The next tick tries again.
  proposer.propose({type, session}, {idempotent: true}).catch(error => {
    log.warn('session-change-failed', {session, error: String(error)});
  });
}
