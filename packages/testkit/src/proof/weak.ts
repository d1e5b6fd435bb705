/**
 * Weakened variants of the planner's mechanisms. Tests and `prove` use them to
 * show that the checkers detect a missing mechanism.
 */
import type {StateMachine} from '@lentildrift/consensus';
import {stateMachine} from '@lentildrift/control';
import {
  apply,
  type Answer,
  type Change,
  type Host,
  type State,
} from '@lentildrift/model';
import type {PlatformAnswer, PlatformCommand} from '@lentildrift/platform';
import {FakePlatform} from '@lentildrift/sample';
import type {Mechanism} from './scenario.js';

type ControlStateMachine = StateMachine<State, Change, Answer>;
type Apply = typeof apply;

const WEAK_REDUCERS: Partial<Record<Mechanism, Apply>> = {
  'budget-check': (state, change) =>
    applyOnAlteredState(state, change, {
      alterHost: host => host,
      // No host has to stay available, and in a spare pool hosts of any
      // number of failure domains may be taken out of service.
      alterPool: pool => ({...pool, minAvailable: 0, kind: 'spare' as const}),
    }),
  'permit-until-healthy': (state, change) =>
    applyOnAlteredState(state, change, {
      alterHost: host => (isReturning(host) ? withoutPermit(host) : host),
      alterPool: pool => pool,
    }),
  'pool-switch': (state, change) => {
    const result = apply(state, change);
    const hosts = Object.entries(result.state.hosts).map(([id, host]) => [
      id,
      host.permit?.targetPool !== undefined
        ? {...host, pool: host.permit.targetPool}
        : host,
    ]);
    const switched = Object.fromEntries(hosts) as State['hosts'];
    return {...result, state: {...result.state, hosts: switched}};
  },
  quarantine: (state, change) =>
    change.body.type === 'quarantine'
      ? apply(state, {...change, body: {type: 'noop'}})
      : apply(state, change),
};

/** The state machine; its reducers are weakened if they hold the mechanism. */
export function createStateMachineWithout(
  mechanism: Mechanism | undefined,
): ControlStateMachine {
  const weak = mechanism && WEAK_REDUCERS[mechanism];
  return weak ? {...stateMachine, apply: weak} : stateMachine;
}

/** Changes to the rows that a permit decision sees. */
interface Alteration {
  alterHost(host: Host): Host;
  alterPool(pool: State['tables']['pools'][string]): typeof pool;
}

/**
 * Decides a permit on an altered state. Hosts that the decision did not change,
 * and the budgets and kinds of pools, are restored afterwards.
 */
function applyOnAlteredState(
  state: State,
  change: Change,
  alteration: Alteration,
): ReturnType<Apply> {
  if (!isPermitRequest(change)) return apply(state, change);
  const hosts = mapValues(state.hosts, alteration.alterHost);
  const pools = mapValues(state.tables.pools, alteration.alterPool);
  const tables = {...state.tables, pools};
  const result = apply({...state, hosts, tables}, change);
  const after = result.state;
  const restored = {
    ...after,
    hosts: mapValues(after.hosts, host =>
      host === hosts[host.id] ? state.hosts[host.id]! : host,
    ),
    tables: {
      ...after.tables,
      pools: mapValues(after.tables.pools, pool => {
        const {minAvailable, kind} = state.tables.pools[pool.name] ?? pool;
        return {...pool, minAvailable, kind};
      }),
    },
  };
  return {...result, state: restored};
}

function isPermitRequest({body}: Change): boolean {
  if (body.type === 'command') return body.command.type === 'drain';
  return body.type === 'grant-permit' || body.type === 'grant-permits';
}

function mapValues<T>(
  rows: Record<string, T>,
  change: (row: T) => T,
): Record<string, T> {
  const entries = Object.entries(rows).map(([id, row]) => [id, change(row)]);
  return Object.fromEntries(entries) as Record<string, T>;
}

function isReturning({phase, permit}: Host): boolean {
  return permit !== undefined && (phase === 'rebooting' || phase === 'joining');
}

function withoutPermit({permit: _, ...host}: Host): Host {
  return {...host, phase: 'serving'};
}

/** A fake platform that tracks which hosts are actually drained. */
export class DrainTrackingPlatform extends FakePlatform {
  /** Hosts that the platform was told to drain. */
  readonly drained = new Set<string>();

  override commandSync(commands: readonly PlatformCommand[]): PlatformAnswer[] {
    const answers = super.commandSync(commands);
    commands.forEach(({type, host}, i) => {
      if (answers[i] !== 'done') return;
      if (type === 'drain') this.drained.add(host);
      if (type === 'undrain') this.drained.delete(host);
    });
    return answers;
  }
}

/** Also executes commands with an outdated leader token or fencing token. */
class UnfencedPlatform extends DrainTrackingPlatform {
  private newestLeader = 0;
  private readonly newestTokens = new Map<string, number>();

  override commandSync(commands: readonly PlatformCommand[]): PlatformAnswer[] {
    return super.commandSync(
      commands.map(command => this.withNewestTokens(command)),
    );
  }

  override observeSync(
    leader: number,
  ): ReturnType<DrainTrackingPlatform['observeSync']> {
    this.newestLeader = Math.max(this.newestLeader, leader);
    return super.observeSync(leader);
  }

  private withNewestTokens(command: PlatformCommand): PlatformCommand {
    this.newestLeader = Math.max(this.newestLeader, command.leader);
    const subject = 'job' in command ? command.job : command.host;
    const token = Math.max(this.newestTokens.get(subject) ?? 0, command.token);
    this.newestTokens.set(subject, token);
    return {...command, token, leader: this.newestLeader};
  }
}

/** The fake platform; without fencing if that is the weakened mechanism. */
export function createPlatformWithout(
  mechanism: Mechanism | undefined,
  options: ConstructorParameters<typeof FakePlatform>[0],
): DrainTrackingPlatform {
  return mechanism === 'fencing-token'
    ? new UnfencedPlatform(options)
    : new DrainTrackingPlatform(options);
}
