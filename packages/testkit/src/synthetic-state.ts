/** Builds synthetic states of a given size, for measurements. */
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
  /** Recorded answers to operator commands. */
  readonly answers: number;
}

const HOSTS_PER_RACK = 4;

/** Builds a valid state of about the given size, through `apply` only. */
export function buildState(size: StateSize, dataCentres = 3): State {
  let state = EMPTY_STATE;
  const applyChange = (body: ChangeBody) => {
    const result = apply(state, {atMs: 1_700_000_000_000, body});
    if (!result.answer.ok) throw new Error(result.answer.message);
    state = result.state;
  };
  let requestCount = 0;
  const applyCommand = (each: Command) =>
    applyChange({
      type: 'command',
      requestId: `request-${++requestCount}`,
      command: each,
    });

  applyCommand({type: 'edit', edit: createTables(size)});
  applyChange({
    type: 'observe-hosts',
    hosts: createObservedHosts(size.hosts, dataCentres),
  });
  for (let i = 0; i < size.keys; i++)
    applyCommand(createGiveKey(i, size.teams));
  for (let i = 0; i < size.sessions; i++) {
    applyChange({
      type: 'open-session',
      session: `session-${i}`,
      entryHost: `e-${i}`,
    });
  }
  if (size.sessions > 0) applyChange(createEvenSlices(size));
  if (size.jobs > 0) applyChange(createSubmitJobs(size));
  while (requestCount < size.answers) {
    applyCommand({type: 'withdraw-key', keyId: keyId(0)});
  }
  return state;
}

function createTables(size: StateSize) {
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

function createObservedHosts(count: number, dataCentres: number) {
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

function createGiveKey(index: number, teams: number): Command {
  const subject = {kind: 'team' as const, team: `team-${index % teams}`};
  const secretHash = hashSecret(String(index));
  return {type: 'give-key', keyId: keyId(index), subject, secretHash};
}

function createEvenSlices(size: StateSize): ChangeBody {
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

function createSubmitJobs(size: StateSize): ChangeBody {
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

/** The integers from 0 to `count - 1`. */
export function range(count: number): number[] {
  return Array.from({length: count}, (_, index) => index);
}
