/** The task that owns the roster of upstreams and publishes the directory. */
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

/** Upstreams that may receive calls, by the key of `directoryKey`. */
export type Directory = ReadonlyMap<string, readonly RosterRecord[]>;

export type RosterMessage =
  /** Replies whether the item should be sent to control at once. */
  | {type: 'announce'; item: RosterItem; reply: Reply<boolean>}
  /** Merges the items of a sync response. */
  | {type: 'merge'; items: readonly RosterItem[]}
  | {type: 'view'; view: View}
  /** Replies with the items that control has not acknowledged. */
  | {type: 'collect'; reply: Reply<PendingItems>}
  /** Control has acknowledged the items of an earlier `collect`. */
  | {type: 'acknowledge'; sent: PendingItems};

/** Items to send to control, with the records that they were created from. */
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
  readonly pendingRecords: ReadonlyMap<string, RosterRecord>;
}

export function directoryKey(pool: string, service: string): string {
  return `${pool}/${service}`;
}

/** Creates the roster task; `onChange` is called with each new directory. */
export function createRoster(
  tasks: TaskSystem,
  onChange: (directory: Directory) => void = () => undefined,
  rules = new EntryRules(),
): RosterTask {
  const directory = createCell<Directory>(new Map());

  function dropTombstones(state: RosterState): RosterState {
    if (rules.keepsTombstones()) return state;
    const remaining = [...state.roster].filter(([, {left}]) => !left);
    return {...state, roster: new Map(remaining)};
  }

  function publish(state: RosterState): RosterState {
    directory.value = buildDirectory(state, performance.now());
    onChange(directory.value);
    return state;
  }

  const task = tasks.spawn<RosterState, RosterMessage>({
    name: 'roster',
    initial: {roster: new Map(), view: EMPTY_VIEW, pendingRecords: new Map()},
    handle(state, message) {
      switch (message.type) {
        case 'announce':
          message.reply.resolve(isUrgent(state.roster, message.item));
          return publish(dropTombstones(announce(state, message.item)));
        case 'merge':
          return publish(dropTombstones(merge(state, message.items)));
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

/**
 * Whether control should learn of the item before the next regular sync. A
 * mere renewal of an announcement's lease is not urgent.
 */
function isUrgent(roster: Roster, item: RosterItem): boolean {
  const record = roster.get(upstreamId(item.announcement));
  if (!record || !isLive(record, performance.now())) return true;
  const {incarnation, pool} = item.announcement;
  const known = record.announcement;
  return item.left || incarnation !== known.incarnation || pool !== known.pool;
}

function announce(state: RosterState, item: RosterItem): RosterState {
  const next = merge(state, [item]);
  const id = upstreamId(item.announcement);
  const record = next.roster.get(id);
  // An announcement older than the current record is not sent to control.
  if (!record || record === state.roster.get(id)) return next;
  return {
    ...next,
    pendingRecords: new Map(state.pendingRecords).set(id, record),
  };
}

function collect(state: RosterState): PendingItems {
  const now = performance.now();
  const items = [...state.pendingRecords.values()].map(record => ({
    announcement: record.announcement,
    left: record.left,
    ageMs: Math.max(0, now - record.receivedMs),
  }));
  return {items, records: state.pendingRecords};
}

/** Removes acknowledged records, except those replaced after the `collect`. */
function acknowledge(state: RosterState, sent: PendingItems): RosterState {
  const pendingRecords = new Map(
    [...state.pendingRecords].filter(
      ([id, record]) => sent.records.get(id) !== record,
    ),
  );
  return {...state, pendingRecords};
}

/**
 * Phases in which a host may receive calls. A joining host counts as available
 * only after the platform has reported it healthy, but its upstream may receive
 * calls as soon as the upstream has announced itself. This lets a site without
 * a platform serve calls.
 */
const ROUTABLE_PHASES: ReadonlySet<HostPhase> = new Set(['serving', 'joining']);

function buildDirectory(state: RosterState, nowMs: number): Directory {
  const directory = new Map<string, RosterRecord[]>();
  for (const record of liveUpstreams(state.roster, nowMs)) {
    const {pool, service, host} = record.announcement;
    const hostState = state.view.hosts[host];
    if (hostState?.pool !== pool || !ROUTABLE_PHASES.has(hostState.phase))
      continue;
    const key = directoryKey(pool, service);
    const list = directory.get(key);
    if (list) list.push(record);
    else directory.set(key, [record]);
  }
  return directory;
}
