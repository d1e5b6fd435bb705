/** The start of a replica from its store. */
import {createNode, bootstrapRecord} from './node.js';
import type {RaftOptions} from './options.js';
import {RaftReplica} from './raft.js';

/** Reads the store and starts the replica. Rejects with `CorruptStore`. */
export async function startRaft<S, C, A>(
  options: RaftOptions<S, C, A>,
): Promise<RaftReplica<S, C, A>> {
  const {store, member, initialVoters: founders = []} = options;
  let stored = await store.load();
  const empty = stored.ballot.term === 0 && !stored.snapshot;
  if (empty && stored.records.length === 0 && founders.includes(member)) {
    await store.write([{records: [bootstrapRecord(founders)]}]);
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
