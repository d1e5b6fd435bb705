/** In-process upstreams that record when each call begins and ends. */
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
  /** API key of the pool. */
  readonly key: string;
  /** Newest version of the tables that may route calls to this service. */
  readonly newestVersion: () => number;
  readonly history: History;
  /** Ports of the entry hosts, tried in turn when announcing. */
  readonly entryPorts: () => readonly number[];
}

export interface RecordingUpstream {
  readonly host: string;
  /** Number of calls that are currently running. */
  runningCalls(): number;
  /** The latest announcement that was sent. */
  lastAnnouncement(): Announcement;
  /** Sends to one entry host; resolves with the HTTP status. */
  sendAnnouncement(
    path: '/announce' | '/leave',
    announcement: Announcement,
    port: number,
  ): Promise<number>;
  /** Leaves the roster but continues to answer calls. */
  leave(): Promise<void>;
  stop(): Promise<void>;
}

/** Starts an upstream and announces it every 2 s until it leaves or stops. */
export async function startRecordingUpstream(
  options: UpstreamOptions,
): Promise<RecordingUpstream> {
  const {host, pool, service, key, newestVersion, history} = options;
  let runningCalls = 0;
  let sequence = 0;
  let entryIndex = 0;
  const incarnation = Date.now();

  const server = createServer((incoming, response) => {
    const header = (name: string) => String(incoming.headers[name] ?? '');
    const call = header('test-call');
    const [entry, team] = [header('test-entry'), header('test-team')];
    const workMs = Number(header('test-work-ms'));
    runningCalls += 1;
    history.record({
      type: 'run-began',
      call,
      upstream: host,
      entry,
      team,
      version: newestVersion(),
    });
    incoming.resume();
    const timer = setTimeout(() => {
      response.setHeader('test-answer-to', call);
      response.end(JSON.stringify({call, service, host}));
    }, workMs);
    response.once('close', () => {
      clearTimeout(timer);
      runningCalls -= 1;
      history.record({type: 'run-ended', call, upstream: host});
    });
  });
  await new Promise<void>(resolve => server.listen(0, LOOPBACK, resolve));
  const address = `${LOOPBACK}:${(server.address() as AddressInfo).port}`;

  function createAnnouncement(): Announcement {
    const leaseMs = LEASE_MS;
    return {pool, service, host, address, incarnation, sequence, leaseMs};
  }

  async function sendAnnouncement(
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

  /** Sends to the entry hosts in turn until one answers with 204. */
  async function sendToAnyEntry(path: '/announce' | '/leave'): Promise<void> {
    sequence += 1;
    const ports = options.entryPorts();
    for (let attemptsLeft = ports.length; attemptsLeft > 0; attemptsLeft--) {
      const port = ports[entryIndex % ports.length]!;
      const status = await sendAnnouncement(
        path,
        createAnnouncement(),
        port,
      ).catch(() => 0);
      if (status === 204) return;
      entryIndex += 1;
    }
    throw new Error(`no entry host accepted ${path} of ${host}`);
  }

  await sendToAnyEntry('/announce');
  const timer = setInterval(
    () => void sendToAnyEntry('/announce').catch(() => undefined),
    ANNOUNCE_INTERVAL_MS,
  );

  return {
    host,
    runningCalls: () => runningCalls,
    lastAnnouncement: createAnnouncement,
    sendAnnouncement,
    async leave() {
      clearInterval(timer);
      await sendToAnyEntry('/leave');
      history.record({type: 'upstream-left', upstream: host});
    },
    async stop() {
      clearInterval(timer);
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
    },
  };
}
