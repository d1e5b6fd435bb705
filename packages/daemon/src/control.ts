/** Starts the control role of a process. */
import {SoloReplica} from '@lentildrift/consensus';
import {
  createControl,
  stateMachine,
  type StateReplica,
} from '@lentildrift/control';
import type {Log} from '@lentildrift/observe';
import {
  createServiceServer,
  PeerService,
  ServiceError,
  type ControlService,
} from '@lentildrift/protocol';
import {SettingsError, type Settings} from '@lentildrift/settings';
import type {TaskSystem} from '@lentildrift/task';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';

export type ControlSettings = Pick<
  Settings,
  | 'controlAddress'
  | 'controlPort'
  | 'controlMembers'
  | 'clusterSecret'
  | 'operatorKeyHash'
>;

export interface RoleContext {
  readonly tasks: TaskSystem;
  readonly log: Log;
}

export interface ControlRole {
  readonly service: ControlService;
  readonly replica: StateReplica;
  /** Port that the control role listens on. */
  readonly port: number;
  stop(): Promise<void>;
}

/** Open connections are cut this long after the server was closed. */
const CLOSE_DEADLINE_MS = 5000;

/** Throws `SettingsError` for settings that the replica cannot serve. */
export async function startControl(
  settings: ControlSettings,
  {tasks, log}: RoleContext,
): Promise<ControlRole> {
  if ((settings.controlMembers?.length ?? 1) > 1) {
    // Several replicas in memory would each have a state of their own.
    throw new SettingsError(
      '--control-members must list one member: this build has no replicated log',
    );
  }
  if (settings.clusterSecret === undefined) {
    throw new SettingsError('--cluster-secret-file is needed for control');
  }
  const replica: StateReplica = new SoloReplica(stateMachine);
  log.warn('replica-in-memory', {
    detail: 'state is lost when this process ends',
  });
  await giveOperatorKey(settings, replica, log);
  const service = createControl({replica, tasks, log});
  const server = createServiceServer(
    service,
    new NoPeers(),
    settings.clusterSecret,
  );
  await listen(server, settings.controlPort, settings.controlAddress);
  const {port} = server.address() as AddressInfo;
  log.info('control-listening', {address: settings.controlAddress, port});

  async function stop(): Promise<void> {
    await close(server);
    await replica.stop();
  }

  return {service, replica, port, stop};
}

/**
 * Gives the first operator's key. A key that exists already, also a withdrawn
 * one, stays as it is, so that a restart does not revive it.
 */
async function giveOperatorKey(
  settings: ControlSettings,
  replica: StateReplica,
  log: Log,
): Promise<void> {
  const {operatorKeyHash} = settings;
  if (!operatorKeyHash) return;
  const {id, secretHash} = operatorKeyHash;
  if (Object.hasOwn(replica.state().keys, id)) return;
  const {answer} = await replica.propose({
    atMs: Date.now(),
    body: {
      type: 'command',
      requestId: `bootstrap-${id}`,
      command: {
        type: 'give-key',
        keyId: id,
        subject: {kind: 'operator', operator: 'bootstrap'},
        secretHash,
      },
    },
  });
  log.info('operator-key', {id, given: answer.ok});
}

function listen(server: Server, port: number, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

async function close(server: Server): Promise<void> {
  const cut = setTimeout(() => server.closeAllConnections(), CLOSE_DEADLINE_MS);
  await new Promise(resolve => {
    server.close(resolve);
    server.closeIdleConnections();
  });
  clearTimeout(cut);
}

/** A group of one member has no peers. */
class NoPeers extends PeerService {
  override deliver = refusePeer;
  override propose = refusePeer;
  override readIndex = refusePeer;
  override report = refusePeer;
  override gossip = refusePeer;
}

async function refusePeer(): Promise<never> {
  throw new ServiceError('unavailable', 'this process has no peers');
}
