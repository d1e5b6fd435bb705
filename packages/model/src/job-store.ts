/**
 * Immutable store of jobs, in buckets by a hash of the job ID. A change copies
 * only the buckets that it modifies, since copying a single record of 20,000
 * jobs takes 16 ms.
 */
import {z} from 'zod';
import {isFinal, jobSchema, isOccupyingWorker, type Job} from './job.js';

const BUCKET_COUNT = 512;

export const jobStoreSchema = z.object({
  /** Bucket number, then job ID, to job. */
  buckets: z.record(z.string(), z.record(z.string(), jobSchema)),
  /** Number of each team's jobs that occupy a worker. */
  running: z.record(z.string(), z.number().int()),
  /** Number of jobs in a phase that is not final. */
  unfinished: z.number().int(),
  /** Number of jobs in a final phase. */
  finished: z.number().int(),
});
export type JobStore = z.infer<typeof jobStoreSchema>;

export const EMPTY_JOB_STORE: JobStore = {
  buckets: {},
  running: {},
  unfinished: 0,
  finished: 0,
};

type Bucket = Readonly<Record<string, Job>>;

/**
 * Hashes with FNV-1a, which spreads IDs that differ only in their last
 * characters.
 */
function hashToBucket(id: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < id.length; i++) {
    hash = Math.imul(hash ^ id.charCodeAt(i), 0x01000193);
  }
  return (hash >>> 0) % BUCKET_COUNT;
}

export function findJob(store: JobStore, id: string): Job | undefined {
  const bucket = store.buckets[hashToBucket(id)];
  return bucket && Object.hasOwn(bucket, id) ? bucket[id] : undefined;
}

export function listJobs(store: JobStore): Job[] {
  return Object.values(store.buckets).flatMap(bucket => Object.values(bucket));
}

const unfinishedByBucket = new WeakMap<Bucket, readonly Job[]>();
const occupyingByBucket = new WeakMap<Bucket, readonly Job[]>();

/**
 * Lists jobs that have not ended. Results are cached for each unchanged bucket.
 */
export function listUnfinishedJobs(store: JobStore): Job[] {
  return filterJobs(store, unfinishedByBucket, job => !isFinal(job));
}

/**
 * Lists jobs that occupy a worker. Results are cached for each unchanged
 * bucket.
 */
export function listOccupyingJobs(store: JobStore): Job[] {
  return filterJobs(store, occupyingByBucket, isOccupyingWorker);
}

function filterJobs(
  store: JobStore,
  cache: WeakMap<Bucket, readonly Job[]>,
  predicate: (job: Job) => boolean,
): Job[] {
  const jobs: Job[] = [];
  for (const key in store.buckets) {
    const bucket = store.buckets[key]!;
    let found = cache.get(bucket);
    if (!found) {
      found = Object.values(bucket).filter(predicate);
      cache.set(bucket, found);
    }
    for (const job of found) jobs.push(job);
  }
  return jobs;
}

/** Edits a copy of a job store; the original store is not modified. */
export interface JobStoreEditor {
  get(id: string): Job | undefined;
  set(job: Job): void;
  remove(id: string): void;
  /** Number of the team's jobs that occupy a worker. */
  running(team: string): number;
  unfinished(): number;
  finished(): number;
  /** Returns the edited store. The editor must not be used afterwards. */
  finish(): JobStore;
}

/** Returns an editor that copies each bucket before its first modification. */
export function editJobStore(store: JobStore): JobStoreEditor {
  const buckets = {...store.buckets};
  const running = {...store.running};
  let {unfinished, finished} = store;
  const copied = new Set<number>();

  function writableBucket(id: string): Record<string, Job> {
    const key = hashToBucket(id);
    if (!copied.has(key)) {
      buckets[key] = {...buckets[key]};
      copied.add(key);
    }
    return buckets[key]!;
  }

  function get(id: string): Job | undefined {
    const bucket = buckets[hashToBucket(id)];
    return bucket && Object.hasOwn(bucket, id) ? bucket[id] : undefined;
  }

  function updateCounts(job: Job, by: 1 | -1): void {
    if (isFinal(job)) finished += by;
    else unfinished += by;
    if (!isOccupyingWorker(job)) return;
    const next = (running[job.team] ?? 0) + by;
    if (next > 0) running[job.team] = next;
    else delete running[job.team];
  }

  function set(job: Job): void {
    const old = get(job.id);
    if (old) updateCounts(old, -1);
    updateCounts(job, 1);
    writableBucket(job.id)[job.id] = job;
  }

  function remove(id: string): void {
    const old = get(id);
    if (!old) return;
    updateCounts(old, -1);
    delete writableBucket(id)[id];
  }

  return {
    get,
    set,
    remove,
    running: team => running[team] ?? 0,
    unfinished: () => unfinished,
    finished: () => finished,
    finish: () => ({buckets, running, unfinished, finished}),
  };
}
