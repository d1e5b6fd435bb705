import {afterEach, describe, expect, it} from 'vitest';
import {
  createPeerClients,
  PeerChannels,
  startControlProcess,
  type ControlProcess,
  type PeerClients,
} from '@lentildrift/control';
import type {PeerMessage} from '@lentildrift/consensus';
import {createLog} from '@lentildrift/observe';
import {createFailoverClient} from '@lentildrift/protocol';
import {startTasks} from '@lentildrift/task';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {FakeGroup} from './group.js';

const clusterSecret = 'secret';
const host = '127.0.0.1';
const cleanUps: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) await cleanUp();
});

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(r => server.listen(0, host, r));
  const {port} = server.address() as AddressInfo;
  await new Promise(r => server.close(r));
  return port;
}

interface Started {
  readonly process: ControlProcess;
  readonly clients: PeerClients;
  readonly channels: PeerChannels;
  readonly delivered: unknown[];
}

/** Starts the control processes of a fake group on real sockets. */
async function startGroup(group: FakeGroup): Promise<Map<string, Started>> {
  const addresses = new Map<string, string>();
  for (const {member} of group.members) {
    addresses.set(member, `${host}:${await findFreePort()}`);
  }
  const log = createLog('error', {}, () => undefined);
  const started = new Map<string, Started>();
  for (const replica of group.members) {
    const {member} = replica;
    const others = [...addresses].filter(([id]) => id !== member);
    const clients = createPeerClients(new Map(others), clusterSecret);
    const tasks = startTasks(() => undefined);
    const delivered: unknown[] = [];
    const process = await startControlProcess({
      replica,
      tasks,
      log,
      peers: clients.peers,
      clusterSecret,
      listen: {host, port: Number(addresses.get(member)!.split(':')[1])},
      onMessages: (from, messages) => delivered.push({from, messages}),
    });
    const channels = new PeerChannels(member, clients.peers, tasks);
    cleanUps.push(async () => {
      await process.stop();
      await channels.stop();
      await clients.close();
    });
    started.set(member, {process, clients, channels, delivered});
  }
  return started;
}

/** Returns a consensus message that is identified by its term. */
function createNumberedMessage(term: number, to: string): PeerMessage {
  return {type: 'pre-voted', group: 'g', from: 'a', to, term, granted: true};
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(r => setTimeout(r, 5));
}

describe('control processes over loopback', () => {
  it('an entry host keeps its session when the follower that it syncs with stops', async () => {
    const group = new FakeGroup();
    group.setLimit(12);
    // The answer to the first sync contains slices although the replica lags.
    for (const replica of group.members) replica.lagMs = 50;
    const started = await startGroup(group);
    const ports = ['b', 'c'].map(id => started.get(id)!.process.port);
    const client = createFailoverClient({
      addresses: ports.map(port => `${host}:${port}`),
      clusterSecret,
      timeoutMs: 2000,
    });
    cleanUps.push(() => client.close());
    const {control} = client;
    const {session} = await control.openSession({entryHost: 'entry-1'});
    const rest = {useSince: 0, use: {}, roster: [], rosterVersion: 0};
    const first = await control.sync({
      session,
      revision: 0,
      sequence: 1,
      ...rest,
    });
    expect(first).toMatchObject({ok: true, slices: {juniors: {amount: 3}}});
    await started.get('b')!.process.stop();
    const revision = first.ok ? first.view.to : 0;
    const second = await control.sync({
      session,
      revision,
      sequence: 2,
      ...rest,
    });
    expect(second).toMatchObject({ok: true, slices: {}, useHeld: true});
    // After a failed sync an entry host asks for the full state, as revision 0.
    const full = await control.sync({
      session,
      revision: 0,
      sequence: 3,
      ...rest,
    });
    expect(full).toMatchObject({ok: true, slices: {juniors: {amount: 3}}});
  });

  it('consensus messages to a stopped peer do not delay those to other peers, and stay in order', async () => {
    const started = await startGroup(new FakeGroup());
    await started.get('b')!.process.stop();
    const {channels} = started.get('a')!;
    for (let n = 0; n < 50; n++) {
      for (const to of ['b', 'c', 'nobody'])
        channels.send(to, [createNumberedMessage(n, to)]);
    }
    const {delivered} = started.get('c')!;
    const numbers = () =>
      (delivered as {messages: PeerMessage[]}[]).flatMap(({messages}) =>
        messages.map(({term}) => term),
      );
    await waitUntil(() => numbers().length === 50);
    expect(numbers()).toEqual(Array.from({length: 50}, (_, n) => n));
  });
});
