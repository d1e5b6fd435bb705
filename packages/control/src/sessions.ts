/**
 * The task that holds what this process heard from its entries, and reports
 * it to the leader: every 500 ms what changed, and at once what is urgent.
 */
import {
  type ReportRequest,
  type ReportResponse,
  type TeamUse,
} from '@lentildrift/protocol';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import type {StateReplica} from './machine.js';
import type {Limits} from './limits.js';
import type {Peers} from './propose.js';
import {isUrgent, type Use} from './use.js';

export const REPORT_INTERVAL_MS = 500;
const ASK_TIMEOUT_MS = 1500;
/** Far beyond the silence after which the leader closes a session. */
const FORGET_AFTER_MS = 60_000;

interface Heard {
  readonly heardMs: number;
  readonly use: Use;
  /** What the leader has of `use`. */
  readonly reported: Use;
  readonly targets: Readonly<Record<string, number>>;
  /** Whether it synced since the last report that arrived. */
  readonly unsent: boolean;
}

type Targets = Readonly<Record<string, number>>;

type SessionsMessage =
  | {type: 'heard'; session: string; use: Use; reply?: Reply<void>}
  | {type: 'targets'; session: string; reply: Reply<Targets>}
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

export interface Sessions {
  heard(session: string, use: Use): void;
  /** Resolves once a report that holds the session's use was tried. */
  report(session: string, use: Use): Promise<void>;
  /** Ceilings that the leader wants for the session, by team. */
  targets(session: string): Promise<Targets>;
  stop(): Promise<void>;
}

export interface SessionsOptions {
  readonly member: string;
  readonly replica: StateReplica;
  readonly peers: Peers;
  readonly limits: Limits;
  readonly tasks: TaskSystem;
}

export function createSessions(options: SessionsOptions): Sessions {
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
          const next = {...record(state, message), waiting};
          const before = state.heard.get(message.session)?.use;
          const urgent = message.reply || isUrgent(before, message.use);
          return urgent ? startReport(options, next, self) : next;
        }
        case 'targets':
          message.reply.resolve(
            state.heard.get(message.session)?.targets ?? {},
          );
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
    heard: (session, use) => void task.post({type: 'heard', session, use}),
    report: (session, use) =>
      task.ask<void>(
        reply => ({type: 'heard', session, use, reply}),
        ASK_TIMEOUT_MS,
      ),
    targets: session =>
      task.ask<Targets>(
        reply => ({type: 'targets', session, reply}),
        ASK_TIMEOUT_MS,
      ),
    stop: () => {
      clearInterval(timer);
      return task.stop();
    },
  };
}

function record(
  state: SessionsState,
  {session, use}: {session: string; use: Use},
): SessionsState {
  const old = state.heard.get(session);
  const heard = new Map(state.heard).set(session, {
    heardMs: performance.now(),
    use,
    reported: old?.reported ?? {},
    targets: old?.targets ?? {},
    unsent: true,
  });
  return {...state, heard};
}

function forget(state: SessionsState): SessionsState {
  const oldest = performance.now() - FORGET_AFTER_MS;
  const kept = [...state.heard].filter(([, {heardMs}]) => heardMs > oldest);
  return kept.length === state.heard.size
    ? state
    : {...state, heard: new Map(kept)};
}

function startReport(
  options: SessionsOptions,
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
  const sessions = [...sent].map(([session, {heardMs, use, reported}]) => ({
    session,
    ageMs: Math.max(0, now - heardMs),
    use: changedUse(use, reported),
  }));
  return {from, sessions};
}

function changedUse(use: Use, reported: Use): Record<string, TeamUse> {
  const changed = Object.entries(use).filter(([team, next]) => {
    const old = reported[team];
    return (
      !old ||
      old.running !== next.running ||
      old.demand !== next.demand ||
      old.generation !== next.generation ||
      old.ceiling !== next.ceiling
    );
  });
  return Object.fromEntries(changed);
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
      reported: each.use,
      targets: response.targets[session] ?? {},
      unsent: now !== each,
    });
  }
  return {...next, heard};
}
