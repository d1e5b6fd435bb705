/** Starts a replica from its log store. */
import {createNode, bootstrapRecord} from './node.js';
import type {RaftOptions} from './options.js';
import {RaftReplica} from './raft.js';

/**
 * Loads the store and starts the replica. An empty store first gets the entry
 * that bootstraps the group, if this member is one of `initialVoters`. Rejects
 * with `CorruptStoreError` if the stored data is damaged.
 */
export async function startRaft<S, C, A>(
  options: RaftOptions<S, C, A>,
): Promise<RaftReplica<S, C, A>> {
  const {store, member, initialVoters = []} = options;
  let stored = await store.load();
  const isEmpty = stored.ballot.term === 0 && !stored.snapshot;
  if (
    isEmpty &&
    stored.records.length === 0 &&
    initialVoters.includes(member)
  ) {
    await store.write([{records: [bootstrapRecord(initialVoters)]}]);
    stored = await store.load();
  }
  const node = createNode({
    ...options,
    id: member,
    nowMs: performance.now(),
    stored,
  });
  return new RaftReplica(options, node);
}
