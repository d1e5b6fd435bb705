/** Weakened variants of the mechanisms; they exist for proofs only. */
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
    applyOn(state, change, {
      host: host => host,
      // No host has to stay, and a spare pool may open any domain.
      pool: pool => ({...pool, minAvailable: 0, kind: 'spare' as const}),
    }),
  'permit-until-healthy': (state, change) =>
    applyOn(state, change, {
      host: host => (isReturning(host) ? withoutPermit(host) : host),
      pool: pool => pool,
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

/** The state machine, without one mechanism if it is part of the reducers. */
export function createStateMachineWithout(
  mechanism: Mechanism | undefined,
): ControlStateMachine {
  const weak = mechanism && WEAK_REDUCERS[mechanism];
  return weak ? {...stateMachine, apply: weak} : stateMachine;
}

interface Alteration {
  host(host: Host): Host;
  pool(pool: State['tables']['pools'][string]): typeof pool;
}

/** Lets a permit be decided on an altered state; what it left is put back. */
function applyOn(
  state: State,
  change: Change,
  alteration: Alteration,
): ReturnType<Apply> {
  if (!asksForPermit(change)) return apply(state, change);
  const hosts = mapValues(state.hosts, alteration.host);
  const pools = mapValues(state.tables.pools, alteration.pool);
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

function asksForPermit({body}: Change): boolean {
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

/** The platform stand-in, which tells what is out of service in truth. */
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

/** Obeys commands of planners and permits that are out of date. */
class UnfencedPlatform extends DrainTrackingPlatform {
  private leaderSeen = 0;
  private readonly newest = new Map<string, number>();

  override commandSync(commands: readonly PlatformCommand[]): PlatformAnswer[] {
    return super.commandSync(commands.map(command => this.renewed(command)));
  }

  override observeSync(
    leader: number,
  ): ReturnType<DrainTrackingPlatform['observeSync']> {
    this.leaderSeen = Math.max(this.leaderSeen, leader);
    return super.observeSync(leader);
  }

  private renewed(command: PlatformCommand): PlatformCommand {
    this.leaderSeen = Math.max(this.leaderSeen, command.leader);
    const about = 'job' in command ? command.job : command.host;
    const token = Math.max(this.newest.get(about) ?? 0, command.token);
    this.newest.set(about, token);
    return {...command, token, leader: this.leaderSeen};
  }
}

/** The platform, without its fence if that is the mechanism. */
export function createPlatformWithout(
  mechanism: Mechanism | undefined,
  options: ConstructorParameters<typeof FakePlatform>[0],
): DrainTrackingPlatform {
  return mechanism === 'fencing-token'
    ? new UnfencedPlatform(options)
    : new DrainTrackingPlatform(options);
}
