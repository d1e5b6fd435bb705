/**
 * Maintains links to the control processes and the group status they report.
 */
import {openLink, type Link} from '@lentildrift/link';
import type {Log} from '@lentildrift/observe';
import type {TaskSystem} from '@lentildrift/task';
import {z} from 'zod';

/** The status that a control process sends to each peer that connects. */
export const GroupStatus = z.object({
  member: z.string(),
  /** ID of the process incarnation; differs at each start. */
  process: z.string(),
  term: z.int().nonnegative(),
  leader: z.string().optional(),
  voters: z.array(z.string()),
  learners: z.array(z.string()),
  /** Data centre of the process. */
  dataCentre: z.string(),
  /**
   * Whether the process has taken over as the leader, so that it handles
   * requests. Earlier versions do not report it.
   */
  isServing: z.boolean().optional(),
});
export type GroupStatus = z.infer<typeof GroupStatus>;

/** Kind of the link message that carries a `GroupStatus`. */
export const STATUS = 'status';

/**
 * Returns the `ip:port` on which a member accepts links; its ID begins with it.
 */
export function addressOf(member: string): string {
  return member.slice(0, member.indexOf('/'));
}

export interface MeshOptions {
  /** Name of this process in its links. */
  readonly name: string;
  /** Link address of this process, if it is a control process. */
  readonly self?: string;
  /** Addresses from the settings; they may change and may be outdated. */
  seeds(): readonly string[];
  readonly tasks: TaskSystem;
  readonly log: Log;
  /** Called when a status was received, or a link opened or closed. */
  onChange(): void;
}

/** A control process that has reported its status on an open link. */
export interface Peer {
  readonly address: string;
  /** ID of the member that runs there; differs after a loss of its disk. */
  readonly member: string;
  readonly dataCentre: string;
  readonly link: Link;
}

export interface Mesh {
  /** The link to the address, open or not; undefined if none is kept. */
  linkTo(address: string): Link | undefined;
  /** Links that are open. */
  openLinks(): Link[];
  /** The control processes that this process has a link to. */
  peers(): ReadonlyMap<string, Peer>;
  /** Link to the leader, if it is known and the link is open. */
  leaderLink(): Link | undefined;
  /**
   * ID of the process at the address, as reported; undefined without a link.
   */
  processIdAt(address: string): string | undefined;
  /** Members of the group by the leader's own status, if its link is open. */
  leaderMembers(): readonly string[] | undefined;
  /** Whether any connected process has reported a leader. */
  hasLeader(): boolean;
  /** Whether the leader itself reports that it has not taken over yet. */
  isTakeoverPending(): boolean;
  /**
   * Monotonic time at which anything last came from a process that names a
   * leader; -Infinity if none does.
   */
  leaderConfirmedMs(): number;
  /**
   * Opens links to the seeds and all known members and closes the others.
   * `members` replaces the members that this process itself knows.
   */
  refresh(members?: readonly string[]): void;
  stop(): Promise<void>;
}

export function createMesh(options: MeshOptions): Mesh {
  const {name, self, tasks, log} = options;
  const links = new Map<string, Link>();
  const statuses = new Map<string, GroupStatus>();
  /** By address; undefined after a change, until it is needed again. */
  let knownPeers: ReadonlyMap<string, Peer> | undefined;
  let ownMembers: readonly string[] = [];
  /** Addresses of the members that a process last reported. */
  let reportedAddresses: readonly string[] = [];
  let loggedLeader = '';

  function refresh(members?: readonly string[]): void {
    if (members) ownMembers = members;
    const wanted = new Set([...options.seeds(), ...ownMembers.map(addressOf)]);
    const reported = [...statuses.values()].flatMap(({voters, learners}) =>
      [...voters, ...learners].map(addressOf),
    );
    // After all links have closed, the seeds may name no member that is left.
    if (reported.length > 0) reportedAddresses = reported;
    for (const address of reportedAddresses) wanted.add(address);
    if (self !== undefined) wanted.delete(self);
    for (const address of wanted) {
      if (!links.has(address)) links.set(address, openLinkTo(address));
    }
    for (const [address, link] of links) {
      if (wanted.has(address)) continue;
      links.delete(address);
      statuses.delete(address);
      knownPeers = undefined;
      void link.stop();
    }
  }

  /**
   * A connection to a frozen process opens as well, so only one that has brought
   * a status counts.
   */
  function peers(): ReadonlyMap<string, Peer> {
    if (knownPeers) return knownPeers;
    const found = new Map<string, Peer>();
    for (const [address, {member, dataCentre}] of statuses) {
      const link = links.get(address);
      if (!link?.isOpen()) continue;
      found.set(address, {address, member, dataCentre, link});
    }
    return (knownPeers = found);
  }

  function openLinkTo(address: string): Link {
    return openLink({
      address,
      name,
      tasks,
      log,
      // A control process posts its messages of the group through the links.
      isForRequests: self === undefined,
      onPost(kind, body) {
        if (kind !== STATUS) return;
        const status = GroupStatus.safeParse(body);
        if (!status.success) {
          log.warn('status-unreadable', {peer: address});
          return;
        }
        statuses.set(address, status.data);
        refresh();
        handleChange();
      },
      onStateChange(isOpen) {
        if (!isOpen) statuses.delete(address);
        handleChange();
      },
    });
  }

  function handleChange(): void {
    knownPeers = undefined;
    const address = leaderAddress() ?? '';
    if (address !== loggedLeader) {
      loggedLeader = address;
      log.info(address ? 'leader-known' : 'leader-unknown', {leader: address});
    }
    options.onChange();
  }

  /**
   * Address of the leader of the highest term that any process has reported.
   */
  function leaderAddress(): string | undefined {
    let latest: GroupStatus | undefined;
    for (const status of statuses.values()) {
      if (status.leader === undefined) continue;
      if (!latest || status.term > latest.term) latest = status;
    }
    return latest?.leader && addressOf(latest.leader);
  }

  function leaderLink(): Link | undefined {
    const address = leaderAddress();
    const link = address === undefined ? undefined : links.get(address);
    return link?.isOpen() ? link : undefined;
  }

  refresh();
  return {
    linkTo: address => links.get(address),
    openLinks: () => [...links.values()].filter(link => link.isOpen()),
    peers,
    leaderLink,
    leaderMembers() {
      const status = statuses.get(leaderAddress() ?? '');
      if (!status || status.member !== status.leader) return undefined;
      return [...status.voters, ...status.learners];
    },
    processIdAt: address => statuses.get(address)?.process,
    hasLeader: () => leaderAddress() !== undefined,
    isTakeoverPending() {
      const status = statuses.get(leaderAddress() ?? '');
      return status?.member === status?.leader && status?.isServing === false;
    },
    leaderConfirmedMs() {
      let latestMs = -Infinity;
      for (const [address, {leader}] of statuses) {
        if (leader === undefined) continue;
        const receivedMs = links.get(address)?.lastReceivedMs() ?? -Infinity;
        latestMs = Math.max(latestMs, receivedMs);
      }
      return latestMs;
    },
    refresh,
    async stop() {
      const all = [...links.values()];
      links.clear();
      await Promise.all(all.map(link => link.stop()));
    },
  };
}
