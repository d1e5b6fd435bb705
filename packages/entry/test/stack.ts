/** An entry host with a fake control service, and upstreams on raw sockets. */
import {startEntry, type FinishedCall, CallObserver} from '@lentildrift/entry';
import {createLog} from '@lentildrift/observe';
import {startTasks} from '@lentildrift/task';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {FakeControl} from './fake.js';

/** Responds to one request on the socket. */
export type RequestHandler = (
  socket: Socket,
  head: string,
  /** Number of the request on this upstream, from 1. */
  count: number,
) => void;

export interface RawUpstream {
  readonly address: string;
  readonly requests: string[];
  /** Connections accepted so far. */
  accepted(): number;
  /** Whether any byte has arrived. */
  hasReceived(): boolean;
  readonly sockets: Set<Socket>;
  stop(): Promise<void>;
}

/** Starts a server that calls `onRequest` with each complete request. */
export async function startRawUpstream(
  onRequest: RequestHandler,
): Promise<RawUpstream> {
  const requests: string[] = [];
  const sockets = new Set<Socket>();
  let received = false;
  let accepted = 0;
  const server = createServer(socket => {
    let text = '';
    sockets.add(socket);
    accepted += 1;
    socket.on('close', () => sockets.delete(socket)).on('error', () => {});
    socket.on('data', data => {
      text += data.toString('latin1');
      received = true;
      if (!isComplete(text)) return;
      requests.push(text);
      const head = text;
      text = '';
      onRequest(socket, head, requests.length);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    requests,
    sockets,
    hasReceived: () => received,
    accepted: () => accepted,
    async stop() {
      for (const socket of sockets) socket.destroy();
      await new Promise(resolve => server.close(resolve));
    },
  };
}

function isComplete(text: string): boolean {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return false;
  const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
  if (/transfer-encoding: chunked/i.test(text))
    return text.endsWith('0\r\n\r\n');
  return text.length >= end + 4 + length;
}

export function respond(body: string, extra = ''): string {
  return `HTTP/1.1 200 OK\r\n${extra}content-length: ${body.length}\r\n\r\n${body}`;
}

class RecordingObserver extends CallObserver {
  readonly calls: FinishedCall[] = [];
  override onCallFinished(call: FinishedCall): void {
    this.calls.push(call);
  }
}

/** Starts an entry host with the routes `lanes`, `quick` and `book`. */
export async function startStack(control = new FakeControl()) {
  const poolKey = control.addKey({kind: 'pool', pool: 'range'});
  const teamKey = control.addKey({kind: 'team', team: 'club'});
  control.addRoute('lanes', {timeoutMs: 2000, maxBodyBytes: 1000});
  control.addRoute('quick', {timeoutMs: 200});
  control.addRoute('book', {repeat: 'once'});
  const failures: string[] = [];
  const tasks = startTasks((task, error) =>
    failures.push(`${task}: ${error.stack}`),
  );
  const observer = new RecordingObserver();
  const entry = await startEntry({
    control: [control],
    tasks,
    log: createLog('error', {}, line => failures.push(line)),
    entryHost: 'entry-1',
    host: '127.0.0.1',
    port: 0,
    observer,
  });
  const base = `http://127.0.0.1:${entry.port}`;
  const upstreams: RawUpstream[] = [];

  function announce(address: string, rest: object = {}, key = poolKey) {
    return fetch(`${base}/announce`, {
      method: 'POST',
      headers: {authorization: `Bearer ${key}`},
      body: JSON.stringify({
        pool: 'range',
        service: 'lanes',
        host: 'h1',
        address,
        incarnation: 1,
        sequence: 1,
        leaseMs: 30_000,
        ...rest,
      }),
    });
  }

  return {
    control,
    entry,
    base,
    teamKey,
    poolKey,
    observer,
    failures,
    announce,
    async upstream(onRequest: RequestHandler, rest: object = {}) {
      const upstream = await startRawUpstream(onRequest);
      upstreams.push(upstream);
      const {status} = await announce(upstream.address, rest);
      if (status !== 204) throw new Error(`announce: ${status}`);
      return upstream;
    },
    call(path: string, init: RequestInit & {duplex?: 'half'} = {}) {
      const headers = {authorization: `Bearer ${teamKey}`, ...init.headers};
      return fetch(`${base}/call${path}`, {...init, headers});
    },
    /** Sends raw text; resolves with all data received until the close. */
    async raw(text: string): Promise<string> {
      const socket = connect(entry.port, '127.0.0.1');
      let answer = '';
      socket.on('data', data => (answer += data)).on('error', () => {});
      socket.write(text);
      await once(socket, 'close');
      return answer;
    },
    async stop() {
      for (const upstream of upstreams) await upstream.stop();
      await entry.stop();
      tasks.stop();
    },
  };
}

export type Stack = Awaited<ReturnType<typeof startStack>>;

export function verdictOf(response: Response): string | null {
  return response.headers.get('lentildrift-verdict');
}

/** Waits until `check` returns true, for at most 5 s. */
export async function waitUntil(check: () => boolean): Promise<void> {
  const end = performance.now() + 5000;
  while (!check()) {
    if (performance.now() > end)
      throw new Error('the condition was not met within 5 s');
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}
