/** The task that owns the socket on which the services are served. */
import type {Reply, TaskSystem} from '@lentildrift/task';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createServiceServer} from './router.js';
import type {ControlService, PeerService} from './service.js';

/** Requests in flight may end within this after the server stops listening. */
const STOP_GRACE_MS = 5000;
const LISTEN_TIMEOUT_MS = 5000;

export interface ServerOptions {
  readonly tasks: TaskSystem;
  readonly control: ControlService;
  readonly peer: PeerService;
  readonly clusterSecret: string;
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
}

export interface ServiceServer {
  readonly port: number;
  /** Stops listening, then waits for the requests in flight. */
  stop(): Promise<void>;
}

interface Listen {
  readonly type: 'listen';
  readonly reply: Reply<number>;
}

/** Resolves once the server listens; rejects if the address is not free. */
export async function startServiceServer(
  options: ServerOptions,
): Promise<ServiceServer> {
  const {tasks, control, peer, clusterSecret, host, port} = options;
  const task = tasks.spawn<Server, Listen>({
    name: 'service-server',
    initial: createServiceServer(control, peer, clusterSecret),
    async handle(server, message) {
      try {
        await listen(server, host, port);
        message.reply.resolve((server.address() as AddressInfo).port);
      } catch (error) {
        // The caller reports it; a port that is taken is no fault of the task.
        message.reply.reject(error as Error);
      }
      return server;
    },
    afterStop: close,
  });
  const bound = await task.ask<number>(
    reply => ({type: 'listen', reply}),
    LISTEN_TIMEOUT_MS,
  );
  return {port: bound, stop: () => task.stop()};
}

function listen(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

function close(server: Server): Promise<void> {
  if (!server.listening) return Promise.resolve();
  return new Promise(resolve => {
    const timer = setTimeout(() => server.closeAllConnections(), STOP_GRACE_MS);
    server.close(() => {
      clearTimeout(timer);
      resolve();
    });
    server.closeIdleConnections();
  });
}
