/** The entry role: the tasks of an entry host, and its HTTP paths. */
import {MAX_CALL_TIMEOUT_MS, refuse} from '@lentildrift/model';
import type {Log} from '@lentildrift/observe';
import type {PipeOutcome} from '@lentildrift/pipe';
import type {ControlService} from '@lentildrift/protocol';
import type {TaskSystem} from '@lentildrift/task';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createAdmission} from './admission.js';
import {handleAnnounce} from './announce.js';
import {UndiciConnector} from './attempt.js';
import {answerJson, answerKept, answerRefusal, statusOf} from './answer.js';
import {callPipe} from './call.js';
import type {Connector} from './connection.js';
import {createRoster} from './directory.js';
import type {Exchange, Forwarded} from './exchange.js';
import {FailoverControl} from './failover.js';
import {handleJobs, isJobsPath} from './jobs.js';
import {createListener, type Listener} from './listener.js';
import {NullObserver, type CallObserver} from './observer.js';
import {createOnce} from './once.js';
import {EntryRules} from './rules.js';
import {createSync, type BurnSource} from './sync.js';
import {createUpstreams} from './upstream.js';

/** Calls end by their deadline; the rest is for passing on the answer. */
const DRAIN_LIMIT_MS = MAX_CALL_TIMEOUT_MS + 1000;

export interface EntryOptions {
  /** Control processes, that of the own data centre first. */
  readonly control: ControlService | readonly ControlService[];
  readonly tasks: TaskSystem;
  readonly log: Log;
  readonly entryHost: string;
  readonly host: string;
  readonly port: number;
  readonly observer?: CallObserver;
  /** Recorded calls, for the report of control. */
  readonly burn?: BurnSource;
  /** Text of `/metrics`; without it the path is not found. */
  readonly metrics?: () => string | Promise<string>;
  /** How long `/health` is unavailable before the server stops listening. */
  readonly noticeMs?: number;
  /** Connections to upstreams; by `undici` when absent. */
  readonly connector?: Connector;
  /** Makes what takes calls; a server of `node:http` when absent. */
  readonly listener?: typeof createListener;
  readonly rules?: EntryRules;
}

export interface Entry {
  /** Port that the entry host listens on. */
  readonly port: number;
  /** Version of the tables that the entry host holds; 0 for none. */
  version(): number;
  /** Stops without interrupting calls. */
  stop(): Promise<void>;
}

/** Starts an entry host; it refuses calls until its first sync. */
export async function startEntry(options: EntryOptions): Promise<Entry> {
  const {tasks, log} = options;
  const observer = options.observer ?? new NullObserver();
  const control = new FailoverControl([options.control].flat());
  const rules = options.rules ?? new EntryRules();
  const connector = options.connector ?? new UndiciConnector();
  const admission = createAdmission(tasks, () => sync.hurry(), rules);
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
  const {lease} = admission;
  const {directory} = roster;
  const once = createOnce({tasks, log, control, session, rules});
  const calls = callPipe({admission, upstreams, view, directory, once, rules});
  let stopping = false;

  const listen = options.listener ?? createListener;
  const listener: Listener = listen(tasks, (request, response) => {
    handle(request, response).catch(error => {
      log.error('call-failed', {error: String(error)});
      const refusal = refuse('internal', 'internal error', {
        verdict: 'may-have-run',
      });
      answerRefusal(request, response, refusal);
    });
  });

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = request.url ?? '';
    if (url === '/health') return answerHealth(response);
    if (url === '/metrics' && options.metrics) {
      const text = await options.metrics();
      response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
      response.end(text);
      return;
    }
    if (stopping) {
      const refusal = refuse('stopping', 'this entry host is stopping');
      return answerRefusal(request, response, refusal);
    }
    if (url === '/announce' || url === '/leave') {
      const context = {view, lease, roster: roster.task, flush: sync.flush};
      return handleAnnounce(context, request, response, url === '/leave');
    }
    if (isJobsPath(url)) {
      return handleJobs({control, view, lease}, request, response);
    }
    return call(request, response);
  }

  function answerHealth(response: ServerResponse): void {
    const fresh = performance.now() < lease.value;
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
      const {kept} = exchange.facts;
      if (kept) answerKept(request, response, kept);
      else answerRefusal(request, response, outcome.refusal);
    }
    observe(exchange, outcome);
  }

  function observe(exchange: Exchange, outcome: PipeOutcome<Forwarded>): void {
    const {arrivedMs, facts} = exchange;
    const {route, team, kept, callerLeft} = facts;
    const durationMs = performance.now() - arrivedMs;
    if (outcome.ok) {
      const {verdict, status, complete} = outcome.value;
      const common = {route, team, callerLeft, verdict, durationMs};
      observer.finished({...common, status, complete});
      return;
    }
    const {verdict, code} = outcome.refusal;
    const complete = !exchange.response.destroyed;
    const sent = kept?.status ?? statusOf(outcome.refusal);
    const status = complete ? sent : 0;
    const base = {route, team, callerLeft, verdict, durationMs};
    const common = {...base, status, complete};
    observer.finished(kept ? common : {...common, code});
  }

  await sync.start();
  const port = await listener.listen(options.host, options.port);

  async function stopAll(): Promise<void> {
    stopping = true;
    const {noticeMs = 0} = options;
    if (noticeMs > 0) await new Promise(done => setTimeout(done, noticeMs));
    const left = await listener.drain(
      rules.waitsForCalls() ? DRAIN_LIMIT_MS : 0,
    );
    if (left > 0) log.warn('calls-interrupted', {calls: left});
    await once.stop();
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
