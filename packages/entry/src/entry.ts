/** The entry role: an HTTP server, and the sync with control. */
import {
  announcementSchema,
  EMPTY_VIEW,
  mergeRoster,
  patchView,
  refuse,
  type Refusal,
  type RefusalCode,
  type Roster,
  type RosterItem,
  type View,
} from '@lentildrift/model';
import type {Log} from '@lentildrift/observe';
import type {ControlService, TeamUse} from '@lentildrift/protocol';
import type {TaskSystem} from '@lentildrift/task';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {json} from 'node:stream/consumers';
import {createAdmission} from './admission.js';
import {bearerSubject, callPipe} from './call.js';
import {createForwarder} from './forward.js';

const SYNC_INTERVAL_MS = 1000;
const ASK_TIMEOUT_MS = 2000;

export interface EntryOptions {
  readonly control: ControlService;
  readonly tasks: TaskSystem;
  readonly log: Log;
  readonly entryHost: string;
  readonly host: string;
  readonly port: number;
}

export interface Entry {
  /** Port that the entry host listens on. */
  readonly port: number;
  stop(): Promise<void>;
}

const STATUS: Partial<Record<RefusalCode, number>> = {
  malformed: 400,
  unauthorised: 401,
  forbidden: 403,
  'unknown-route': 404,
  'body-too-large': 413,
  'over-limit': 429,
  'upstream-failed': 502,
  timeout: 504,
};

/** Starts an entry host; it refuses calls until its first sync. */
export async function startEntry(options: EntryOptions): Promise<Entry> {
  const {control, tasks, log} = options;
  const admission = createAdmission(tasks);
  const forwarder = createForwarder();
  let view: View = EMPTY_VIEW;
  let roster: Roster = new Map();
  let outgoing: RosterItem[] = [];
  const calls = callPipe({admission, forwarder, roster: () => roster});
  const {session} = await control.openSession({entryHost: options.entryHost});

  async function sync(): Promise<void> {
    const sentMs = performance.now();
    const use = await admission.ask<Record<string, TeamUse>>(
      reply => ({type: 'use', reply}),
      ASK_TIMEOUT_MS,
    );
    const sent = outgoing;
    outgoing = [];
    const answer = await control.sync({
      session,
      revision: view.revision,
      use,
      roster: sent,
      rosterVersion: 0,
    });
    if (!answer.ok) return;
    roster = mergeRoster(roster, answer.roster, performance.now());
    const next = patchView(view, answer.view);
    if (!next || next.revision < answer.readIndex) return;
    view = next;
    admission.post({type: 'renew', sentMs, slices: answer.slices});
  }

  const attempt = () =>
    sync().catch(error => log.warn('sync-failed', {error: String(error)}));
  const timer = setInterval(() => void attempt(), SYNC_INTERVAL_MS);
  await attempt();

  const server = createServer((request, response) => {
    void handle(request, response).catch(error => {
      log.error('call-failed', {error: String(error)});
      answerRefusal(response, refuse('internal', 'internal error'));
    });
  });

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === '/announce') return announce(request, response, false);
    if (request.url === '/leave') return announce(request, response, true);
    const arrivedMs = performance.now();
    const outcome = await calls.run({request, response, view, arrivedMs});
    if (!outcome.ok) answerRefusal(response, outcome.refusal);
  }

  async function announce(
    request: IncomingMessage,
    response: ServerResponse,
    left: boolean,
  ): Promise<void> {
    const parsed = announcementSchema.safeParse(
      await json(request).catch(() => undefined),
    );
    if (!parsed.success) {
      const message = 'malformed announcement';
      return answerRefusal(response, refuse('malformed', message));
    }
    const {pool, host} = parsed.data;
    const subject = bearerSubject(request.headers.authorization, view);
    const ofPool = subject && subject.kind === 'pool' && subject.pool === pool;
    if (!ofPool || view.hosts[host]?.pool !== pool) {
      const message = `the key or host is not of pool "${pool}"`;
      return answerRefusal(response, refuse('forbidden', message));
    }
    const item = {announcement: parsed.data, left, ageMs: 0};
    roster = mergeRoster(roster, [item], performance.now());
    outgoing = [...outgoing, item];
    await attempt();
    response.writeHead(204).end();
  }

  await new Promise<void>(resolve =>
    server.listen(options.port, options.host, resolve),
  );

  async function stop(): Promise<void> {
    clearInterval(timer);
    await new Promise<void>(resolve => {
      server.close(() => resolve());
      server.closeIdleConnections();
    });
    await forwarder.close();
    await control.closeSession({session});
    await admission.stop();
  }

  return {port: (server.address() as AddressInfo).port, stop};
}

function answerRefusal(response: ServerResponse, refusal: Refusal): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const {verdict, code, message, retryAfterMs} = refusal;
  response.writeHead(STATUS[code] ?? 503, {
    'content-type': 'application/json',
    'lentildrift-verdict': verdict,
    ...(retryAfterMs === undefined
      ? {}
      : {'retry-after': String(Math.ceil(retryAfterMs / 1000))}),
  });
  response.end(JSON.stringify({verdict, code, message}) + '\n');
}
