/** Tests which control processes count as reachable, over loopback. */
import {startLinkServer, type LinkServer} from '@lentildrift/link';
import {createLog} from '@lentildrift/observe';
import {startTasks} from '@lentildrift/task';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {afterEach, expect, it, vi} from 'vitest';
import {createMesh, STATUS, type GroupStatus} from '../src/mesh.js';

const HOST = '127.0.0.1';
const log = createLog('error', {}, () => {});
const cleanUps: (() => Promise<unknown>)[] = [];

afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) await cleanUp();
});

function createTestMesh(seed: string, seeds = () => [seed]) {
  const mesh = createMesh({
    name: 'test',
    seeds,
    tasks: startTasks(() => {}),
    log,
    onChange: () => {},
  });
  cleanUps.push(() => mesh.stop());
  return mesh;
}

const STATUS_OF_PEER: Omit<GroupStatus, 'member'> = {
  process: 'p',
  term: 1,
  voters: [],
  learners: [],
  dataCentre: 'b',
};

it('a process that has reported its status is a peer until its link closes', async () => {
  const server = await startLinkServer({
    host: HOST,
    port: 0,
    tasks: startTasks(() => {}),
    log,
    onRequest: async () => null,
    onPost: () => {},
    initialPost: () => ({
      kind: STATUS,
      body: {...STATUS_OF_PEER, member: `${address}/m`},
    }),
  });
  const address = `${HOST}:${server.port}`;
  const mesh = createTestMesh(address);
  await vi.waitFor(() => expect(mesh.peers().size).toBe(1));
  expect(mesh.peers().get(address)).toMatchObject({address, dataCentre: 'b'});
  await server.stop();
  await vi.waitFor(() => expect(mesh.peers().size).toBe(0));
});

// The operating system accepts connections for a frozen process. Calls to
// workers through it would all be lost.
it('a frozen process is not a peer although its link opens', async () => {
  const sockets: Socket[] = [];
  const frozen = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => {});
  });
  await new Promise<void>(resolve => frozen.listen(0, HOST, resolve));
  cleanUps.push(() => {
    for (const socket of sockets) socket.destroy();
    return new Promise(resolve => frozen.close(resolve));
  });
  const address = `${HOST}:${(frozen.address() as AddressInfo).port}`;
  const mesh = createTestMesh(address);
  await vi.waitFor(() => expect(mesh.linkTo(address)?.isOpen()).toBe(true));
  expect(mesh.peers().size).toBe(0);
});

// A host keeps its seeds for seconds after the hosts that they name are gone.
it('the last members that were reported are tried again after all links have closed and the seeds have changed', async () => {
  let address = '';
  async function startServer(port: number): Promise<LinkServer> {
    return startLinkServer({
      host: HOST,
      port,
      tasks: startTasks(() => {}),
      log,
      onRequest: async () => null,
      onPost: () => {},
      initialPost: () => {
        const member = `${address}/m`;
        const body = {...STATUS_OF_PEER, member, voters: [member]};
        return {kind: STATUS, body};
      },
    });
  }
  const server = await startServer(0);
  address = `${HOST}:${server.port}`;
  const seeds = [address];
  const mesh = createTestMesh(address, () => seeds);
  await vi.waitFor(() => expect(mesh.peers().size).toBe(1));
  await server.stop();
  await vi.waitFor(() => expect(mesh.peers().size).toBe(0));
  seeds.splice(0, 1, `${HOST}:1`);
  mesh.refresh();
  const restarted = await startServer(server.port);
  cleanUps.push(() => restarted.stop());
  await vi.waitFor(() => expect(mesh.peers().size).toBe(1), 3000);
});
