/** A TCP relay that counts the bytes it forwards. */
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {LOOPBACK} from './port.js';

/** Bytes of TCP payload, without IP and TCP headers. */
export interface Traffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

export interface Relay {
  readonly port: number;
  /** Bytes sent and received by the processes that connect to the relay. */
  traffic(): Traffic;
  stop(): Promise<void>;
}

/** Forwards connections from a free loopback port to `targetPort`. */
export async function startRelay(targetPort: number): Promise<Relay> {
  let sentBytes = 0;
  let receivedBytes = 0;
  const sockets = new Set<Socket>();

  const server = createServer({noDelay: true}, incoming => {
    const outgoing = connect({port: targetPort, host: LOOPBACK, noDelay: true});
    incoming.on('data', chunk => (sentBytes += chunk.length));
    outgoing.on('data', chunk => (receivedBytes += chunk.length));
    incoming.pipe(outgoing);
    outgoing.pipe(incoming);
    for (const [socket, other] of [
      [incoming, outgoing],
      [outgoing, incoming],
    ] as const) {
      sockets.add(socket);
      socket.on('error', () => other.destroy());
      socket.on('close', () => {
        sockets.delete(socket);
        other.destroy();
      });
    }
  });
  await listen(server);

  return {
    port: (server.address() as AddressInfo).port,
    traffic: () => ({sentBytes, receivedBytes}),
    stop: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
  };
}

function listen(server: Server): Promise<void> {
  return new Promise(resolve => server.listen(0, LOOPBACK, resolve));
}
