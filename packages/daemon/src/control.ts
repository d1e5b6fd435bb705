/** Starts the control role of a process. */
import {SoloReplica} from '@lentildrift/consensus';
import {
  startControlProcess,
  stateMachine,
  type StateReplica,
} from '@lentildrift/control';
import type {Log} from '@lentildrift/observe';
import type {ControlService} from '@lentildrift/protocol';
import {SettingsError, type Settings} from '@lentildrift/settings';
import type {TaskSystem} from '@lentildrift/task';

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
  const role = await startControlProcess({
    replica,
    tasks,
    log,
    peers: new Map(),
    clusterSecret: settings.clusterSecret,
    listen: {host: settings.controlAddress, port: settings.controlPort},
  });
  const {port, control: service} = role;
  log.info('control-listening', {address: settings.controlAddress, port});

  async function stop(): Promise<void> {
    await role.stop();
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
