/** Finds the queue of a call and checks its key: `locate → authorise`. */
import {findQueue, findTeam, type Queue, type Tables} from '@lentildrift/queue';
import {refuse, type Refusal} from './request.js';

export interface Call {
  /** Host name that the caller addressed. */
  readonly host: string;
  /** Prefix of the queue, followed by the job's ID. */
  readonly path: string;
  /** API key of the caller. */
  readonly key?: string | undefined;
}

export interface LocatedCall {
  readonly queue: Queue;
  /** Empty if the call concerns the queue itself. */
  readonly jobId: string;
  /** Team that the key belongs to; undefined without a valid key. */
  readonly team: string | undefined;
}

export function locate(tables: Tables, call: Call): LocatedCall | Refusal {
  const queue = findQueue(tables, call.host, call.path);
  if (!queue) return refuse('no-queue', `no queue at ${call.path}`);
  const jobId = call.path.slice(queue.prefix.length);
  return authorise(tables, call, queue, jobId);
}

function authorise(
  tables: Tables,
  {key}: Call,
  queue: Queue,
  jobId: string,
): LocatedCall | Refusal {
  const team = key === undefined ? undefined : findTeam(tables, key);
  if (!team && !queue.open) {
    return refuse('unauthorised', 'the key is not in force');
  }
  return {queue, jobId, team: team?.name};
}

export function isRefusal(found: LocatedCall | Refusal): found is Refusal {
  return 'type' in found;
}
