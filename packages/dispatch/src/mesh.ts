/** Links to the control processes, and what they say of the group. */
import {openLink, type Link} from '@lentildrift/link';
import type {Log} from '@lentildrift/observe';
import type {TaskSystem} from '@lentildrift/task';
import {z} from 'zod';

/** What a control process tells everyone who connects. */
export const GroupStatus = z.object({
  member: z.string(),
  /** Differs at each start of the process. */
  process: z.string(),
  term: z.int().nonnegative(),
  leader: z.string().optional(),
  voters: z.array(z.string()),
  learners: z.array(z.string()),
});
export type GroupStatus = z.infer<typeof GroupStatus>;

export const STATUS = 'status';

/** `ip:port` at which a member takes links; the ID begins with it. */
export function addressOf(member: string): string {
  return member.slice(0, member.indexOf('/'));
}

export interface MeshOptions {
  readonly name: string;
  /** Own address for links, if this process is a control process. */
  readonly self?: string;
  /** Addresses from the settings; they may change and may be stale. */
  seeds(): readonly string[];
  readonly tasks: TaskSystem;
  readonly log: Log;
  /** Something was heard of the group or a link. */
  onChange(): void;
}

export interface Mesh {
  linkTo(address: string): Link | undefined;
  /** Open links, the leader's first. */
  openLinks(): Link[];
  /** Link to the leader, if it is known and the link is open. */
  leaderLink(): Link | undefined;
  /** What runs at the address now; undefined if there is no link to it. */
  processIdAt(address: string): string | undefined;
  /** Whether any process knows a leader. */
  hasLeader(): boolean;
  /** Opens links to the members that are known now, and closes the others. */
  refresh(members?: readonly string[]): void;
  stop(): Promise<void>;
}

export function createMesh(options: MeshOptions): Mesh {
  const {name, self, tasks, log} = options;
  const links = new Map<string, Link>();
  const statuses = new Map<string, GroupStatus>();
  let own: readonly string[] = [];
  let reported = '';

  function refresh(members?: readonly string[]): void {
    if (members) own = members;
    const wanted = new Set([...options.seeds(), ...own.map(addressOf)]);
    for (const {voters, learners} of statuses.values()) {
      for (const id of [...voters, ...learners]) wanted.add(addressOf(id));
    }
    if (self !== undefined) wanted.delete(self);
    for (const address of wanted) {
      if (!links.has(address)) links.set(address, open(address));
    }
    for (const [address, link] of links) {
      if (wanted.has(address)) continue;
      links.delete(address);
      statuses.delete(address);
      void link.stop();
    }
  }

  function open(address: string): Link {
    return openLink({
      address,
      name,
      tasks,
      log,
      onPost(kind, body) {
        if (kind !== STATUS) return;
        const said = GroupStatus.safeParse(body);
        if (!said.success) {
          log.warn('status-unreadable', {peer: address});
          return;
        }
        statuses.set(address, said.data);
        refresh();
        changed();
      },
      onStateChange(isOpen) {
        if (!isOpen) statuses.delete(address);
        changed();
      },
    });
  }

  function changed(): void {
    const address = leaderAddress() ?? '';
    if (address !== reported) {
      reported = address;
      log.info(address ? 'leader-known' : 'leader-unknown', {leader: address});
    }
    options.onChange();
  }

  /** The leader of the highest term that any process has reported. */
  function leaderAddress(): string | undefined {
    let best: GroupStatus | undefined;
    for (const status of statuses.values()) {
      if (status.leader === undefined) continue;
      if (!best || status.term > best.term) best = status;
    }
    return best?.leader && addressOf(best.leader);
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
    leaderLink,
    processIdAt: address => statuses.get(address)?.process,
    hasLeader: () => leaderAddress() !== undefined,
    refresh,
    async stop() {
      const all = [...links.values()];
      links.clear();
      await Promise.all(all.map(link => link.stop()));
    },
  };
}
