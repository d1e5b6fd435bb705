/** Answers read requests from the state. */
import {isWaveDone, type Job, type State} from '@lentildrift/queue';
import {listEvacuations} from './evacuation-report.js';
import {isRefusal, locate} from './locate.js';
import {refuse, type Reply, type RequestOf} from './request.js';
import {findWaitReason} from './wait-reason.js';
import {createWaitingJobCounter} from './waiting-jobs.js';

export type ReadRequest =
  | RequestOf<'inspect'>
  | RequestOf<'tables'>
  | RequestOf<'wave'>
  | RequestOf<'evacuations'>;

/** Exact for any state; quick if its jobs differ little from the last one's. */
const countWaitingJobs = createWaitingJobCounter();

export function answerRead(state: State, request: ReadRequest): Reply {
  switch (request.type) {
    case 'inspect':
      return inspect(state, request);
    case 'tables':
      if (state.tables.version > 0) {
        return {type: 'tables', document: state.tables.document};
      }
      return refuse('unavailable', 'there are no tables yet');
    case 'wave': {
      const wave = state.waves.get(request.id);
      if (!wave) return refuse('unknown', `no wave ${request.id}`);
      return {type: 'wave', done: isWaveDone(wave)};
    }
    case 'evacuations':
      return {type: 'evacuations', dataCentres: listEvacuations(state)};
  }
}

function inspect(state: State, request: RequestOf<'inspect'>): Reply {
  const found = locate(state.tables, request);
  if (isRefusal(found)) return found;
  if (found.jobId === '') {
    const count = countWaitingJobs(state.jobs, found.queue.name);
    return {type: 'waiting', count};
  }
  const job = state.jobs.get(found.jobId);
  if (!job) return refuse('unknown', `no job ${found.jobId}`);
  const waitReason = findWaitReason(state, job, Date.now());
  return {
    type: 'job',
    phase: reportedPhase(job),
    ...(waitReason && {waitReason}),
  };
}

/** Returns the phase for callers, which tells queued from running jobs. */
function reportedPhase({phase, started}: Job) {
  if (phase !== 'active') return phase;
  return started ? 'running' : 'queued';
}
