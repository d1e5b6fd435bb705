/** Reducers of jobs: submit, place, step, cancel, park; quarantine of workers. */
import type {BodyOf} from './change.js';
import {occupiesWorker, type Job} from './job.js';
import {fail, succeed, type Result} from './result.js';
import type {State} from './state.js';

/** Distinct workers on which a job may fail before it is parked. */
export const ATTEMPTS_BEFORE_PARKING = 3;

/** Accepts the jobs; one that is known already is left as it is. */
export function submitJobs(state: State, body: BodyOf<'submit-jobs'>): Result {
  const jobs = {...state.jobs};
  for (const spec of body.jobs) {
    if (Object.hasOwn(jobs, spec.id)) continue;
    jobs[spec.id] = {
      ...spec,
      team: body.team,
      phase: 'queued',
      submittedAtMs: state.nowMs,
      failedOn: [],
      cancelRequested: false,
      checkpointed: false,
    };
  }
  return succeed({...state, jobs});
}

/**
 * Cancels jobs of the team. A job that has an attempt on a worker is marked,
 * and cancelled once the attempt is known to have ended.
 */
export function cancelJobs(state: State, body: BodyOf<'cancel-jobs'>): Result {
  const jobs = {...state.jobs};
  let count = 0;
  for (const id of body.jobs) {
    const job = jobs[id];
    if (!job || job.team !== body.team || isFinal(job)) continue;
    jobs[id] = occupiesWorker(job)
      ? {...job, cancelRequested: true}
      : {...job, phase: 'cancelled', endedAtMs: state.nowMs};
    count++;
  }
  return succeed({...state, jobs}, String(count));
}

/** Starts attempts; each gets a fencing token of its own. */
export function placeJobs(state: State, body: BodyOf<'place-jobs'>): Result {
  const jobs = {...state.jobs};
  let fence = state.fence;
  for (const {job: id, host: hostId} of body.placements) {
    const job = jobs[id];
    const host = state.hosts[hostId];
    if (job?.phase !== 'queued') continue;
    if (host?.phase !== 'serving' || host.quarantined) continue;
    fence++;
    jobs[id] = {...job, phase: 'starting', host: hostId, token: fence};
  }
  return succeed({...state, jobs, fence});
}

/** Moves attempts on; a step with a stale token is ignored. */
export function stepJobs(state: State, body: BodyOf<'step-jobs'>): Result {
  const jobs = {...state.jobs};
  for (const step of body.steps) {
    const job = jobs[step.job];
    if (!job || !occupiesWorker(job) || job.token !== step.token) continue;
    jobs[job.id] = nextJob(job, step, state.nowMs);
  }
  return succeed({...state, jobs});
}

function nextJob(
  job: Job,
  step: BodyOf<'step-jobs'>['steps'][number],
  nowMs: number,
): Job {
  const {host, token: _, ...rest} = job;
  switch (step.to) {
    case 'running':
      return {...job, phase: 'running', startedAtMs: nowMs};
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
  if (job.cancelRequested || failedOn.length < ATTEMPTS_BEFORE_PARKING) {
    return requeued(next, nowMs);
  }
  const text = `failed on ${failedOn.length} workers: ${reason ?? 'no reason given'}`;
  return {...next, phase: 'parked', reason: text};
}

/** Sets queued jobs aside with the reason, so that they block no other. */
export function parkJobs(state: State, body: BodyOf<'park-jobs'>): Result {
  const jobs = {...state.jobs};
  for (const {job: id, reason} of body.jobs) {
    const job = jobs[id];
    if (job?.phase === 'queued') jobs[id] = {...job, phase: 'parked', reason};
  }
  return succeed({...state, jobs});
}

export function quarantine(state: State, body: BodyOf<'quarantine'>): Result {
  const host = state.hosts[body.host];
  if (!host) return fail(state, 'unknown', `unknown host "${body.host}"`);
  const set = {...host, quarantined: true};
  return succeed({...state, hosts: {...state.hosts, [host.id]: set}});
}

function isFinal(job: Job): boolean {
  return ['done', 'failed', 'cancelled'].includes(job.phase);
}
