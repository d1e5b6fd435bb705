/**
 * The task that holds the roster of upstreams, and exchanges it with the other
 * control processes by gossip.
 */
import {
  liveUpstreams,
  mergeRoster,
  pruneRoster,
  toRosterItems,
  type Roster,
  type RosterItem,
  type RosterRecord,
} from '@lentildrift/model';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import {randomInt} from 'node:crypto';
import type {Peers} from './propose.js';
import {delay, withTimeout} from './time.js';

/**
 * How long changes are batched before they are sent. Changes must reach the peers
 * within 200 ms, so this leaves time for the transmission.
 */
const GOSSIP_DELAY_MS = 100;
/**
 * An upstream's leave must reach every entry within 2 s, so gossip that is not
 * answered in this time is sent again.
 */
const GOSSIP_TIMEOUT_MS = 400;
const MAX_RESENDS = 10;
/**
 * Interval of full exchanges, which bring a peer up to date with changes that it
 * missed while it was down.
 */
const EXCHANGE_INTERVAL_MS = 10_000;
const ASK_TIMEOUT_MS = 1000;
/**
 * Upper bound of the random first version. The range is large so that a version
 * of one process is not mistaken for a version of another.
 */
const FIRST_VERSION_BOUND = 2 ** 40;

/** Roster items newer than a requested version, and the current version. */
export interface RosterDelta {
  readonly items: RosterItem[];
  readonly version: number;
}

type RosterMessage =
  | {type: 'merge'; items: readonly RosterItem[]; local: boolean}
  | {type: 'since'; version: number; reply: Reply<RosterDelta>}
  | {type: 'live'; reply: Reply<readonly RosterRecord[]>}
  | {type: 'gossip'}
  /** A peer did not answer gossip. */
  | {
      type: 'gossip-failed';
      peer: string;
      ids: ReadonlySet<string>;
      resends: number;
    }
  | {type: 'exchange'};

interface RosterState {
  readonly roster: Roster;
  /** First version of this process; lower versions belong to other processes. */
  readonly firstVersion: number;
  readonly version: number;
  /** Upstream ID to the version at which its record changed. */
  readonly versions: ReadonlyMap<string, number>;
  /** IDs of changed records that have not been sent to the peers. */
  readonly unsent: ReadonlySet<string>;
}

export interface RosterTask {
  /** Merges items; items from entries (`local`) are forwarded to the peers. */
  merge(items: readonly RosterItem[], local: boolean): void;
  /**
   * Returns the items newer than `version`, or all items if `version` is that of
   * another process. Rejects with `TaskTimeout` after 1,000 ms.
   */
  deltaSince(version: number): Promise<RosterDelta>;
  /** Returns the records whose lease has not expired. */
  liveUpstreams(): Promise<readonly RosterRecord[]>;
  stop(): Promise<void>;
}

export interface RosterOptions {
  readonly member: string;
  readonly peers: Peers;
  readonly tasks: TaskSystem;
}

export function createRoster(options: RosterOptions): RosterTask {
  const firstVersion = randomInt(1, FIRST_VERSION_BOUND);
  const task = options.tasks.spawn<RosterState, RosterMessage>({
    name: 'roster',
    initial: {
      roster: new Map(),
      firstVersion,
      version: firstVersion,
      versions: new Map(),
      unsent: new Set(),
    },
    handle(state, message, self) {
      switch (message.type) {
        case 'merge': {
          const next = merge(state, message.items, message.local);
          if (state.unsent.size === 0 && next.unsent.size > 0) {
            setTimeout(() => self.post({type: 'gossip'}), GOSSIP_DELAY_MS);
          }
          return next;
        }
        case 'since':
          message.reply.resolve(itemsSince(state, message.version));
          return state;
        case 'live':
          message.reply.resolve(liveUpstreams(state.roster, now()));
          return state;
        case 'gossip':
          for (const peer of options.peers.keys()) {
            sendRecords(options, state, peer, state.unsent, 0, self);
          }
          return {...state, unsent: new Set()};
        case 'gossip-failed':
          if (message.resends < MAX_RESENDS) {
            const {peer, ids, resends} = message;
            sendRecords(options, state, peer, ids, resends + 1, self);
          }
          return state;
        case 'exchange': {
          const next = prune(state);
          broadcast(
            options,
            itemsOf(next, () => true),
          );
          return next;
        }
      }
    },
  });
  const timer = setInterval(
    () => task.post({type: 'exchange'}),
    EXCHANGE_INTERVAL_MS,
  );
  return {
    merge: (items, local) => {
      if (items.length > 0) task.post({type: 'merge', items, local});
    },
    deltaSince: version =>
      task.ask<RosterDelta>(
        reply => ({type: 'since', version, reply}),
        ASK_TIMEOUT_MS,
      ),
    liveUpstreams: () =>
      task.ask<readonly RosterRecord[]>(
        reply => ({type: 'live', reply}),
        ASK_TIMEOUT_MS,
      ),
    stop: () => {
      clearInterval(timer);
      return task.stop();
    },
  };
}

const now = () => performance.now();

function merge(
  state: RosterState,
  items: readonly RosterItem[],
  local: boolean,
): RosterState {
  const roster = mergeRoster(state.roster, items, now());
  if (roster === state.roster) return state;
  const version = state.version + 1;
  const versions = new Map(state.versions);
  const unsent = new Set(state.unsent);
  for (const [id, record] of roster) {
    if (state.roster.get(id) === record) continue;
    versions.set(id, version);
    if (local) unsent.add(id);
  }
  return {...state, roster, version, versions, unsent};
}

function itemsSince(state: RosterState, version: number): RosterDelta {
  const isKnown = version >= state.firstVersion && version <= state.version;
  const since = isKnown ? version : 0;
  const isNewer = (id: string) => (state.versions.get(id) ?? 0) > since;
  return {items: itemsOf(state, isNewer), version: state.version};
}

function itemsOf(
  state: RosterState,
  isWanted: (id: string) => boolean,
): RosterItem[] {
  const selected = [...state.roster].filter(([id]) => isWanted(id));
  return toRosterItems(new Map(selected), now());
}

function prune(state: RosterState): RosterState {
  const roster = pruneRoster(state.roster, now());
  if (roster === state.roster) return state;
  const kept = [...state.versions].filter(([id]) => roster.has(id));
  return {...state, roster, versions: new Map(kept)};
}

/**
 * Sends the records with the given IDs to one peer. Only the IDs are kept for a
 * resend, so that a resend carries the records as they are by then.
 */
function sendRecords(
  {member, peers}: RosterOptions,
  state: RosterState,
  peer: string,
  ids: ReadonlySet<string>,
  resends: number,
  self: Task<RosterMessage>,
): void {
  const roster = itemsOf(state, id => ids.has(id));
  const gossip = peers.get(peer)?.gossip({from: member, roster});
  if (!gossip) return;
  const timeoutMessage = 'the peer did not answer gossip in time';
  withTimeout(gossip, GOSSIP_TIMEOUT_MS, timeoutMessage).catch(async () => {
    // A refused connection fails at once. The peer may be restarting, so the
    // next attempt waits.
    await delay(GOSSIP_DELAY_MS);
    self.post({type: 'gossip-failed', peer, ids, resends});
  });
}

/** Sends items to all peers, without resending after a failure. */
function broadcast({member, peers}: RosterOptions, items: RosterItem[]): void {
  if (items.length === 0) return;
  for (const peer of peers.values()) {
    // The next full exchange carries the items again.
    peer.gossip({from: member, roster: items}).catch(() => undefined);
  }
}
