/**
 * Handles the requests to the queues at the leader, in two pipelines: calls
 * pass `locate → authorise → decide → commit`, reads pass `confirm → answer`.
 */
import {NotLeader} from '@lentildrift/consensus';
import type {Counter, Log, Metrics} from '@lentildrift/observe';
import {
  weighSpec,
  type JobSpec,
  type State,
  type Step,
  type Worker,
} from '@lentildrift/queue';
import {countDataCentresInUse} from './data-centres.js';
import {createAttempts, hasTakenEffect} from './earlier-attempts.js';
import {createTablesEditor} from './edit.js';
import type {Leader, QueueReplica, SubmitResult} from './leader.js';
import {isRefusal, locate, type LocatedCall} from './locate.js';
import {
  isRead,
  refuse,
  type Refusal,
  type Reply,
  type Request,
  type RequestOf,
} from './request.js';
import {DirectoryFullError} from './registry.js';
import {answerRead, type ReadRequest} from './view.js';

export interface LocalOptions {
  readonly replica: QueueReplica;
  readonly leader: Leader;
  readonly log: Log;
  readonly metrics: Metrics;
}

export interface LocalQueues {
  /**
   * Rejects with `NotLeader` if this process does not lead and the request has
   * had no effect, and with `UnknownBaseError` if it is the difference to tables
   * that this process does not have. After any other rejection its outcome is
   * unknown.
   *
   * `isRetry`: an earlier attempt of the request may have taken effect. It is
   * then refused only if none has.
   */
  handle(id: string, request: Request, isRetry?: boolean): Promise<Reply>;
}

/** Further jobs are refused while this many are active, to limit memory use. */
const MAX_ACTIVE_JOBS = 5000;
/**
 * Further jobs are refused above this sum of weights. The largest number of
 * active jobs, of 20 tasks in two steps and with the largest payload each, is
 * below it.
 */
const MAX_ACTIVE_JOB_BYTES = 64 * 1024 * 1024;
/**
 * Part of it that only jobs up to `LIGHT_JOB_BYTES` may take. The rest has room for
 * 130,000 tasks of heavier jobs; with 400,000, a leader is too slow for its callers.
 */
const RESERVED_FOR_LIGHT_JOBS = 3 / 4;
const LIGHT_JOB_BYTES = 64 * 1024;
/** A heavier job is refused for good, so that a few do not fill the room. */
const MAX_JOB_BYTES = 4 * 1024 * 1024;
/** Callers may send 4,000 bytes. */
const MAX_PAYLOAD_CHARS = 4096;
/** Racks, labels, images, hosts and pools have names of a few characters. */
const MAX_NAME_CHARS = 256;
/** Labels of a worker; those of hosts are its kind and its rack. */
const MAX_LABELS = 64;
/** Time after which a caller whose job was refused for overload may retry. */
const OVERLOAD_RETRY_MS = 1000;
/** Time after which a caller may retry that came before the first tables. */
const NO_TABLES_RETRY_MS = 300;

/** Time after which an operator may retry whose data centre is not known yet. */
const UNLISTED_RETRY_MS = 500;

const DONE: Reply = {type: 'done'};

export function createLocalQueues(options: LocalOptions): LocalQueues {
  const {replica, leader, log, metrics} = options;
  const editor = createTablesEditor(options);
  const attempts = createAttempts();
  const replies: Counter = metrics.counter(
    'lentildrift_requests_total',
    'Requests answered by the leader.',
    64,
  );

  function handle(
    id: string,
    request: Request,
    isRetry = false,
  ): Promise<Reply> {
    return attempts.track(request, async earlier => {
      let reply = await route(id, request, earlier);
      if (isRetry && reply.type === 'refused' && !isRead(request)) {
        reply = await refuseUnlessTakenEffect(id, request, reply, earlier);
      }
      replies.add({type: request.type, reply: replyLabel(reply)});
      return reply;
    });
  }

  function route(
    id: string,
    request: Request,
    earlier: Promise<unknown>,
  ): Promise<Reply> {
    switch (request.type) {
      case 'submit':
        return submit(id, request, earlier);
      case 'cancel':
        return cancel(id, request);
      case 'edit':
      case 'edit-difference':
        return editor.edit(id, request);
      case 'announce':
        return announce(id, request);
      case 'leave':
        return leader.leave(request.worker).then(() => DONE);
      case 'open-wave':
        return openWave(id, request);
      case 'evacuate':
        return setEvacuated(id, request.dataCentre, true);
      case 'end-evacuation':
        return setEvacuated(id, request.dataCentre, false);
      default:
        return read(request);
    }
  }

  /**
   * The tables decide on a request as they are now, and may have allowed an
   * earlier attempt of it.
   */
  async function refuseUnlessTakenEffect(
    id: string,
    request: Request,
    refusal: Refusal,
    earlier: Promise<unknown>,
  ): Promise<Reply> {
    await earlier;
    if (!hasTakenEffect(await readConfirmedState(), request)) return refusal;
    const {reason} = refusal;
    log.info('retry-answered', {request: id, type: request.type, reason});
    return DONE;
  }

  async function announce(
    id: string,
    {worker, coldLeftMs}: RequestOf<'announce'>,
  ): Promise<Reply> {
    const workerError = findWorkerError(worker);
    if (workerError) return logRefusal(id, refuse('invalid', workerError));
    try {
      await leader.announce(worker, coldLeftMs);
    } catch (error) {
      if (!(error instanceof DirectoryFullError)) throw error;
      return logRefusal(id, refuse('overloaded', error.message));
    }
    return DONE;
  }

  /** Returns the state once it includes every change acknowledged so far. */
  async function readConfirmedState(): Promise<State> {
    await replica.waitForRevision(await replica.readIndex());
    return replica.state();
  }

  async function read(request: ReadRequest): Promise<Reply> {
    return answerRead(await readConfirmedState(), request);
  }

  /**
   * Locates the call in the tables of this replica. These may be outdated, so a
   * refusal is checked once more against the confirmed state.
   */
  async function locateWithCurrentTables(
    request: RequestOf<'submit'> | RequestOf<'cancel'>,
  ): Promise<LocatedCall | Refusal> {
    const found = locate(replica.state().tables, request);
    if (!isRefusal(found)) return found;
    const {tables} = await readConfirmedState();
    if (tables.version === 0) {
      return refuse('unavailable', 'there are no tables yet', {
        retryAfterMs: NO_TABLES_RETRY_MS,
      });
    }
    return locate(tables, request);
  }

  async function submit(
    id: string,
    request: RequestOf<'submit'>,
    earlier: Promise<unknown>,
  ): Promise<Reply> {
    const found = await locateWithCurrentTables(request);
    if (isRefusal(found)) return logRefusal(id, found);
    const {queue, jobId, team} = found;
    const {payload, steps, schedule} = request;
    const spec: JobSpec = {
      id: jobId,
      queue: queue.name,
      payload,
      steps,
      ...(team !== undefined && {team}),
      ...(schedule && {schedule}),
    };
    const jobError = findJobError(spec);
    if (jobError) return logRefusal(id, refuse('invalid', jobError));
    if (replica.state().jobs.has(jobId)) {
      await readConfirmedState();
      return DONE;
    }
    // Of a job with a schedule it depends on the time, so that it says nothing
    // about a job that is recorded.
    const bytes = weighSpec(spec, Date.now());
    if (bytes > MAX_JOB_BYTES) {
      const refusal = refuse('invalid', 'the job has too many tasks at once');
      return refuseUnlessRecorded(id, jobId, refusal, earlier);
    }
    if (!hasRoom(replica.state(), bytes)) {
      const retryAfterMs = OVERLOAD_RETRY_MS;
      const refusal = refuse('overloaded', 'too many jobs', {retryAfterMs});
      return refuseUnlessRecorded(id, jobId, refusal, earlier);
    }
    const result = await leader.submit(spec, queue);
    if (result.type !== 'recorded') {
      return refuseUnlessRecorded(id, jobId, toRefusal(result), earlier);
    }
    const {outcome} = result;
    if (outcome === 'conflict') {
      const detail = `queue ${queue.name} was removed`;
      return logRefusal(id, refuse('no-queue', detail));
    }
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

  /**
   * Another leader, or an earlier attempt that this process still handles, may
   * have recorded the job, so the refusal is true only if the confirmed state
   * lacks the job after that.
   */
  async function refuseUnlessRecorded(
    id: string,
    jobId: string,
    refusal: Refusal,
    earlier: Promise<unknown>,
  ): Promise<Reply> {
    await earlier;
    const {jobs} = await readConfirmedState();
    return jobs.has(jobId) ? DONE : logRefusal(id, refusal);
  }

  async function cancel(
    id: string,
    request: RequestOf<'cancel'>,
  ): Promise<Reply> {
    const found = await locateWithCurrentTables(request);
    if (isRefusal(found)) return logRefusal(id, found);
    const {jobId} = found;
    const outcome = await leader.commit({type: 'cancel', job: jobId});
    log.info('job-cancelled', {request: id, job: jobId, outcome});
    return outcome === 'unknown' ? refuse('unknown', `no job ${jobId}`) : DONE;
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

  /**
   * Always recorded, also if this replica shows that nothing would change: the
   * commit proves that this process still leads.
   */
  async function setEvacuated(
    id: string,
    dataCentre: string,
    evacuated: boolean,
  ): Promise<Reply> {
    const result = await leader.setEvacuated(dataCentre, evacuated);
    if (result.type !== 'recorded') {
      return logRefusal(id, toEvacuationRefusal(dataCentre, result.type));
    }
    const inUse = countDataCentresInUse(replica.state());
    log.info(evacuated ? 'data-centre-evacuated' : 'data-centre-back-in-use', {
      request: id,
      dataCentre,
      outcome: result.outcome,
      dataCentresInUse: inUse,
    });
    if (evacuated && inUse === 0) {
      log.warn('no-data-centre-in-use', {request: id, dataCentre});
    }
    return DONE;
  }

  function logRefusal(id: string, refusal: Refusal): Refusal {
    const {reason, detail} = refusal;
    const tables = replica.state().tables.version;
    log.info('request-refused', {request: id, reason, detail, tables});
    return refusal;
  }

  return {handle};
}

function toEvacuationRefusal(
  dataCentre: string,
  status: 'unknown' | 'unlisted',
): Refusal {
  if (status === 'unknown') {
    return refuse('invalid', `no worker or host is in ${dataCentre}`);
  }
  const detail = `${dataCentre} is not known yet, as not all hosts are`;
  return refuse('unavailable', detail, {retryAfterMs: UNLISTED_RETRY_MS});
}

/** The refusal of a job that was not accepted. */
function toRefusal(result: Exclude<SubmitResult, {type: 'recorded'}>): Refusal {
  if (result.type === 'unservable') {
    const detail = `no host is large enough for a task of step ${result.step}`;
    return refuse('invalid', detail);
  }
  const {endMs, limitMs, retryAfterMs} = result;
  const expected = Number.isFinite(endMs)
    ? `would end in ${Math.round(endMs)} ms`
    : 'would never end';
  const limit = Math.round(limitMs);
  const detail = `the job ${expected}, with a limit of ${limit} ms`;
  return refuse('overloaded', detail, {retryAfterMs});
}

function replyLabel(reply: Reply): string {
  return reply.type === 'refused' ? reply.reason : 'ok';
}

function findJobError({id, payload, steps}: JobSpec): string | undefined {
  if (!/^[^./]+$/.test(id)) return 'the path does not end in a job ID';
  if (isTooLong(id)) return 'the job ID is too long';
  if (payload.length > MAX_PAYLOAD_CHARS) return 'the payload is too long';
  if (steps.some(hasLongName)) return 'a name in a step is too long';
  if (steps.length === 0) return 'a job needs a step';
  const hasForwardReference = steps.some(({after}, at) =>
    after.some(earlier => earlier >= at),
  );
  return hasForwardReference
    ? 'a step may wait for earlier steps only'
    : undefined;
}

/** Whether a job of this weight may become active beside the others. */
function hasRoom(
  {activeJobCount, activeJobBytes}: State,
  bytes: number,
): boolean {
  const reserved = bytes > LIGHT_JOB_BYTES ? RESERVED_FOR_LIGHT_JOBS : 0;
  return (
    activeJobCount < MAX_ACTIVE_JOBS &&
    activeJobBytes + bytes <= MAX_ACTIVE_JOB_BYTES * (1 - reserved)
  );
}

function findWorkerError({
  id,
  host,
  pool,
  address,
  dataCentre,
  labels,
}: Worker): string | undefined {
  if (labels.length > MAX_LABELS) return 'the worker has too many labels';
  const names = [id, host, pool, address, dataCentre, ...labels];
  return names.some(isTooLong) ? 'a name or label is too long' : undefined;
}

const isTooLong = (name: string) => name.length > MAX_NAME_CHARS;

function hasLongName({label = '', rack = '', image}: Step): boolean {
  return [label, rack, image].some(isTooLong);
}

/** Whether an error shows that a request had no effect. */
export function isNotLeader(error: unknown): boolean {
  return error instanceof NotLeader;
}
