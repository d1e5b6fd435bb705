/**
 * The leader's task that divides the teams' limits into slices, and closes and
 * ends sessions. Its state is not replicated: a new leader starts with an empty
 * state and rebuilds it from the reports that it receives.
 */
import type {BodyOf, State} from '@lentildrift/model';
import {
  ServiceError,
  type ReportRequest,
  type ReportResponse,
  type Use,
} from '@lentildrift/protocol';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import type {Log} from '@lentildrift/observe';
import type {SliceHolder, LimitPolicy} from './policy.js';
import type {StateReplica} from './machine.js';
import type {Proposer} from './propose.js';
import {isUrgent} from './use.js';

const REBALANCE_INTERVAL_MS = 500;
/** Limits how often urgent reports cause changes. */
const MIN_URGENT_INTERVAL_MS = 100;
/** Longer than the freshness lease of 3,000 ms plus 1 % of clock drift. */
export const SILENT_SESSION_TIMEOUT_MS = 5000;
/**
 * How long a closed session keeps its slices: the freshness lease, the longest
 * call deadline and a grace period, counted from the close.
 */
export const CLOSED_SESSION_HOLD_MS = 3000 + 30_000 + 2000;
const ASK_TIMEOUT_MS = 10_000;

/** The last known use of one session. */
interface ReportedUse {
  /** Time of the monotonic clock when the session's last sync arrived, in ms. */
  readonly receivedAtMs: number;
  /** Highest sync number that was reported. */
  readonly sequence: number;
  readonly use: Use;
}

type Targets = ReportResponse['targets'];

interface AllocatorState {
  /** Term that this state belongs to; undefined while not leading. */
  readonly term: number | undefined;
  /** Session ID to the last use reported. */
  readonly reported: ReadonlyMap<string, ReportedUse>;
  /** Closed session to the time at which this leader first saw it closed, in ms. */
  readonly closedAtMs: ReadonlyMap<string, number>;
  readonly targets: Targets;
  readonly decidedAtMs: number;
  /** Whether a `set-slices` change has been proposed and not yet answered. */
  readonly deciding: boolean;
  /** Urgent reports that are answered after the next decision. */
  readonly pendingReports: readonly PendingReport[];
}

interface PendingReport {
  readonly request: ReportRequest;
  readonly reply: Reply<ReportResponse>;
}

type AllocatorMessage =
  | ({type: 'report'} & PendingReport)
  | {type: 'tick'}
  | {type: 'urgent'}
  | {type: 'decided'; pendingReports: readonly PendingReport[]};

export interface SliceAllocator {
  /**
   * Stores reported use, and resolves with the targets of the sessions. Rejects
   * with `ServiceError` and the verdict `not-run` if this is not the leader.
   */
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

const NOT_LEADING: AllocatorState = {
  term: undefined,
  reported: new Map(),
  closedAtMs: new Map(),
  targets: {},
  decidedAtMs: -Infinity,
  deciding: false,
  pendingReports: [],
};

export function createSliceAllocator(
  options: SliceAllocatorOptions,
): SliceAllocator {
  const task = options.tasks.spawn<AllocatorState, AllocatorMessage>({
    name: 'slice-allocator',
    initial: NOT_LEADING,
    handle(previous, message, self) {
      const state = resetOnTermChange(options.replica, previous);
      switch (message.type) {
        case 'report':
          return handleReport(state, message, self);
        case 'tick':
          return rebalance(options, closeOrEndSessions(options, state), self);
        case 'urgent':
          return rebalance(options, state, self);
        case 'decided':
          return finishDecision(options, state, message.pendingReports, self);
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

/** Discards the state of an earlier term when leadership has changed. */
function resetOnTermChange(
  replica: StateReplica,
  state: AllocatorState,
): AllocatorState {
  const {role, term} = replica.status();
  const leading = role === 'leader' ? term : undefined;
  if (leading === state.term) return state;
  resolveReports(state, state.pendingReports);
  const now = performance.now();
  // This leader has received no report before, so every session is allowed
  // the full silence timeout again.
  const reported = Object.keys(replica.state().sessions).map(
    id => [id, {receivedAtMs: now, sequence: 0, use: {}}] as const,
  );
  const {deciding} = state;
  return {...NOT_LEADING, deciding, term: leading, reported: new Map(reported)};
}

/** Stores a report, and answers it at once unless it is urgent. */
function handleReport(
  state: AllocatorState,
  {request, reply}: PendingReport,
  self: Task<AllocatorMessage>,
): AllocatorState {
  if (state.term === undefined) {
    reply.reject(new ServiceError('unavailable', 'not the leader'));
    return state;
  }
  const now = performance.now();
  const reported = new Map(state.reported);
  let urgent = false;
  for (const {session, ageMs, sequence, use} of request.sessions) {
    const old = reported.get(session);
    // A control process that the entry no longer syncs with may report late;
    // its older use must not overwrite newer use.
    const late = old !== undefined && sequence < old.sequence;
    const merged = late ? {...use, ...old.use} : {...old?.use, ...use};
    // A session without reported use has no slices yet and cannot admit any
    // call, so its report is treated as that of a new session.
    const before =
      Object.keys(old?.use ?? {}).length > 0 ? old?.use : undefined;
    urgent ||= isUrgent(before, merged);
    const receivedAtMs = Math.max(old?.receivedAtMs ?? -Infinity, now - ageMs);
    const newest = Math.max(old?.sequence ?? 0, sequence);
    reported.set(session, {receivedAtMs, sequence: newest, use: merged});
  }
  const next = {...state, reported};
  if (!urgent) {
    resolveReports(next, [{request, reply}]);
    return next;
  }
  if (state.pendingReports.length === 0) {
    const waitMs = state.decidedAtMs + MIN_URGENT_INTERVAL_MS - now;
    setTimeout(() => self.post({type: 'urgent'}), Math.max(0, waitMs));
  }
  return {...next, pendingReports: [...state.pendingReports, {request, reply}]};
}

/** Answers reports with the current targets of their sessions. */
function resolveReports(
  state: AllocatorState,
  pendingReports: readonly PendingReport[],
): void {
  for (const {request, reply} of pendingReports) {
    const known = request.sessions.flatMap(({session}) => {
      const targets = state.targets[session];
      return targets ? [[session, targets] as const] : [];
    });
    reply.resolve({targets: Object.fromEntries(known)});
  }
}

/** Answers the reports of a decision whose change was proposed. */
function finishDecision(
  options: SliceAllocatorOptions,
  state: AllocatorState,
  pendingReports: readonly PendingReport[],
  self: Task<AllocatorMessage>,
): AllocatorState {
  resolveReports(state, pendingReports);
  const next = {...state, deciding: false};
  return next.pendingReports.length > 0 ? rebalance(options, next, self) : next;
}

/** Divides all limits again and proposes the slices that differ. */
function rebalance(
  options: SliceAllocatorOptions,
  state: AllocatorState,
  self: Task<AllocatorMessage>,
): AllocatorState {
  if (state.term === undefined || state.deciding) return state;
  const {pendingReports} = state;
  const {slices, targets} = computeAllocations(options, state);
  const next = {
    ...state,
    targets,
    pendingReports: [],
    decidedAtMs: performance.now(),
  };
  if (slices.length === 0) {
    resolveReports(next, pendingReports);
    return next;
  }
  options.proposer
    .propose({type: 'set-slices', slices})
    .catch(error => {
      options.log.warn('rebalance-failed', {error: String(error)});
    })
    .finally(() => self.post({type: 'decided', pendingReports}));
  return {...next, deciding: true};
}

interface Decisions {
  readonly slices: BodyOf<'set-slices'>['slices'];
  readonly targets: Targets;
}

function computeAllocations(
  options: SliceAllocatorOptions,
  allocatorState: AllocatorState,
): Decisions {
  const state = options.replica.state();
  const {teams} = state.tables;
  const slices: Decisions['slices'] = [];
  const targets: Targets = {};
  // A team that was removed may still hold slices, which must be reclaimed.
  const names = new Set([...Object.keys(teams), ...Object.keys(state.slices)]);
  for (const team of names) {
    const limit = Object.hasOwn(teams, team) ? teams[team]!.limit : 0;
    const holders = listHolders(state, allocatorState, team);
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

function listHolders(
  state: State,
  allocatorState: AllocatorState,
  team: string,
): SliceHolder[] {
  return Object.values(state.sessions).map(({id, phase}) => ({
    session: id,
    phase,
    slice: state.slices[team]?.[id],
    use: allocatorState.reported.get(id)?.use[team],
  }));
}

/**
 * Closes silent sessions, and ends closed sessions after a time by which all of
 * their calls must have ended.
 */
function closeOrEndSessions(
  options: SliceAllocatorOptions,
  state: AllocatorState,
): AllocatorState {
  if (state.term === undefined) return state;
  const now = performance.now();
  const {sessions} = options.replica.state();
  const closedAtMs = new Map<string, number>();
  const reported = new Map<string, ReportedUse>();
  for (const {id, phase} of Object.values(sessions)) {
    if (phase === 'closed') {
      const since = state.closedAtMs.get(id) ?? now;
      closedAtMs.set(id, since);
      if (now - since >= CLOSED_SESSION_HOLD_MS)
        proposeSessionChange(options, 'end-session', id);
      continue;
    }
    const known = state.reported.get(id) ?? {
      receivedAtMs: now,
      sequence: 0,
      use: {},
    };
    reported.set(id, known);
    if (now - known.receivedAtMs >= SILENT_SESSION_TIMEOUT_MS) {
      proposeSessionChange(options, 'close-session', id);
    }
  }
  return {...state, closedAtMs, reported};
}

function proposeSessionChange(
  {proposer, log}: SliceAllocatorOptions,
  type: 'close-session' | 'end-session',
  session: string,
): void {
  log.info(type, {session});
  // A failure is not retried here: the next tick proposes the change again.
  proposer.propose({type, session}, {idempotent: true}).catch(error => {
    log.warn('session-change-failed', {session, error: String(error)});
  });
}
