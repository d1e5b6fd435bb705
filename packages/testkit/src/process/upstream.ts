/** Upstreams in this process that record when work begins and ends. */
import type {Announcement} from '@lentildrift/model';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {request} from 'undici';
import type {History} from '../history.js';
import {LOOPBACK} from './port.js';

const LEASE_MS = 6000;
const ANNOUNCE_INTERVAL_MS = 2000;
const ANNOUNCE_TIMEOUT_MS = 3000;

export interface UpstreamOptions {
  readonly host: string;
  readonly pool: string;
  readonly service: string;
  /** Key of the pool. */
  readonly key: string;
  /** Newest version of the tables that may lead calls to this service. */
  readonly newestVersion: () => number;
  readonly history: History;
  /** Entry hosts, tried in turn. */
  readonly entryPorts: () => readonly number[];
}

export interface RecordingUpstream {
  readonly host: string;
  /** Number of calls that run now. */
  runningCalls(): number;
  /** The latest announcement that was sent. */
  lastAnnouncement(): Announcement;
  /** Resolves with the HTTP status of one entry host. */
  send(
    path: '/announce' | '/leave',
    announcement: Announcement,
    port: number,
  ): Promise<number>;
  /** Leaves the roster, and goes on answering. */
  leave(): Promise<void>;
  stop(): Promise<void>;
}

export async function startRecordingUpstream(
  options: UpstreamOptions,
): Promise<RecordingUpstream> {
  const {host, pool, service, key, newestVersion: version, history} = options;
  let running = 0;
  let sequence = 0;
  let turn = 0;
  const incarnation = Date.now();

  const server = createServer((incoming, response) => {
    const header = (name: string) => String(incoming.headers[name] ?? '');
    const call = header('test-call');
    const [entry, team] = [header('test-entry'), header('test-team')];
    const workMs = Number(header('test-work-ms'));
    running += 1;
    history.record({
      type: 'run-began',
      call,
      upstream: host,
      entry,
      team,
      version: version(),
    });
    incoming.resume();
    const timer = setTimeout(() => {
      response.setHeader('test-answer-to', call);
      response.end(JSON.stringify({call, service, host}));
    }, workMs);
    response.once('close', () => {
      clearTimeout(timer);
      running -= 1;
      history.record({type: 'run-ended', call, upstream: host});
    });
  });
  await new Promise<void>(resolve => server.listen(0, LOOPBACK, resolve));
  const address = `${LOOPBACK}:${(server.address() as AddressInfo).port}`;

  function announcement(): Announcement {
    const leaseMs = LEASE_MS;
    return {pool, service, host, address, incarnation, sequence, leaseMs};
  }

  async function send(
    path: '/announce' | '/leave',
    body: Announcement,
    port: number,
  ): Promise<number> {
    const answer = await request(`http://${LOOPBACK}:${port}${path}`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(ANNOUNCE_TIMEOUT_MS),
    });
    await answer.body.dump();
    return answer.statusCode;
  }

  async function tell(path: '/announce' | '/leave'): Promise<void> {
    sequence += 1;
    const ports = options.entryPorts();
    for (let left = ports.length; left > 0; left--) {
      const port = ports[turn % ports.length]!;
      const status = await send(path, announcement(), port).catch(() => 0);
      if (status === 204) return;
      turn += 1;
    }
    throw new Error(`no entry host took ${path} of ${host}`);
  }

  await tell('/announce');
  const timer = setInterval(
    () => void tell('/announce').catch(() => undefined),
    ANNOUNCE_INTERVAL_MS,
  );

  return {
    host,
    runningCalls: () => running,
    lastAnnouncement: announcement,
    send,
    async leave() {
      clearInterval(timer);
      await tell('/leave');
      history.record({type: 'upstream-left', upstream: host});
    },
    async stop() {
      clearInterval(timer);
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
    },
  };
}
