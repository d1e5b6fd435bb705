/** Starts the control role: the replica, its peer server and the planner. */
import {
  JsonCodec,
  PeerMessage,
  startRaft,
  type RaftReplica,
} from '@lentildrift/consensus';
import {
  createGroupMembership,
  createPeerClients,
  memberName,
  MemberPeers,
  NamedIdentity,
  PeerChannels,
  startControlProcess,
  startPlanner,
  stateMachine,
  type Control,
  type PeerClients,
  type PlannerOptions,
  type StateReplica,
} from '@lentildrift/control';
import type {Intake} from '@lentildrift/intake-limits';
import {
  changeSchema,
  stateSchema,
  type Answer,
  type Change,
  type State,
} from '@lentildrift/model';
import type {Log, Metrics} from '@lentildrift/observe';
import {HttpPlatform, type Platform} from '@lentildrift/platform';
import type {ControlService} from '@lentildrift/protocol';
import {SettingsError, type Settings} from '@lentildrift/settings';
import {openDiskStore} from '@lentildrift/storage';
import type {TaskSystem} from '@lentildrift/task';
import {randomInt} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';

/** Settings that the control role uses. */
export type ControlSettings = Pick<
  Settings,
  | 'hostName'
  | 'memberId'
  | 'controlAddress'
  | 'controlPort'
  | 'controlMembers'
  | 'clusterSecret'
  | 'operatorKeyHash'
  | 'dataFolder'
> &
  Partial<PlannerSettings>;

/** Settings that the planner of the control role uses. */
export type PlannerSettings = Pick<
  Settings,
  | 'platformAddress'
  | 'weightBufferCost'
  | 'weightRollOutTime'
  | 'weightMoves'
  | 'weightShareNearness'
>;

/** What a role gets from the process that it runs in. */
export interface RoleContext {
  readonly tasks: TaskSystem;
  readonly log: Log;
  /** Limits of clients that the roles of the process share. */
  readonly intake: Intake;
  /** Metrics that the entry role shows; its own if absent. */
  readonly metrics?: Metrics;
  /**
   * Called when the replica failed. The process must then exit, because it can
   * no longer keep the changes that it accepted.
   */
  onFatal(error: Error): void;
}

export interface ControlContext extends RoleContext {
  /** Used instead of the platform at `platformAddress` of the settings. */
  readonly platform?: Platform;
}

export interface ControlRole {
  readonly service: ControlService;
  readonly replica: StateReplica;
  /** Port that the control role listens on. */
  readonly port: number;
  stop(): Promise<void>;
}

/** Raft group ID, stored in the data folder. */
const GROUP_ID = 'lentildrift';
const MAX_RAFT_SEED = 2 ** 31 - 1;
const BOOTSTRAP_RETRY_INTERVAL_MS = 500;

/**
 * Starts the control role. When the promise resolves, this process may still
 * have to found or join the group. Rejects with `FolderLockedError` if the data
 * folder is in use, and with `CorruptStoreError` if it is damaged.
 */
export async function startControl(
  settings: ControlSettings,
  context: ControlContext,
): Promise<ControlRole> {
  const {tasks, log, intake} = context;
  const {clusterSecret, controlAddress: host, controlPort: port} = settings;
  if (clusterSecret === undefined) {
    throw new SettingsError(
      '--cluster-secret-file is needed for the control role',
    );
  }
  const clients = createMemberClients(settings, clusterSecret);
  const peers = new MemberPeers(clients.peers);
  const {replica, channels} = await startReplica(settings, context, peers);
  const group = createGroupMembership({replica, peers, tasks, log});
  const role = await startControlProcess({
    replica,
    tasks,
    log,
    peers,
    clusterSecret,
    intake,
    onMessages: (from, messages) =>
      replica.receive(from, z.array(PeerMessage).parse(messages)),
    onJoinRequest: group.handleJoinRequest,
    listen: {host, port},
  }).catch(async error => {
    await group.stop();
    await replica.stop();
    throw error;
  });
  const planner = startPlannerIfConfigured(settings, context, replica);
  const stopController = new AbortController();
  void bootstrapOperatorKey(settings, role, log, stopController.signal);
  log.info('control-listening', {address: host, port: role.port});

  async function stop(): Promise<void> {
    stopController.abort();
    await planner?.stop();
    await group.stop();
    // The replica transfers leadership, for which this process must still
    // answer its peers.
    await replica.stop();
    await role.stop();
    await channels.stop();
    await clients.close();
  }

  return {service: role.control, replica, port: role.port, stop};
}

/**
 * Starts the planner if a platform is configured. The planner acts only while
 * this process is the leader.
 */
function startPlannerIfConfigured(
  settings: ControlSettings,
  {tasks, log, platform}: ControlContext,
  replica: StateReplica,
): {stop(): Promise<void>} | undefined {
  const weights = toPlannerWeights(settings);
  if (platform) return startPlanner({replica, platform, tasks, log, weights});
  const {platformAddress} = settings;
  if (platformAddress === undefined) return undefined;
  const remote = new HttpPlatform({url: `http://${platformAddress}`});
  const planner = startPlanner({
    replica,
    platform: remote,
    tasks,
    log,
    weights,
  });

  async function stop(): Promise<void> {
    await planner.stop();
    await remote.close();
  }

  return {stop};
}

function toPlannerWeights(
  settings: ControlSettings,
): PlannerOptions['weights'] {
  const {weightBufferCost: bufferCost = 1, weightRollOutTime: rollOut = 1} =
    settings;
  const {weightMoves: moves = 1, weightShareNearness: shareNearness = 1} =
    settings;
  return {bufferCost, rollOut, moves, shareNearness};
}

function getMemberName({memberId, hostName}: ControlSettings): string {
  return memberId ?? hostName;
}

function createMemberClients(
  settings: ControlSettings,
  secret: string,
): PeerClients {
  const others = (settings.controlMembers ?? []).filter(
    ({id}) => id !== getMemberName(settings),
  );
  const addresses = others.map(({id, address}) => [id, address] as const);
  return createPeerClients(new Map(addresses), secret);
}

async function startReplica(
  settings: ControlSettings,
  {tasks, log, onFatal}: RoleContext,
  peers: MemberPeers,
): Promise<{
  replica: RaftReplica<State, Change, Answer>;
  channels: PeerChannels;
}> {
  const {identity, store} = await openDiskStore(settings.dataFolder, GROUP_ID, {
    identitySource: new NamedIdentity(getMemberName(settings)),
    onRepair: repair => log.warn('log-repaired', {...repair}),
  });
  const member = identity.memberId;
  if (memberName(member) !== getMemberName(settings)) {
    await store.close();
    throw new SettingsError(
      `--data-folder belongs to member "${memberName(member)}", not "${getMemberName(settings)}"`,
    );
  }
  const channels = new PeerChannels(member, peers, tasks);
  const replica = await startRaft({
    member,
    group: GROUP_ID,
    seed: randomInt(MAX_RAFT_SEED),
    stateMachine,
    codec: new JsonCodec({change: changeSchema, state: stateSchema}),
    store,
    transport: channels,
    tasks,
    onFatal,
  });
  replica.onStatusChange(({role, term, leader, voters}) =>
    log.info('replica-changed', {
      member,
      role,
      term,
      leader,
      voters: voters.join(','),
    }),
  );
  return {replica, channels};
}

/**
 * Proposes the first operator's key, and retries until a leader has answered.
 * A key that already exists, even if withdrawn, is not changed, so that a
 * restart does not revive a withdrawn key.
 */
async function bootstrapOperatorKey(
  {operatorKeyHash}: ControlSettings,
  {proposer}: Pick<Control, 'proposer'>,
  log: Log,
  signal: AbortSignal,
): Promise<void> {
  if (!operatorKeyHash) return;
  const {id, secretHash} = operatorKeyHash;
  const body = {
    type: 'command' as const,
    requestId: `bootstrap-${id}`,
    command: {
      type: 'give-key' as const,
      keyId: id,
      subject: {kind: 'operator' as const, operator: 'bootstrap'},
      secretHash,
    },
  };
  while (!signal.aborted) {
    try {
      const answer = await proposer.propose(body, {idempotent: true});
      log.info('operator-key', {id, given: answer.ok});
      return;
    } catch (error) {
      log.debug('operator-key-retry', {id, reason: String(error)});
    }
    await sleep(BOOTSTRAP_RETRY_INTERVAL_MS, undefined, {signal}).catch(
      () => undefined,
    );
  }
}
