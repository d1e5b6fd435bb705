/**
 * The queues' service at the leader, as pipes: for calls
 * `locate → authorise → decide → commit`, for reads `confirm → answer`.
 */
import {NotLeader} from '@lentildrift/consensus';
import type {Counter, Log, Metrics} from '@lentildrift/observe';
import {findContradiction, type State} from '@lentildrift/queue';
import type {Leader, QueueReplica} from './leader.js';
import {isRefusal, locate, type LocatedCall} from './locate.js';
import {
  refuse,
  type Refusal,
  type Reply,
  type Request,
  type RequestOf,
} from './request.js';
import {answerRead, type ReadRequest} from './view.js';

export interface LocalOptions {
  readonly replica: QueueReplica;
  readonly leader: Leader;
  readonly log: Log;
  readonly metrics: Metrics;
}

export interface LocalQueues {
  /** Rejects with `NotLeader` if this process has done nothing. */
  handle(id: string, request: Request): Promise<Reply>;
}

/** More jobs than this at once are turned away; bounds the memory. */
const MAX_ACTIVE_JOBS = 5000;
/** When a job that was turned away may find room. */
const OVERLOAD_RETRY_MS = 1000;

const DONE: Reply = {type: 'done'};

export function createLocalQueues(options: LocalOptions): LocalQueues {
  const {replica, leader, log, metrics} = options;
  const replies: Counter = metrics.counter(
    'lentildrift_requests_total',
    'Requests answered by the leader.',
    64,
  );

  async function handle(id: string, request: Request): Promise<Reply> {
    const reply = await dispatch(id, request);
    replies.add({type: request.type, reply: labelOf(reply)});
    return reply;
  }

  function dispatch(id: string, request: Request): Promise<Reply> {
    switch (request.type) {
      case 'submit':
        return submit(id, request);
      case 'cancel':
        return cancel(id, request);
      case 'edit':
        return edit(id, request);
      case 'announce':
        return leader.announce(request.worker).then(() => DONE);
      case 'leave':
        return leader.leave(request.worker).then(() => DONE);
      case 'open-wave':
        return openWave(id, request);
      default:
        return read(request);
    }
  }

  /** Waits until the applied state includes all that was acknowledged. */
  async function confirm(): Promise<State> {
    await replica.waitForRevision(await replica.readIndex());
    return replica.state();
  }

  async function read(request: ReadRequest): Promise<Reply> {
    return answerRead(await confirm(), request);
  }

  /** A refusal by the tables counts only if no newer tables are in force. */
  async function locateSurely(
    request: RequestOf<'submit'> | RequestOf<'cancel'>,
  ): Promise<LocatedCall | Refusal> {
    const found = locate(replica.state().tables, request);
    if (!isRefusal(found)) return found;
    const {tables} = await confirm();
    if (tables.version === 0) {
      return refuse('unavailable', 'there are no tables yet');
    }
    return locate(tables, request);
  }

  async function submit(
    id: string,
    request: RequestOf<'submit'>,
  ): Promise<Reply> {
    const found = await locateSurely(request);
    if (isRefusal(found)) return refused(id, found);
    const {queue, jobId, team} = found;
    const invalid = invalidJob(jobId, request);
    if (invalid) return refused(id, refuse('invalid', invalid));
    if (replica.state().jobs.has(jobId)) {
      await confirm();
      return DONE;
    }
    if (activeJobs(replica.state()) >= MAX_ACTIVE_JOBS) {
      const retryAfterMs = OVERLOAD_RETRY_MS;
      return refused(
        id,
        refuse('overloaded', 'too many jobs wait', {retryAfterMs}),
      );
    }
    const {payload, steps, schedule} = request;
    const outcome = await leader.commit({
      type: 'submit',
      atMs: Date.now(),
      job: {
        id: jobId,
        queue: queue.name,
        payload,
        steps,
        ...(team !== undefined && {team}),
        ...(schedule && {schedule}),
      },
    });
    log.info('job-accepted', {
      request: id,
      job: jobId,
      queue: queue.name,
      team,
      tables: replica.state().tables.version,
      steps: steps.length,
      outcome,
    });
    return DONE;
  }

  async function cancel(
    id: string,
    request: RequestOf<'cancel'>,
  ): Promise<Reply> {
    const found = await locateSurely(request);
    if (isRefusal(found)) return refused(id, found);
    const {jobId} = found;
    const outcome = await leader.commit({type: 'cancel', job: jobId});
    log.info('job-cancelled', {request: id, job: jobId, outcome});
    return outcome === 'unknown' ? refuse('unknown', `no job ${jobId}`) : DONE;
  }

  async function edit(id: string, {tables}: RequestOf<'edit'>): Promise<Reply> {
    const {version} = tables;
    const reason = findContradiction(tables);
    if (reason !== undefined) {
      log.info('tables-refused', {request: id, version, reason});
      return refuse('invalid', reason);
    }
    const outcome = await leader.commit({type: 'tables', tables});
    log.info('tables-edited', {request: id, version, outcome});
    return outcome === 'conflict'
      ? refuse('conflict', `version ${version} has other content`)
      : DONE;
  }

  async function openWave(
    id: string,
    request: RequestOf<'open-wave'>,
  ): Promise<Reply> {
    const {id: wave, durationMs, atOnce} = request;
    const outcome = await leader.commit({
      type: 'wave',
      wave: {
        id: wave,
        durationMs,
        atOnce,
        acceptedAtMs: Date.now(),
        hosts: Object.fromEntries(request.hosts.map(host => [host, 'due'])),
      },
    });
    log.info('wave-opened', {
      request: id,
      wave,
      hosts: request.hosts.length,
      atOnce,
      durationMs,
      outcome,
    });
    return DONE;
  }

  function refused(id: string, refusal: Refusal): Refusal {
    const {reason, detail} = refusal;
    const tables = replica.state().tables.version;
    log.info('request-refused', {request: id, reason, detail, tables});
    return refusal;
  }

  return {handle};
}

function labelOf(reply: Reply): string {
  return reply.type === 'refused' ? reply.reason : 'ok';
}

function activeJobs(state: State): number {
  let count = 0;
  for (const {phase} of state.jobs.values()) if (phase === 'active') count++;
  return count;
}

function invalidJob(
  jobId: string,
  {steps}: RequestOf<'submit'>,
): string | undefined {
  if (!/^[^./]+$/.test(jobId)) return 'the path does not end in a job ID';
  if (steps.length === 0) return 'a job needs a step';
  const forward = steps.some(({after}, at) =>
    after.some(earlier => earlier >= at),
  );
  return forward ? 'a step may wait for earlier steps only' : undefined;
}

/** Whether an error says that nothing was done. */
export function isNotLeader(error: unknown): boolean {
  return error instanceof NotLeader;
}
