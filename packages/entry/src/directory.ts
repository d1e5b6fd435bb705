/** The task that owns the roster, and the directory that it publishes. */
import {
  EMPTY_VIEW,
  isLive,
  liveUpstreams,
  mergeRoster,
  pruneRoster,
  upstreamId,
  type HostPhase,
  type Roster,
  type RosterItem,
  type RosterRecord,
  type View,
} from '@lentildrift/model';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import {createCell, type Cell} from './cell.js';
import {EntryRules} from './rules.js';

/** Pool and service to the upstreams in service. */
export type Directory = ReadonlyMap<string, readonly RosterRecord[]>;

export type RosterMessage =
  /** Answered with whether control should be told at once. */
  | {type: 'announce'; item: RosterItem; reply: Reply<boolean>}
  | {type: 'merge'; items: readonly RosterItem[]}
  | {type: 'view'; view: View}
  /** Asks for the items that control has not acknowledged. */
  | {type: 'collect'; reply: Reply<PendingItems>}
  | {type: 'acknowledge'; sent: PendingItems};

/** Items on their way to control, with the records they were made of. */
export interface PendingItems {
  readonly items: RosterItem[];
  readonly records: ReadonlyMap<string, RosterRecord>;
}

export interface RosterTask {
  readonly task: Task<RosterMessage>;
  readonly directory: Cell<Directory>;
}

interface RosterState {
  readonly roster: Roster;
  readonly view: View;
  readonly outgoing: ReadonlyMap<string, RosterRecord>;
}

export function directoryKey(pool: string, service: string): string {
  return `${pool}/${service}`;
}

/** `onChange` gets each new directory. */
export function createRoster(
  tasks: TaskSystem,
  onChange: (directory: Directory) => void = () => undefined,
  rules = new EntryRules(),
): RosterTask {
  const directory = createCell<Directory>(new Map());

  function forget(state: RosterState): RosterState {
    if (rules.keepsTombstones()) return state;
    const kept = [...state.roster].filter(([, {left}]) => !left);
    return {...state, roster: new Map(kept)};
  }

  function publish(state: RosterState): RosterState {
    directory.value = buildDirectory(state, performance.now());
    onChange(directory.value);
    return state;
  }

  const task = tasks.spawn<RosterState, RosterMessage>({
    name: 'roster',
    initial: {roster: new Map(), view: EMPTY_VIEW, outgoing: new Map()},
    handle(state, message) {
      switch (message.type) {
        case 'announce':
          message.reply.resolve(isUrgent(state.roster, message.item));
          return publish(forget(announce(state, message.item)));
        case 'merge':
          return publish(forget(merge(state, message.items)));
        case 'view':
          return publish({...state, view: message.view});
        case 'collect':
          message.reply.resolve(collect(state));
          return state;
        case 'acknowledge':
          return acknowledge(state, message.sent);
      }
    },
  });
  return {task, directory};
}

function merge(state: RosterState, items: readonly RosterItem[]): RosterState {
  const now = performance.now();
  const roster = pruneRoster(mergeRoster(state.roster, items, now), now);
  return {...state, roster};
}

/** Renewals of a lease can wait for the next regular sync. */
function isUrgent(roster: Roster, item: RosterItem): boolean {
  const held = roster.get(upstreamId(item.announcement));
  if (!held || !isLive(held, performance.now())) return true;
  const {incarnation, pool} = item.announcement;
  const known = held.announcement;
  return item.left || incarnation !== known.incarnation || pool !== known.pool;
}

function announce(state: RosterState, item: RosterItem): RosterState {
  const next = merge(state, [item]);
  const id = upstreamId(item.announcement);
  const record = next.roster.get(id);
  // An announcement that is older than what is held tells control nothing.
  if (!record || record === state.roster.get(id)) return next;
  return {...next, outgoing: new Map(state.outgoing).set(id, record)};
}

function collect(state: RosterState): PendingItems {
  const now = performance.now();
  const items = [...state.outgoing.values()].map(record => ({
    announcement: record.announcement,
    left: record.left,
    ageMs: Math.max(0, now - record.receivedMs),
  }));
  return {items, records: state.outgoing};
}

/** Keeps what was announced after the items were collected. */
function acknowledge(state: RosterState, sent: PendingItems): RosterState {
  const outgoing = new Map(
    [...state.outgoing].filter(
      ([id, record]) => sent.records.get(id) !== record,
    ),
  );
  return {...state, outgoing};
}

/**
 * A joining host counts as available only once the platform has seen it
 * healthy, but its upstream, which announces itself, already takes calls. So a
 * site without a platform can serve calls.
 */
const ROUTABLE_PHASES: ReadonlySet<HostPhase> = new Set(['serving', 'joining']);

function buildDirectory(state: RosterState, nowMs: number): Directory {
  const directory = new Map<string, RosterRecord[]>();
  for (const record of liveUpstreams(state.roster, nowMs)) {
    const {pool, service, host} = record.announcement;
    const held = state.view.hosts[host];
    if (held?.pool !== pool || !ROUTABLE_PHASES.has(held.phase)) continue;
    const key = directoryKey(pool, service);
    const list = directory.get(key);
    if (list) list.push(record);
    else directory.set(key, [record]);
  }
  return directory;
}
