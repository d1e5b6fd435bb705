/**
 * The task that holds what this process heard from its entries, and reports
 * it to the leader: every 500 ms what changed, and at once what is urgent.
 */
import {
  diffUse,
  type ReportRequest,
  type ReportResponse,
  type SyncRequest,
  type SyncResponse,
  type UseByTeam,
} from '@lentildrift/protocol';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import type {StateReplica} from './machine.js';
import type {SliceAllocator} from './allocator.js';
import type {Peers} from './propose.js';
import {isUrgent} from './use.js';

export const REPORT_INTERVAL_MS = 500;
const ASK_TIMEOUT_MS = 1500;
/** Far beyond the silence after which the leader closes a session. */
const FORGET_AFTER_MS = 60_000;

interface Heard {
  readonly heardMs: number;
  /** The last sync that `use` takes in. */
  readonly sequence: number;
  /** Whether `use` holds every team that the entry reported. */
  readonly complete: boolean;
  /** The last sync that held all use. */
  readonly wholeSequence: number;
  readonly use: UseByTeam;
  /** What the leader has of `use`. */
  readonly reported: UseByTeam;
  readonly targets: Targets;
  /** Whether it synced since the last report that arrived. */
  readonly unsent: boolean;
}

type Targets = ReportResponse['targets'][string];

/** The part of a sync that is about use. */
export type UseSync = Pick<
  SyncRequest,
  'session' | 'sequence' | 'useSince' | 'use'
>;

/** The part of the answer to a sync that is about use. */
export type UseAnswer = Pick<SyncResponse & {ok: true}, 'targets' | 'useHeld'>;

type SessionsMessage =
  | {type: 'heard'; sync: UseSync; reply?: Reply<void>}
  | {type: 'answer'; sync: UseSync; reply: Reply<UseAnswer>}
  | {type: 'tick'}
  | {
      type: 'reported';
      leader: string;
      sent: ReadonlyMap<string, Heard>;
      response?: ReportResponse;
      waiting: readonly Reply<void>[];
    };

interface SessionsState {
  readonly heard: ReadonlyMap<string, Heard>;
  /** Leader and term to which `reported` applies. */
  readonly leader: string;
  readonly reporting: boolean;
  /** A report became due while another was under way. */
  readonly due: boolean;
  readonly waiting: readonly Reply<void>[];
}

export interface UseReporter {
  record(sync: UseSync): void;
  /** Resolves once a report that holds the session's use was tried. */
  report(sync: UseSync): Promise<void>;
  /** What to tell the entry that sent the sync, after it was heard. */
  answerFor(sync: UseSync): Promise<UseAnswer>;
  stop(): Promise<void>;
}

export interface UseReporterOptions {
  readonly member: string;
  readonly replica: StateReplica;
  readonly peers: Peers;
  readonly limits: SliceAllocator;
  readonly tasks: TaskSystem;
}

export function createUseReporter(options: UseReporterOptions): UseReporter {
  const task = options.tasks.spawn<SessionsState, SessionsMessage>({
    name: 'sessions',
    initial: {
      heard: new Map(),
      leader: '',
      reporting: false,
      due: false,
      waiting: [],
    },
    handle(state, message, self) {
      switch (message.type) {
        case 'heard': {
          const waiting = message.reply
            ? [...state.waiting, message.reply]
            : state.waiting;
          const next = {...record(state, message.sync), waiting};
          const {session} = message.sync;
          const before = state.heard.get(session)?.use;
          const after = next.heard.get(session)!.use;
          const urgent = message.reply || isUrgent(before, after);
          return urgent ? startReport(options, next, self) : next;
        }
        case 'answer':
          message.reply.resolve(answerTo(state, message.sync));
          return state;
        case 'tick':
          return startReport(options, forget(state), self);
        case 'reported': {
          message.waiting.forEach(reply => reply.resolve());
          const next = finishReport(state, message);
          return state.due ? startReport(options, next, self) : next;
        }
      }
    },
  });
  const timer = setInterval(
    () => task.post({type: 'tick'}),
    REPORT_INTERVAL_MS,
  );
  return {
    record: sync => void task.post({type: 'heard', sync}),
    report: sync =>
      task.ask<void>(reply => ({type: 'heard', sync, reply}), ASK_TIMEOUT_MS),
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

function record(state: SessionsState, sync: UseSync): SessionsState {
  const {session, sequence, useSince} = sync;
  const old = state.heard.get(session);
  // A sync that was overtaken brings nothing that the later one did not.
  if (old && sequence <= old.sequence) return state;
  const whole = useSince === 0;
  const follows = old?.complete === true && useSince <= old.sequence;
  const heard = new Map(state.heard).set(session, {
    heardMs: performance.now(),
    sequence,
    complete: whole || follows,
    wholeSequence: whole ? sequence : (old?.wholeSequence ?? 0),
    use: whole ? sync.use : {...old?.use, ...sync.use},
    // Another process may have reported other use of the session meanwhile.
    reported: whole ? {} : (old?.reported ?? {}),
    targets: old?.targets ?? {},
    unsent: true,
  });
  return {...state, heard};
}

function answerTo(state: SessionsState, sync: UseSync): UseAnswer {
  const heard = state.heard.get(sync.session);
  if (!heard) return {targets: {}, useHeld: false};
  const useHeld = heard.complete && heard.sequence >= sync.sequence;
  return {targets: unmet(heard.targets, heard.use), useHeld};
}

/** Without the targets that the entry has reached or that a grant overtook. */
function unmet(targets: Targets, use: UseByTeam): Targets {
  const left = Object.entries(targets).filter(([team, target]) => {
    const held = Object.hasOwn(use, team) ? use[team] : undefined;
    if (!held || held.generation < target.generation) return true;
    const same = held.generation === target.generation;
    return same && held.ceiling > target.ceiling;
  });
  return Object.fromEntries(left);
}

function forget(state: SessionsState): SessionsState {
  const oldest = performance.now() - FORGET_AFTER_MS;
  const kept = [...state.heard].filter(([, {heardMs}]) => heardMs > oldest);
  return kept.length === state.heard.size
    ? state
    : {...state, heard: new Map(kept)};
}

function startReport(
  options: UseReporterOptions,
  state: SessionsState,
  self: Task<SessionsMessage>,
): SessionsState {
  if (state.reporting) return {...state, due: true};
  const {role, leader: leaderId, term} = options.replica.status();
  const leader = `${leaderId}/${term}`;
  const current = leader === state.leader ? state : unreported(state, leader);
  const sent = new Map([...current.heard].filter(([, {unsent}]) => unsent));
  const {waiting} = current;
  const finish = (response?: ReportResponse) =>
    self.post({type: 'reported', leader, sent, response, waiting});
  const peer = options.peers.get(leaderId ?? '');
  const service = role === 'leader' ? options.limits : peer;
  if (sent.size === 0 || !service) {
    waiting.forEach(reply => reply.resolve());
    return {...current, waiting: [], due: false};
  }
  service.report(requestOf(options.member, sent)).then(finish, () => finish());
  return {...current, reporting: true, due: false, waiting: []};
}

/** A new leader has heard nothing yet. */
function unreported(state: SessionsState, leader: string): SessionsState {
  const heard = [...state.heard].map(
    ([id, each]) => [id, {...each, reported: {}, unsent: true}] as const,
  );
  return {...state, leader, heard: new Map(heard)};
}

function requestOf(
  from: string,
  sent: ReadonlyMap<string, Heard>,
): ReportRequest {
  const now = performance.now();
  const sessions = [...sent].map(([session, each]) => ({
    session,
    ageMs: Math.max(0, now - each.heardMs),
    sequence: each.sequence,
    use: diffUse(each.use, each.reported),
  }));
  return {from, sessions};
}

function finishReport(
  state: SessionsState,
  message: Extract<SessionsMessage, {type: 'reported'}>,
): SessionsState {
  const {leader, sent, response} = message;
  const next = {...state, reporting: false};
  if (!response || leader !== state.leader) return next;
  const heard = new Map(state.heard);
  for (const [session, each] of sent) {
    const now = heard.get(session);
    if (!now) continue;
    heard.set(session, {
      ...now,
      reported: each.sequence >= now.wholeSequence ? each.use : {},
      targets: response.targets[session] ?? {},
      unsent: now !== each,
    });
  }
  return {...next, heard};
}
