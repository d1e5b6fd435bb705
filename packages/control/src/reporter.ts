/**
 * The task that stores the use that entries report in syncs with this process,
 * and forwards it to the leader: changes every 500 ms, urgent changes at once.
 */
import {
  changedUse,
  type ReportRequest,
  type ReportResponse,
  type SyncRequest,
  type SyncResponse,
  type Use,
} from '@lentildrift/protocol';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import type {StateReplica} from './machine.js';
import type {SliceAllocator} from './allocator.js';
import type {Peers} from './propose.js';
import {isUrgent} from './use.js';

export const REPORT_INTERVAL_MS = 500;
const ASK_TIMEOUT_MS = 1500;
/** Much longer than the silence after which the leader closes a session. */
const FORGET_AFTER_MS = 60_000;

/** The use of one session, as its entry last reported it. */
interface SessionUse {
  /** Time of the monotonic clock when the last sync arrived, in ms. */
  readonly receivedAtMs: number;
  /** Number of the last sync that `use` includes. */
  readonly sequence: number;
  /** Whether `use` contains every team that the entry reported. */
  readonly isComplete: boolean;
  /** Number of the last sync that contained the use of all teams. */
  readonly fullSequence: number;
  readonly use: Use;
  /** The part of `use` that the leader has received. */
  readonly reported: Use;
  /** The targets in the leader's last answer. */
  readonly targets: Targets;
  /** Whether the entry has synced since the last report that the leader got. */
  readonly isUnsent: boolean;
}

type Targets = ReportResponse['targets'][string];

/** The fields of a sync that describe use. */
export type UseSync = Pick<
  SyncRequest,
  'session' | 'sequence' | 'useSince' | 'use'
>;

/** The fields of the answer to a sync that concern use. */
export type UseAnswer = Pick<SyncResponse & {ok: true}, 'targets' | 'useHeld'>;

type ReporterMessage =
  | {type: 'record'; sync: UseSync; reply?: Reply<void>}
  | {type: 'answer'; sync: UseSync; reply: Reply<UseAnswer>}
  | {type: 'tick'}
  | {
      type: 'reported';
      leader: string;
      sent: ReadonlyMap<string, SessionUse>;
      response?: ReportResponse;
      pendingReplies: readonly Reply<void>[];
    };

interface ReporterState {
  /** Session ID to its last use. */
  readonly sessions: ReadonlyMap<string, SessionUse>;
  /** Leader and term to which the `reported` use of all sessions refers. */
  readonly leader: string;
  /** Whether a report has been sent and not yet answered. */
  readonly isReporting: boolean;
  /** Whether a report became due while another was under way. */
  readonly isReportDue: boolean;
  /** Replies to callers of `report` that the next report answers. */
  readonly pendingReplies: readonly Reply<void>[];
}

export interface UseReporter {
  /** Stores the use in a sync; reports it at once if it is urgent. */
  record(sync: UseSync): void;
  /**
   * Stores the use in a sync, and resolves once a report with it was answered or
   * has failed. Rejects with `TaskTimeout` after 1,500 ms.
   */
  report(sync: UseSync): Promise<void>;
  /**
   * Returns the answer to a sync whose use was stored before. Rejects with
   * `TaskTimeout` after 1,500 ms.
   */
  answerFor(sync: UseSync): Promise<UseAnswer>;
  stop(): Promise<void>;
}

export interface UseReporterOptions {
  readonly member: string;
  readonly replica: StateReplica;
  readonly peers: Peers;
  readonly allocator: SliceAllocator;
  readonly tasks: TaskSystem;
}

export function createUseReporter(options: UseReporterOptions): UseReporter {
  const task = options.tasks.spawn<ReporterState, ReporterMessage>({
    name: 'use-reporter',
    initial: {
      sessions: new Map(),
      leader: '',
      isReporting: false,
      isReportDue: false,
      pendingReplies: [],
    },
    handle(state, message, self) {
      switch (message.type) {
        case 'record': {
          const pendingReplies = message.reply
            ? [...state.pendingReplies, message.reply]
            : state.pendingReplies;
          const next = {...record(state, message.sync), pendingReplies};
          const {session} = message.sync;
          const before = state.sessions.get(session)?.use;
          const after = next.sessions.get(session)!.use;
          const urgent = message.reply || isUrgent(before, after);
          return urgent ? startReport(options, next, self) : next;
        }
        case 'answer':
          message.reply.resolve(answerSync(state, message.sync));
          return state;
        case 'tick':
          return startReport(options, forgetSilentSessions(state), self);
        case 'reported': {
          message.pendingReplies.forEach(reply => reply.resolve());
          const next = finishReport(state, message);
          return state.isReportDue ? startReport(options, next, self) : next;
        }
      }
    },
  });
  const timer = setInterval(
    () => task.post({type: 'tick'}),
    REPORT_INTERVAL_MS,
  );
  return {
    record: sync => void task.post({type: 'record', sync}),
    report: sync =>
      task.ask<void>(reply => ({type: 'record', sync, reply}), ASK_TIMEOUT_MS),
    answerFor: sync =>
      task.ask<UseAnswer>(
        reply => ({type: 'answer', sync, reply}),
        ASK_TIMEOUT_MS,
      ),
    stop: () => {
      clearInterval(timer);
      return task.stop();
    },
  };
}

function record(state: ReporterState, sync: UseSync): ReporterState {
  const {session, sequence, useSince} = sync;
  const old = state.sessions.get(session);
  // A sync that arrives after a later one contains nothing that the later
  // sync did not contain.
  if (old && sequence <= old.sequence) return state;
  const isFull = useSince === 0;
  const isContiguous = old?.isComplete === true && useSince <= old.sequence;
  const sessions = new Map(state.sessions).set(session, {
    receivedAtMs: performance.now(),
    sequence,
    isComplete: isFull || isContiguous,
    fullSequence: isFull ? sequence : (old?.fullSequence ?? 0),
    use: isFull ? sync.use : {...old?.use, ...sync.use},
    // Another process may have reported other use of the session since the
    // last sync here, so all of the use is sent to the leader again.
    reported: isFull ? {} : (old?.reported ?? {}),
    targets: old?.targets ?? {},
    isUnsent: true,
  });
  return {...state, sessions};
}

function answerSync(state: ReporterState, sync: UseSync): UseAnswer {
  const recorded = state.sessions.get(sync.session);
  if (!recorded) return {targets: {}, useHeld: false};
  const useHeld = recorded.isComplete && recorded.sequence >= sync.sequence;
  return {targets: selectUnmetTargets(recorded.targets, recorded.use), useHeld};
}

/**
 * Drops the targets that the entry has reached, and those that were set for an
 * older generation of the slice than the entry holds.
 */
function selectUnmetTargets(targets: Targets, use: Use): Targets {
  const unmet = Object.entries(targets).filter(([team, target]) => {
    const held = Object.hasOwn(use, team) ? use[team] : undefined;
    if (!held || held.generation < target.generation) return true;
    const isSameGeneration = held.generation === target.generation;
    return isSameGeneration && held.ceiling > target.ceiling;
  });
  return Object.fromEntries(unmet);
}

function forgetSilentSessions(state: ReporterState): ReporterState {
  const oldest = performance.now() - FORGET_AFTER_MS;
  const kept = [...state.sessions].filter(
    ([, {receivedAtMs}]) => receivedAtMs > oldest,
  );
  return kept.length === state.sessions.size
    ? state
    : {...state, sessions: new Map(kept)};
}

/**
 * Sends the use of sessions that synced since the last report to the leader, or
 * marks a report as due if one is under way.
 */
function startReport(
  options: UseReporterOptions,
  state: ReporterState,
  self: Task<ReporterMessage>,
): ReporterState {
  if (state.isReporting) return {...state, isReportDue: true};
  const {role, leader: leaderId, term} = options.replica.status();
  const leader = `${leaderId}/${term}`;
  const current =
    leader === state.leader ? state : resetForLeader(state, leader);
  const sent = new Map(
    [...current.sessions].filter(([, {isUnsent}]) => isUnsent),
  );
  const {pendingReplies} = current;
  const finish = (response?: ReportResponse) =>
    self.post({type: 'reported', leader, sent, response, pendingReplies});
  const peer = options.peers.get(leaderId ?? '');
  const service = role === 'leader' ? options.allocator : peer;
  if (sent.size === 0 || !service) {
    pendingReplies.forEach(reply => reply.resolve());
    return {...current, pendingReplies: [], isReportDue: false};
  }
  service
    .report(buildRequest(options.member, sent))
    .then(finish, () => finish());
  return {
    ...current,
    isReporting: true,
    isReportDue: false,
    pendingReplies: [],
  };
}

/** Marks all use as unreported, since a new leader has received none of it. */
function resetForLeader(state: ReporterState, leader: string): ReporterState {
  const sessions = [...state.sessions].map(
    ([id, each]) => [id, {...each, reported: {}, isUnsent: true}] as const,
  );
  return {...state, leader, sessions: new Map(sessions)};
}

function buildRequest(
  from: string,
  sent: ReadonlyMap<string, SessionUse>,
): ReportRequest {
  const now = performance.now();
  const sessions = [...sent].map(([session, each]) => ({
    session,
    ageMs: Math.max(0, now - each.receivedAtMs),
    sequence: each.sequence,
    use: changedUse(each.use, each.reported),
  }));
  return {from, sessions};
}

/** Notes what the leader received, unless the report failed or the leader changed. */
function finishReport(
  state: ReporterState,
  message: Extract<ReporterMessage, {type: 'reported'}>,
): ReporterState {
  const {leader, sent, response} = message;
  const next = {...state, isReporting: false};
  if (!response || leader !== state.leader) return next;
  const sessions = new Map(state.sessions);
  for (const [session, each] of sent) {
    const current = sessions.get(session);
    if (!current) continue;
    sessions.set(session, {
      ...current,
      reported: each.sequence >= current.fullSequence ? each.use : {},
      targets: response.targets[session] ?? {},
      isUnsent: current !== each,
    });
  }
  return {...next, sessions};
}
