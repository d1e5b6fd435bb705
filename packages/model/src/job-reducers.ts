/** Reducers of jobs: submit, place, step, cancel, park; quarantine of workers. */
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

/** Distinct workers on which a job may fail before it is parked. */
export const FAILED_WORKERS_BEFORE_PARKING = 3;

/** Lease under which the platform runs tasks; a lost worker's end with it. */
export const TASK_LEASE_MS = 10_000;

/** Allowance for clock drift between the leader and the platform. */
const LEASE_MARGIN_MS = 500;

/** Finished jobs kept for readers and against resent submissions. */
export const MAX_FINISHED_JOBS = 8192;

/** Finished jobs are dropped in batches, so that few changes sort them. */
const FINISHED_JOBS_SLACK = 1024;

/** Jobs that may wait, run or be parked at one time. */
export const MAX_UNFINISHED_JOBS = 50_000;

/** Accepts the jobs; one that is known already is left as it is. */
export function submitJobs(state: State, body: BodyOf<'submit-jobs'>): Result {
  const jobs = editJobStore(state.jobs);
  const fresh = body.jobs.filter(spec => !jobs.get(spec.id)).length;
  if (jobs.unfinished() + fresh > MAX_UNFINISHED_JOBS) {
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
 * Cancels jobs of the team. A job that has an attempt on a worker is marked,
 * and cancelled once the attempt is known to have ended.
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
  return succeed({...state, jobs: bounded(jobs)}, String(count));
}

/**
 * Starts attempts; each gets a fencing token of its own. A placement that
 * would pass its team's limit is left out.
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

/** Moves attempts on; a step with a stale token is ignored. */
export function stepJobs(state: State, body: BodyOf<'step-jobs'>): Result {
  const jobs = editJobStore(state.jobs);
  for (const step of body.steps) {
    const job = jobs.get(step.job);
    if (!job || !isOccupyingWorker(job) || job.token !== step.token) continue;
    if (step.to === 'lost' && !hasTaskLeaseExpired(state, job)) continue;
    jobs.set(nextJob(job, step, state.nowMs));
  }
  return succeed({...state, jobs: bounded(jobs)});
}

function nextJob(
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
      return failedJob(rest, host, step.reason, nowMs);
    case 'checkpointed':
      return requeued({...rest, checkpointed: true}, nowMs);
    case 'lost':
    case 'stopped':
      return requeued(rest, nowMs);
  }
}

function requeued(job: Job, nowMs: number): Job {
  return job.cancelRequested
    ? {...job, phase: 'cancelled', endedAtMs: nowMs}
    : {...job, phase: 'queued'};
}

function failedJob(
  job: Job,
  host: string | undefined,
  reason: string | undefined,
  nowMs: number,
): Job {
  const failedOn =
    host === undefined ? job.failedOn : [...new Set([...job.failedOn, host])];
  const next = {...job, failedOn, reason};
  if (job.cancelRequested || failedOn.length < FAILED_WORKERS_BEFORE_PARKING) {
    return requeued(next, nowMs);
  }
  const text = `failed on ${failedOn.length} workers: ${reason ?? 'no reason given'}`;
  return {...next, phase: 'parked', reason: text};
}

/** Sets queued jobs aside with the reason, so that they block no other. */
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
  const set = {...host, quarantined: true};
  return succeed({...state, hosts: {...state.hosts, [host.id]: set}});
}

/** Whether a lost worker can no longer be running the job's attempt. */
export function hasTaskLeaseExpired(state: State, job: Job): boolean {
  const host = state.hosts[job.host ?? ''];
  if (!host) return true;
  if (host.lostAtMs === undefined) return false;
  const fromMs = Math.max(host.lostAtMs, job.placedAtMs ?? 0);
  return state.nowMs >= fromMs + TASK_LEASE_MS + LEASE_MARGIN_MS;
}

/** Upper limit of the team's running jobs. */
export function jobLimitOf(tables: Tables, team: string): number {
  const row = tables.teams[team];
  return row?.jobLimit ?? row?.limit ?? 0;
}

/** The edited book without the oldest of too many finished jobs. */
function bounded(jobs: JobStoreEditor): JobStore {
  const book = jobs.finish();
  if (book.finished <= MAX_FINISHED_JOBS + FINISHED_JOBS_SLACK) return book;
  const finished = listJobs(book)
    .filter(isFinal)
    .sort((a, b) => (a.endedAtMs ?? 0) - (b.endedAtMs ?? 0));
  const trimmed = editJobStore(book);
  const dropped = finished.length - MAX_FINISHED_JOBS;
  for (const {id} of finished.slice(0, dropped)) trimmed.remove(id);
  return trimmed.finish();
}
