/**
 * Reducers that submit, place, step, cancel and park jobs and quarantine
 * workers.
 */
import type {BodyOf} from './change.js';
import {
  listJobs,
  editJobStore,
  type JobStoreEditor,
  type JobStore,
} from './job-store.js';
import {isFinal, isOccupyingWorker, type Job} from './job.js';
import {fail, succeed, type Result} from './result.js';
import type {State} from './state.js';
import type {Tables} from './table.js';

/** Number of distinct workers on which a job fails before it is parked. */
export const FAILED_WORKERS_BEFORE_PARKING = 3;

/**
 * Lease under which the platform runs tasks. The tasks of a lost worker have
 * ended once their lease has expired.
 */
export const TASK_LEASE_MS = 10_000;

/** Margin for clock drift between the leader and the platform. */
const LEASE_MARGIN_MS = 500;

/** Finished jobs kept for queries and to recognise resent submissions. */
export const RETAINED_FINISHED_JOBS = 8192;

/**
 * Finished jobs are dropped in batches, so that few changes need to sort them.
 */
const FINISHED_JOBS_BATCH = 1024;

/** Maximum number of jobs that are queued, running or parked. */
export const MAX_UNFINISHED_JOBS = 50_000;

/**
 * Adds the jobs to their queues; a job that is already known is not modified.
 */
export function submitJobs(state: State, body: BodyOf<'submit-jobs'>): Result {
  const jobs = editJobStore(state.jobs);
  const newCount = body.jobs.filter(spec => !jobs.get(spec.id)).length;
  if (jobs.unfinished() + newCount > MAX_UNFINISHED_JOBS) {
    return fail(
      state,
      'limit',
      `more than ${MAX_UNFINISHED_JOBS} jobs would be unfinished`,
    );
  }
  for (const spec of body.jobs) {
    if (jobs.get(spec.id)) continue;
    jobs.set({
      ...spec,
      team: body.team,
      phase: 'queued',
      submittedAtMs: state.nowMs,
      failedOn: [],
      cancelRequested: false,
      checkpointed: false,
    });
  }
  return succeed({...state, jobs: jobs.finish()});
}

/**
 * Cancels jobs of the team. A job that occupies a worker is only marked, and is
 * cancelled once its attempt is known to have ended.
 */
export function cancelJobs(state: State, body: BodyOf<'cancel-jobs'>): Result {
  const jobs = editJobStore(state.jobs);
  let count = 0;
  for (const id of body.jobs) {
    const job = jobs.get(id);
    if (!job || job.team !== body.team || isFinal(job)) continue;
    jobs.set(
      isOccupyingWorker(job)
        ? {...job, cancelRequested: true}
        : {...job, phase: 'cancelled', endedAtMs: state.nowMs},
    );
    count++;
  }
  return succeed({...state, jobs: dropOldestFinished(jobs)}, String(count));
}

/**
 * Starts attempts, each with its own fencing token. A placement that would
 * exceed the team's limit is skipped.
 */
export function placeJobs(state: State, body: BodyOf<'place-jobs'>): Result {
  const jobs = editJobStore(state.jobs);
  let fence = state.fence;
  for (const {job: id, host: hostId} of body.placements) {
    const job = jobs.get(id);
    const host = state.hosts[hostId];
    if (job?.phase !== 'queued') continue;
    if (host?.phase !== 'serving' || host.quarantined) continue;
    if (jobs.running(job.team) >= jobLimitOf(state.tables, job.team)) continue;
    fence++;
    jobs.set({
      ...job,
      phase: 'starting',
      host: hostId,
      token: fence,
      placedAtMs: state.nowMs,
    });
  }
  return succeed({...state, jobs: jobs.finish(), fence});
}

/** Applies transitions of attempts. A step with a stale token is ignored. */
export function stepJobs(state: State, body: BodyOf<'step-jobs'>): Result {
  const jobs = editJobStore(state.jobs);
  for (const step of body.steps) {
    const job = jobs.get(step.job);
    if (!job || !isOccupyingWorker(job) || job.token !== step.token) continue;
    if (step.to === 'lost' && !hasTaskLeaseExpired(state, job)) continue;
    jobs.set(advanceJob(job, step, state.nowMs));
  }
  return succeed({...state, jobs: dropOldestFinished(jobs)});
}

function advanceJob(
  job: Job,
  step: BodyOf<'step-jobs'>['steps'][number],
  nowMs: number,
): Job {
  const {host, token: _, placedAtMs: _at, ...rest} = job;
  switch (step.to) {
    case 'running':
      return {...job, phase: 'running', startedAtMs: job.startedAtMs ?? nowMs};
    case 'done':
      return {...rest, phase: 'done', endedAtMs: nowMs};
    case 'failed':
      return recordFailure(rest, host, step.reason, nowMs);
    case 'checkpointed':
      return requeue({...rest, checkpointed: true}, nowMs);
    case 'lost':
    case 'stopped':
      return requeue(rest, nowMs);
  }
}

/** Returns the job to its queue, or cancels it if that was requested. */
function requeue(job: Job, nowMs: number): Job {
  return job.cancelRequested
    ? {...job, phase: 'cancelled', endedAtMs: nowMs}
    : {...job, phase: 'queued'};
}

/** Records the worker of a failed attempt, and requeues or parks the job. */
function recordFailure(
  job: Job,
  host: string | undefined,
  reason: string | undefined,
  nowMs: number,
): Job {
  const failedOn =
    host === undefined ? job.failedOn : [...new Set([...job.failedOn, host])];
  const next = {...job, failedOn, reason};
  if (job.cancelRequested || failedOn.length < FAILED_WORKERS_BEFORE_PARKING) {
    return requeue(next, nowMs);
  }
  const text = `failed on ${failedOn.length} workers: ${reason ?? 'no reason given'}`;
  return {...next, phase: 'parked', reason: text};
}

/** Parks queued jobs with the reason, so that they do not block other jobs. */
export function parkJobs(state: State, body: BodyOf<'park-jobs'>): Result {
  const jobs = editJobStore(state.jobs);
  for (const {job: id, reason} of body.jobs) {
    const job = jobs.get(id);
    if (job?.phase === 'queued') jobs.set({...job, phase: 'parked', reason});
  }
  return succeed({...state, jobs: jobs.finish()});
}

export function quarantineWorker(
  state: State,
  body: BodyOf<'quarantine'>,
): Result {
  const host = state.hosts[body.host];
  if (!host) return fail(state, 'unknown', `unknown host "${body.host}"`);
  const quarantined = {...host, quarantined: true};
  return succeed({...state, hosts: {...state.hosts, [host.id]: quarantined}});
}

/**
 * Whether the lease of the job's attempt has expired after the loss of its
 * worker, so that the attempt can no longer be running.
 */
export function hasTaskLeaseExpired(state: State, job: Job): boolean {
  const host = state.hosts[job.host ?? ''];
  if (!host) return true;
  if (host.lostAtMs === undefined) return false;
  const fromMs = Math.max(host.lostAtMs, job.placedAtMs ?? 0);
  return state.nowMs >= fromMs + TASK_LEASE_MS + LEASE_MARGIN_MS;
}

/** Returns the upper limit of the team's running jobs. */
export function jobLimitOf(tables: Tables, team: string): number {
  const row = tables.teams[team];
  return row?.jobLimit ?? row?.limit ?? 0;
}

/**
 * Finishes the edit, and drops the oldest finished jobs if there are too many.
 */
function dropOldestFinished(jobs: JobStoreEditor): JobStore {
  const store = jobs.finish();
  if (store.finished <= RETAINED_FINISHED_JOBS + FINISHED_JOBS_BATCH)
    return store;
  const finished = listJobs(store)
    .filter(isFinal)
    .sort((a, b) => (a.endedAtMs ?? 0) - (b.endedAtMs ?? 0));
  const trimmed = editJobStore(store);
  const dropped = finished.length - RETAINED_FINISHED_JOBS;
  for (const {id} of finished.slice(0, dropped)) trimmed.remove(id);
  return trimmed.finish();
}
