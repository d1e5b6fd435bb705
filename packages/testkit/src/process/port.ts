/** Finds free TCP ports on loopback. */
import {createServer, type AddressInfo, type Server} from 'node:net';

export const LOOPBACK = '127.0.0.1';

/**
 * Returns `count` different ports that were free when checked. All ports are
 * held open until the last one is found, so that none is returned twice.
 */
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
