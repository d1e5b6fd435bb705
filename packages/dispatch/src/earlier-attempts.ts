/**
 * What earlier attempts of a request have done. A sender repeats a request that
 * got no answer, and meanwhile the tables may change: the attempt that is
 * refused by the new tables must not hide one that the old tables allowed.
 */
import {isDeepStrictEqual} from 'node:util';
import {isEvacuated, type Job, type State} from '@lentildrift/queue';
import type {Request, RequestOf} from './request.js';

/**
 * The attempts that this process handles, by the job or the data centre that
 * they concern.
 */
export interface Attempts {
  /**
   * Runs an attempt. `earlier` resolves once those that began before it and
   * concern the same job or data centre have ended.
   */
  track<T>(
    request: Request,
    run: (earlier: Promise<unknown>) => Promise<T>,
  ): Promise<T>;
}

export function createAttempts(): Attempts {
  const inProgress = new Map<string, Promise<unknown>>();

  return {
    track(request, run) {
      const key = subjectOf(request);
      if (key === undefined) return run(Promise.resolve());
      const earlier = inProgress.get(key) ?? Promise.resolve();
      const own = run(earlier);
      const all = Promise.allSettled([earlier, own]).then(() => {
        if (inProgress.get(key) === all) inProgress.delete(key);
      });
      inProgress.set(key, all);
      return own;
    },
  };
}

/** Names what attempts are told apart by; undefined if they are not. */
function subjectOf(request: Request): string | undefined {
  switch (request.type) {
    case 'submit':
    case 'cancel':
      return `${request.host} ${request.path}`;
    case 'evacuate':
    case 'end-evacuation':
      return JSON.stringify(['evacuation', request.dataCentre]);
    default:
      return undefined;
  }
}

/**
 * Whether the state shows that an attempt of the request has taken effect. Edits
 * and waves are compared with the record before they are refused.
 */
export function hasTakenEffect(state: State, request: Request): boolean {
  if (request.type === 'evacuate') {
    return isEvacuated(state, request.dataCentre);
  }
  if (request.type === 'end-evacuation') {
    return !isEvacuated(state, request.dataCentre);
  }
  if (request.type !== 'submit' && request.type !== 'cancel') return false;
  return listPossibleIds(request.path).some(id => {
    const job = state.jobs.get(id);
    if (!job) return false;
    return request.type === 'cancel'
      ? job.phase === 'cancelled'
      : isSameJob(job, request);
  });
}

/**
 * The IDs that a path may end in. Which of them is meant depends on the prefix
 * of the queue, which the tables may lack by now.
 */
function listPossibleIds(path: string): string[] {
  const start = path.lastIndexOf('/') + 1;
  const name = path.slice(start);
  return Array.from(name, (_, at) => name.slice(at));
}

/**
 * Whether the job is the one that the request hands in. The sender of another
 * request must not learn from its ID that the job exists. A job that has ended
 * is kept without its payload.
 */
function isSameJob(
  {spec, phase}: Job,
  {payload, steps, schedule}: RequestOf<'submit'>,
): boolean {
  const isPayloadDropped = phase !== 'active' && spec.payload === '';
  return (
    (isPayloadDropped || spec.payload === payload) &&
    isDeepStrictEqual(spec.steps, steps) &&
    isDeepStrictEqual(spec.schedule, schedule)
  );
}
