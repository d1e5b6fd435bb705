/** The task that holds the roster of upstreams and shares it with its peers. */
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

/** News reaches the peers within 200 ms, with time for the way. */
const GOSSIP_DELAY_MS = 100;
/** A leave must reach every entry within 2 s, so lost gossip is sent again. */
const GOSSIP_TIMEOUT_MS = 400;
const MAX_RESENDS = 10;
/** Repairs what a peer missed while it was down. */
const EXCHANGE_INTERVAL_MS = 10_000;
const ASK_TIMEOUT_MS = 1000;
/** Versions of two processes must not be mistaken for each other. */
const FIRST_VERSION_BOUND = 2 ** 40;

/** Roster items newer than a version, and the version that they lead to. */
export interface RosterDelta {
  readonly items: RosterItem[];
  readonly version: number;
}

type RosterMessage =
  | {type: 'merge'; items: readonly RosterItem[]; local: boolean}
  | {type: 'since'; version: number; reply: Reply<RosterDelta>}
  | {type: 'live'; reply: Reply<readonly RosterRecord[]>}
  | {type: 'gossip'}
  /** News did not reach a peer. */
  | {type: 'missed'; peer: string; ids: ReadonlySet<string>; resends: number}
  | {type: 'exchange'};

interface RosterState {
  readonly roster: Roster;
  readonly first: number;
  readonly version: number;
  /** Upstream ID to the version at which its record changed. */
  readonly versions: ReadonlyMap<string, number>;
  /** IDs of records that the peers have not been sent. */
  readonly unsent: ReadonlySet<string>;
}

export interface RosterTask {
  /** Merges items; those from entries (`local`) are passed on to the peers. */
  merge(items: readonly RosterItem[], local: boolean): void;
  /** Items newer than `version`; all for a version of another process. */
  deltaSince(version: number): Promise<RosterDelta>;
  liveUpstreams(): Promise<readonly RosterRecord[]>;
  stop(): Promise<void>;
}

export interface RosterOptions {
  readonly member: string;
  readonly peers: Peers;
  readonly tasks: TaskSystem;
}

export function createRoster(options: RosterOptions): RosterTask {
  const first = randomInt(1, FIRST_VERSION_BOUND);
  const task = options.tasks.spawn<RosterState, RosterMessage>({
    name: 'roster',
    initial: {
      roster: new Map(),
      first,
      version: first,
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
          message.reply.resolve(newsSince(state, message.version));
          return state;
        case 'live':
          message.reply.resolve(liveUpstreams(state.roster, now()));
          return state;
        case 'gossip':
          for (const peer of options.peers.keys()) {
            sendNews(options, state, peer, state.unsent, 0, self);
          }
          return {...state, unsent: new Set()};
        case 'missed':
          if (message.resends < MAX_RESENDS) {
            const {peer, ids, resends} = message;
            sendNews(options, state, peer, ids, resends + 1, self);
          }
          return state;
        case 'exchange': {
          const next = prune(state);
          send(
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

function newsSince(state: RosterState, version: number): RosterDelta {
  const known = version >= state.first && version <= state.version;
  const since = known ? version : 0;
  const isNews = (id: string) => (state.versions.get(id) ?? 0) > since;
  return {items: itemsOf(state, isNews), version: state.version};
}

function itemsOf(
  state: RosterState,
  wanted: (id: string) => boolean,
): RosterItem[] {
  const chosen = [...state.roster].filter(([id]) => wanted(id));
  return toRosterItems(new Map(chosen), now());
}

function prune(state: RosterState): RosterState {
  const roster = pruneRoster(state.roster, now());
  if (roster === state.roster) return state;
  const kept = [...state.versions].filter(([id]) => roster.has(id));
  return {...state, roster, versions: new Map(kept)};
}

/** Sends records by ID, so that a resend carries what is known by then. */
function sendNews(
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
  const late = 'no answer to gossip';
  withTimeout(gossip, GOSSIP_TIMEOUT_MS, late).catch(async () => {
    // A refused connection fails at once; the peer may be restarting.
    await delay(GOSSIP_DELAY_MS);
    self.post({type: 'missed', peer, ids, resends});
  });
}

function send({member, peers}: RosterOptions, items: RosterItem[]): void {
  if (items.length === 0) return;
  for (const peer of peers.values()) {
    // The next full exchange repairs what is lost.
    peer.gossip({from: member, roster: items}).catch(() => undefined);
  }
}
