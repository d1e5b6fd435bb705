/** Tests what an entry process believes of the control processes, over loopback. */
import {encodeFrame} from '@lentildrift/link';
import {createLog} from '@lentildrift/observe';
import {startTasks} from '@lentildrift/task';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {afterEach, expect, it, vi} from 'vitest';
import {startQueueEntry, type QueueEntry} from '../src/index.js';
import {STATUS, type GroupStatus} from '../src/mesh.js';

const HOST = '127.0.0.1';

/** A control process that leads, as its links show it. */
interface FakeControl {
  readonly address: string;
  /** Whether it still answers; its connections stay open without. */
  isRunning: boolean;
  report(isServing: boolean): void;
  stop(): Promise<unknown>;
}

let control: FakeControl;
let entry: QueueEntry;
let logLines: string[];

afterEach(async () => {
  await entry.stop();
  await control.stop();
});

async function startControl(isServing: boolean): Promise<FakeControl> {
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => {});
    socket.on('data', () => {
      if (fake.isRunning) socket.write(encodeFrame({type: 'pong'}));
    });
    if (fake.isRunning) send(socket, isServing);
  });
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const address = `${HOST}:${(server.address() as AddressInfo).port}`;
  const member = `${address}/m`;

  function send(socket: Socket, serves: boolean): void {
    const body: GroupStatus = {
      member,
      process: 'p',
      term: 1,
      leader: member,
      voters: [member],
      learners: [],
      dataCentre: 'a',
      isServing: serves,
    };
    socket.write(encodeFrame({type: 'post', kind: STATUS, body}));
  }

  const fake: FakeControl = {
    address,
    isRunning: true,
    report: serves => sockets.forEach(socket => send(socket, serves)),
    stop() {
      for (const socket of sockets) socket.destroy();
      return new Promise(resolve => server.close(resolve));
    },
  };
  return fake;
}

async function start(isServing: boolean): Promise<void> {
  control = await startControl(isServing);
  logLines = [];
  entry = startQueueEntry({
    name: 'entry',
    seeds: () => [control.address],
    tasks: startTasks(() => {}),
    log: createLog('info', {}, line => logLines.push(line)),
  });
}

const hasLogged = (text: string) => logLines.some(line => line.includes(text));

// Its link closes after 6 s and more without requests, and it was ready for 2.5 s
// beyond that.
it('an entry host is not ready once all control processes have been silent for 4.5 s', async () => {
  await start(true);
  await vi.waitFor(() => expect(entry.isReady()).toBe(true));
  control.isRunning = false;
  const silentMs = performance.now();
  await vi.waitFor(() => expect(entry.isReady()).toBe(false), 15_000);
  expect(performance.now() - silentMs).toBeLessThan(5500);
  expect(hasLogged('event=entry-unready reason=unconfirmed')).toBe(true);
}, 20_000);

it('an entry host stays ready while its control processes only answer pings', async () => {
  await start(true);
  await vi.waitFor(() => expect(entry.isReady()).toBe(true));
  for (let waitedMs = 0; waitedMs < 6000; waitedMs += 100) {
    await new Promise(resolve => setTimeout(resolve, 100));
    expect(entry.isReady()).toBe(true);
  }
}, 20_000);

// A leader that was elected and did not take over kept the entry hosts ready.
it('an entry host is ready only once the elected leader has taken over', async () => {
  await start(false);
  await vi.waitFor(() => expect(hasLogged('event=leader-known')).toBe(true));
  expect(entry.isReady()).toBe(false);
  expect(hasLogged('event=entry-unready reason=takeover')).toBe(true);
  control.report(true);
  await vi.waitFor(() => expect(entry.isReady()).toBe(true));
  expect(hasLogged('event=entry-ready')).toBe(true);
});
