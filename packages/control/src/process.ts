/** A control process: the control role, served on a socket. */
import type {Intake} from '@lentildrift/intake-limits';
import {
  createServiceClient,
  startServiceServer,
  type PeerService,
  type ServiceClient,
} from '@lentildrift/protocol';
import {createControl, type Control, type ControlOptions} from './control.js';
import type {Peers} from './propose.js';

const PEER_TIMEOUT_MS = 2000;

export interface PeerClients {
  readonly peers: Peers;
  close(): Promise<void>;
}

/** Clients of the other control processes, by member ID. */
export function createPeerClients(
  addresses: ReadonlyMap<string, string>,
  clusterSecret: string,
): PeerClients {
  const clients = new Map<string, ServiceClient>();
  for (const [member, address] of addresses) {
    const timeoutMs = PEER_TIMEOUT_MS;
    const client = createServiceClient({address, clusterSecret, timeoutMs});
    clients.set(member, client);
  }
  const peers = new Map<string, PeerService>();
  for (const [member, {peer}] of clients) peers.set(member, peer);
  return {
    peers,
    close: async () => {
      await Promise.all([...clients.values()].map(client => client.close()));
    },
  };
}

export interface ControlProcessOptions extends ControlOptions {
  readonly peers: Peers;
  readonly clusterSecret: string;
  /** Limits of clients; unlimited when absent. */
  readonly intake?: Intake;
  readonly listen: {readonly host: string; readonly port: number};
}

export interface ControlProcess extends Control {
  readonly port: number;
}

/** Starts the role and serves it; the caller starts and stops the replica. */
export async function startControlProcess(
  options: ControlProcessOptions,
): Promise<ControlProcess> {
  const {tasks, clusterSecret, intake, listen} = options;
  const role = createControl(options);
  const {control, peer} = role;
  const server = await startServiceServer({
    tasks,
    control,
    peer,
    clusterSecret,
    intake,
    ...listen,
  }).catch(async error => {
    await role.stop();
    throw error;
  });

  async function stop(): Promise<void> {
    await server.stop();
    await role.stop();
  }

  return {...role, port: server.port, stop};
}
