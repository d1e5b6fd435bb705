/** The task that owns the socket on which the services are served. */
import type {Intake} from '@lentildrift/intake-limits';
import type {Reply, TaskSystem} from '@lentildrift/task';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createServiceServer} from './router.js';
import type {ControlService, PeerService} from './service.js';

/**
 * Time that requests in flight have to finish after the server stops listening;
 * their connections are closed then.
 */
const STOP_GRACE_MS = 5000;
const LISTEN_TIMEOUT_MS = 5000;

export interface ServerOptions {
  readonly tasks: TaskSystem;
  readonly control: ControlService;
  readonly peer: PeerService;
  readonly clusterSecret: string;
  readonly host: string;
  /** Limits of clients; unlimited when absent. */
  readonly intake?: Intake;
  /** 0 lets the operating system choose a free port. */
  readonly port: number;
}

export interface ServiceServer {
  readonly port: number;
  /** Stops listening, then waits until the requests in flight finish. */
  stop(): Promise<void>;
}

interface Listen {
  readonly type: 'listen';
  readonly reply: Reply<number>;
}

/**
 * Starts a server. Resolves once the server listens; rejects if the address is
 * in use.
 */
export async function startServiceServer(
  options: ServerOptions,
): Promise<ServiceServer> {
  const {tasks, control, peer, clusterSecret, intake, host, port} = options;
  const task = tasks.spawn<Server, Listen>({
    name: 'service-server',
    initial: createServiceServer(control, peer, clusterSecret, intake),
    async handle(server, message) {
      try {
        await listen(server, host, port);
        message.reply.resolve((server.address() as AddressInfo).port);
      } catch (error) {
        // The caller reports this error: a port in use is not a failure of the
        // task.
        message.reply.reject(error as Error);
      }
      return server;
    },
    afterStop: closeServer,
  });
  const boundPort = await task.ask<number>(
    reply => ({type: 'listen', reply}),
    LISTEN_TIMEOUT_MS,
  );
  return {port: boundPort, stop: () => task.stop()};
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

function closeServer(server: Server): Promise<void> {
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
