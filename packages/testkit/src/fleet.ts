/** Builds the tables and hosts of a test fleet of a given size. */
import {
  apply,
  EMPTY_STATE,
  poolSchema,
  routeSchema,
  teamSchema,
  type ObservedHost,
  type State,
} from '@lentildrift/model';

const WORKERS_PER_RACK = 4;
const CORES_PER_WORKER = 64;

export interface FleetSize {
  readonly workers: number;
  /** Number of pools that run jobs; the spare pool is not counted. */
  readonly pools: number;
  /** Workers in the spare pool; they are included in `workers`. */
  readonly spares: number;
  readonly teams: number;
  readonly dataCentres: number;
  /** Memory of each worker. */
  readonly memoryMiB: number;
}

/** Size of the `archers` fleet: 35 workers with 256 GiB each. */
export const ARCHERS_SIZE: FleetSize = {
  workers: 35,
  pools: 5,
  spares: 3,
  teams: 6,
  dataCentres: 3,
  memoryMiB: 256 * 1024,
};

/** Size of the `gardens` fleet: like `archers`, but 128 GiB per worker. */
export const GARDENS_SIZE: FleetSize = {...ARCHERS_SIZE, memoryMiB: 128 * 1024};

export interface Fleet {
  readonly size: FleetSize;
  readonly hosts: readonly Omit<ObservedHost, 'healthy'>[];
  readonly state: State;
}

/** Shares of the teams in turn; the list repeats after its last entry. */
const TEAM_SHARES = [3, 3, 2, 1, 1, 1];

/** Builds a fleet in which every host is healthy and in service. */
export function buildFleet(size: FleetSize): Fleet {
  const hosts = [...Array(size.workers).keys()].map(i => createHost(size, i));
  const serving = hosts.slice(0, size.workers - size.spares);
  const pools = [...Array(size.pools).keys()].map(p => {
    const own = serving.filter((_, i) => i % size.pools === p);
    return poolSchema.parse({
      name: `pool-${p}`,
      kind: 'jobs',
      hosts: own.map(host => host.id),
      minAvailable: Math.max(0, own.length - 2),
    });
  });
  const spare = poolSchema.parse({
    name: 'spare',
    kind: 'spare',
    hosts: hosts.slice(serving.length).map(host => host.id),
  });
  const routes = pools.map((pool, p) =>
    routeSchema.parse({name: `queue-${p}`, pool: pool.name, service: 'work'}),
  );
  const teams = [...Array(size.teams).keys()].map(t =>
    teamSchema.parse({
      name: `team-${t}`,
      share: TEAM_SHARES[t % TEAM_SHARES.length],
      limit: 10_000,
    }),
  );
  const edit = {basedOn: 0, pools: [...pools, spare], routes, teams};
  let {state} = apply(EMPTY_STATE, {
    atMs: 0,
    body: {
      type: 'command',
      requestId: 'tables',
      command: {type: 'edit', edit},
    },
  });
  const observedHosts = hosts.map(host => ({...host, healthy: true}));
  const body = {type: 'observe-hosts' as const, hosts: observedHosts};
  ({state} = apply(state, {atMs: 0, body}));
  return {size, hosts, state};
}

function createHost(size: FleetSize, i: number): Omit<ObservedHost, 'healthy'> {
  const rack = Math.floor(i / WORKERS_PER_RACK);
  const isSpare = i >= size.workers - size.spares;
  return {
    id: `${isSpare ? 'spare' : 'worker'}-${i}`,
    dataCentre: `dc-${rack % size.dataCentres}`,
    rack: `rack-${rack}`,
    cores: CORES_PER_WORKER,
    memoryMiB: size.memoryMiB,
    accelerators: 0,
  };
}
