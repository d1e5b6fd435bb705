/** Ports of loopback that were free a moment ago. */
import {createServer, type AddressInfo, type Server} from 'node:net';

export const LOOPBACK = '127.0.0.1';

/** Holds all ports open together, so that none is found twice. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({length: count}, listen));
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(server => new Promise(done => server.close(done))),
  );
  return ports;
}

function listen(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, LOOPBACK, () => resolve(server));
  });
}
