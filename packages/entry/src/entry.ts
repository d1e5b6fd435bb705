/** The entry role: the tasks of an entry host and its HTTP paths. */
import type {Intake} from '@lentildrift/intake-limits';
import {MAX_CALL_TIMEOUT_MS, refuse} from '@lentildrift/model';
import type {Log} from '@lentildrift/observe';
import type {PipeOutcome} from '@lentildrift/pipe';
import type {ControlService} from '@lentildrift/protocol';
import type {TaskSystem} from '@lentildrift/task';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createAdmission} from './admission.js';
import {handleAnnounce} from './announce.js';
import {UndiciConnector} from './undici-connector.js';
import {
  answerCached,
  answerJson,
  answerRefusal,
  answerText,
  getStatus,
} from './answer.js';
import {createCallPipe} from './call.js';
import type {Connector} from './connection.js';
import {createRoster} from './directory.js';
import type {Exchange, Forwarded} from './exchange.js';
import {FailoverControl} from './failover.js';
import {handleJobs, isJobsPath} from './jobs.js';
import {createListener, type Listener} from './listener.js';
import {NullObserver, type CallObserver} from './observer.js';
import {createClaims} from './claims.js';
import {EntryRules} from './rules.js';
import {createSync, type BurnSource} from './sync.js';
import {createUpstreams} from './upstream.js';

/**
 * Longest time that a stop waits for calls in flight: the longest deadline of a
 * call, and some time in which to relay the response.
 */
const DRAIN_LIMIT_MS = MAX_CALL_TIMEOUT_MS + 1000;

export interface EntryOptions {
  /** Control processes, the one in the entry host's data centre first. */
  readonly control: ControlService | readonly ControlService[];
  readonly tasks: TaskSystem;
  readonly log: Log;
  /** Name under which the entry host opens its session with control. */
  readonly entryHost: string;
  /** Address to listen on. */
  readonly host: string;
  readonly port: number;
  readonly observer?: CallObserver;
  /** Recorded calls, for control's report on the burn of error budgets. */
  readonly burn?: BurnSource;
  /** Text of `/metrics`; when absent, the path does not exist. */
  readonly metrics?: () => string | Promise<string>;
  /**
   * How long `/health` reports 503 before the server stops listening, so that
   * load balancers stop sending calls.
   */
  readonly shutdownDelayMs?: number;
  /** Connections to upstreams; implemented with `undici` when absent. */
  readonly connector?: Connector;
  /** Limits of clients; unlimited when absent. */
  readonly intake?: Intake;
  /** Creates the listener for calls; a `node:http` server when absent. */
  readonly listener?: typeof createListener;
  /** Safety mechanisms; tests replace some by weaker ones. */
  readonly rules?: EntryRules;
}

/** A running entry host. */
export interface Entry {
  /** Port that the entry host listens on. */
  readonly port: number;
  /** Version of the configuration in use; 0 before the first sync. */
  version(): number;
  /** Stops after the calls in flight have ended; see `DRAIN_LIMIT_MS`. */
  stop(): Promise<void>;
}

/** Starts an entry host, which refuses calls until its first sync succeeds. */
export async function startEntry(options: EntryOptions): Promise<Entry> {
  const {tasks, log} = options;
  const observer = options.observer ?? new NullObserver();
  const control = new FailoverControl([options.control].flat());
  const rules = options.rules ?? new EntryRules();
  const connector = options.connector ?? new UndiciConnector();
  const admission = createAdmission(tasks, () => sync.requestSync(), rules);
  const upstreams = createUpstreams(tasks, connector);
  const roster = createRoster(
    tasks,
    directory => {
      const records = [...directory.values()].flat();
      const addresses = records.map(each => each.announcement.address);
      upstreams.post({type: 'retain', addresses: new Set(addresses)});
    },
    rules,
  );
  const sync = createSync({
    tasks,
    log,
    control,
    entryHost: options.entryHost,
    admission: admission.task,
    roster: roster.task,
    burn: options.burn,
  });
  const {view, session} = sync;
  const {freshUntilMs} = admission;
  const {directory} = roster;
  const claims = createClaims({tasks, log, control, session, rules});
  const calls = createCallPipe({
    admission,
    upstreams,
    view,
    directory,
    claims,
    rules,
  });
  let stopping = false;

  const listen = options.listener ?? createListener;
  const listener: Listener = listen(
    tasks,
    (request, response) =>
      handle(request, response).catch(error => {
        log.error('call-failed', {error: String(error)});
        const refusal = refuse('internal', 'internal error', {
          verdict: 'may-have-run',
        });
        answerRefusal(request, response, refusal);
      }),
    options.intake,
  );

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = request.url ?? '';
    if (url === '/health') return answerHealth(response);
    if (url === '/metrics' && options.metrics) {
      const text = await options.metrics();
      const headers = {'content-type': 'text/plain; version=0.0.4'};
      return answerText(response, 200, text, headers);
    }
    if (stopping) {
      const refusal = refuse('stopping', 'this entry host is stopping');
      return answerRefusal(request, response, refusal);
    }
    if (url === '/announce' || url === '/leave') {
      const context = {
        view,
        freshUntilMs,
        roster: roster.task,
        flush: sync.flush,
      };
      return handleAnnounce(context, request, response, url === '/leave');
    }
    if (isJobsPath(url)) {
      return handleJobs({control, view, freshUntilMs}, request, response);
    }
    return call(request, response);
  }

  function answerHealth(response: ServerResponse): void {
    const fresh = performance.now() < freshUntilMs.value;
    const status = stopping ? 'stopping' : fresh ? 'ok' : 'stale';
    answerJson(response, status === 'ok' ? 200 : 503, {status});
  }

  async function call(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const exchange: Exchange = {
      request,
      response,
      view: view.value,
      arrivedMs: performance.now(),
      facts: {},
    };
    const outcome = await calls.run(exchange);
    if (!outcome.ok) {
      exchange.facts.callerLeft ||= response.destroyed;
      const {cachedResponse} = exchange.facts;
      if (cachedResponse) answerCached(request, response, cachedResponse);
      else answerRefusal(request, response, outcome.refusal);
    }
    observe(exchange, outcome);
  }

  function observe(exchange: Exchange, outcome: PipeOutcome<Forwarded>): void {
    const {arrivedMs, facts} = exchange;
    const {route, team, cachedResponse, callerLeft} = facts;
    const durationMs = performance.now() - arrivedMs;
    if (outcome.ok) {
      const {verdict, status, complete} = outcome.value;
      const common = {route, team, callerLeft, verdict, durationMs};
      observer.onCallFinished({...common, status, complete});
      return;
    }
    const {verdict, code} = outcome.refusal;
    const complete = !exchange.response.destroyed;
    const sent = cachedResponse?.status ?? getStatus(outcome.refusal);
    const status = complete ? sent : 0;
    const base = {route, team, callerLeft, verdict, durationMs};
    const common = {...base, status, complete};
    observer.onCallFinished(cachedResponse ? common : {...common, code});
  }

  await sync.start();
  const port = await listener.listen(options.host, options.port);

  async function stopAll(): Promise<void> {
    stopping = true;
    const {shutdownDelayMs = 0} = options;
    if (shutdownDelayMs > 0)
      await new Promise(done => setTimeout(done, shutdownDelayMs));
    const interrupted = await listener.drain(
      rules.drainsOnStop() ? DRAIN_LIMIT_MS : 0,
    );
    if (interrupted > 0) log.warn('calls-interrupted', {calls: interrupted});
    await claims.stop();
    await sync.stop();
    await upstreams.stop();
    await roster.task.stop();
    await admission.task.stop();
  }

  let stopped: Promise<void> | undefined;
  return {
    port,
    version: () => view.value.version,
    stop: () => (stopped ??= stopAll()),
  };
}
