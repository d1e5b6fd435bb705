/** Fake links to the leader and to other control processes. */
import type {Link} from '@lentildrift/link';
import type {Mesh} from '../src/mesh.js';

export type Answer = (body: unknown) => Promise<unknown>;

export function createFakeLink(answer: Answer): Link {
  return {
    address: '1.2.3.4:5',
    isOpen: () => true,
    lastReceivedMs: () => performance.now(),
    request: answer,
    post: () => {},
    reconnect: () => {},
    stop: async () => {},
  };
}

export function createFakeMesh(
  leader: Link | undefined,
  open: Link[] = [],
): Mesh {
  return {
    linkTo: () => undefined,
    openLinks: () => open,
    peers: () => new Map(),
    leaderLink: () => leader,
    leaderMembers: () => undefined,
    processIdAt: () => undefined,
    hasLeader: () => leader !== undefined,
    isTakeoverPending: () => false,
    leaderConfirmedMs: () => (leader ? performance.now() : -Infinity),
    refresh: () => {},
    stop: async () => {},
  };
}
