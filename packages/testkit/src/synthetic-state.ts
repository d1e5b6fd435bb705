/** States of a given size, for measurements. */
import {
  apply,
  EMPTY_STATE,
  hashSecret,
  poolSchema,
  routeSchema,
  teamSchema,
  type ChangeBody,
  type Command,
  type State,
} from '@lentildrift/model';

export interface StateSize {
  readonly hosts: number;
  readonly pools: number;
  readonly teams: number;
  readonly routes: number;
  readonly keys: number;
  readonly jobs: number;
  readonly sessions: number;
  /** Answers to operators that are on record. */
  readonly answers: number;
}

const HOSTS_PER_RACK = 4;

/** A valid state of about the given size, built through `apply` alone. */
export function buildState(size: StateSize, dataCentres = 3): State {
  let state = EMPTY_STATE;
  const step = (body: ChangeBody) => {
    const result = apply(state, {atMs: 1_700_000_000_000, body});
    if (!result.answer.ok) throw new Error(result.answer.message);
    state = result.state;
  };
  let requests = 0;
  const command = (each: Command) =>
    step({type: 'command', requestId: `request-${++requests}`, command: each});

  command({type: 'edit', edit: fleetTables(size)});
  step({type: 'observe-hosts', hosts: observedHosts(size.hosts, dataCentres)});
  for (let i = 0; i < size.keys; i++) command(giveKey(i, size.teams));
  for (let i = 0; i < size.sessions; i++) {
    step({type: 'open-session', session: `session-${i}`, entryHost: `e-${i}`});
  }
  if (size.sessions > 0) step(evenSlices(size));
  if (size.jobs > 0) step(submitJobs(size));
  while (requests < size.answers) {
    command({type: 'withdraw-key', keyId: keyId(0)});
  }
  return state;
}

function fleetTables(size: StateSize) {
  const hostsOf = (pool: number) =>
    range(size.hosts)
      .filter(host => host % size.pools === pool)
      .map(host => `host-${host}`);
  return {
    basedOn: 0,
    teams: range(size.teams).map(i =>
      teamSchema.parse({name: `team-${i}`, share: 1, limit: 1000}),
    ),
    pools: range(size.pools).map(i =>
      poolSchema.parse({
        name: `pool-${i}`,
        kind: i % 2 === 0 ? 'calls' : 'jobs',
        hosts: hostsOf(i),
        minAvailable: Math.floor((hostsOf(i).length * 3) / 4),
      }),
    ),
    routes: range(size.routes).map(i =>
      routeSchema.parse({
        name: `route-${i}`,
        pool: `pool-${i % size.pools}`,
        service: `service-${i % size.pools}`,
      }),
    ),
  };
}

function observedHosts(count: number, dataCentres: number) {
  return range(count).map(i => ({
    id: `host-${i}`,
    dataCentre: `dc-${i % dataCentres}`,
    rack: `rack-${Math.floor(i / HOSTS_PER_RACK)}`,
    cores: 64,
    memoryMiB: 262_144,
    accelerators: 0,
    healthy: true,
  }));
}

function keyId(index: number): string {
  return index.toString(16).padStart(12, '0');
}

function giveKey(index: number, teams: number): Command {
  const subject = {kind: 'team' as const, team: `team-${index % teams}`};
  const secretHash = hashSecret(String(index));
  return {type: 'give-key', keyId: keyId(index), subject, secretHash};
}

function evenSlices(size: StateSize): ChangeBody {
  const amount = Math.floor(1000 / size.sessions);
  return {
    type: 'set-slices',
    slices: range(size.teams).flatMap(team =>
      range(size.sessions).map(session => ({
        team: `team-${team}`,
        session: `session-${session}`,
        basedOn: 0,
        amount,
      })),
    ),
  };
}

function submitJobs(size: StateSize): ChangeBody {
  return {
    type: 'submit-jobs',
    team: 'team-0',
    jobs: range(size.jobs).map(i => ({
      id: `job-${i}`,
      queue: `route-${i % size.routes}`,
      declared: {cores: 2, memoryMiB: 4096, accelerators: 0},
      runTimeMs: 60_000,
      urgent: false,
      command: '',
    })),
  };
}

export function range(count: number): number[] {
  return Array.from({length: count}, (_, index) => index);
}
