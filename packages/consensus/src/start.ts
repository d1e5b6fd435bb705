/** The start of a replica from its store. */
import type {LogRecord} from '@lentildrift/storage';
import {createNode} from './node.js';
import type {RaftOptions} from './option.js';
import {RaftReplica} from './raft.js';

/** Reads the store and starts the replica. Rejects with `CorruptStore`. */
export async function startRaft<S, C, A>(
  options: RaftOptions<S, C, A>,
): Promise<RaftReplica<S, C, A>> {
  const {store, member, founders = []} = options;
  let stored = await store.load();
  const empty = stored.ballot.term === 0 && !stored.snapshot;
  if (empty && stored.records.length === 0 && founders.includes(member)) {
    await store.write([{records: [foundingRecord(founders)]}]);
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

/** The first entry, the same on every founder and thereby committed. */
function foundingRecord(founders: readonly string[]): LogRecord {
  const voters = [...founders].sort();
  const text = JSON.stringify({voters, learners: [], retired: []});
  return {index: 1, term: 0, revision: 0, kind: 'members', text};
}
