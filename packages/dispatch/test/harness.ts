/**
 * Test harness: a leader on one in-memory replica, with fake workers and hosts.
 */
import {
  ChangeRefused,
  SoloReplica,
  type CommitResult,
} from '@lentildrift/consensus';
import {createLog, createMetrics, type Metrics} from '@lentildrift/observe';
import type {
  Change,
  JobSpec,
  Outcome,
  Queue,
  State,
  Step,
  Tables,
  Worker,
} from '@lentildrift/queue';
import {
  FixedPools,
  TimedWaves,
  type CopyPolicy,
  type DisplacementPolicy,
  type PoolPolicy,
  type WavePolicy,
} from '@lentildrift/scheduling';
import {startTasks} from '@lentildrift/task';
import {isDeepStrictEqual} from 'node:util';
import {vi} from 'vitest';
import {QueueCodec} from '../src/codec.js';
import {createHostOrderGuard} from '../src/host-order-guard.js';
import {
  Adviser,
  queueMachine,
  startLeader,
  type Leader,
  type QueueReplica,
  type WorkerDriver,
} from '../src/index.js';
import {FakeFleet, FakeHostProvider, type FleetOptions} from './fakes.js';
import {createPolicies, parsePolicyNames} from '../src/policies.js';
import {createFakeGroup, type FakeRelay} from './relays.js';

const QUEUE: Queue = {
  name: 'q',
  host: 'h',
  prefix: '/q/',
  pool: 'p',
  timeoutMs: 3000,
  targetMs: 600,
  stretch: 1.6,
  maxAttempts: 2,
  priority: 0,
  open: true,
};

export const TABLES: Tables = {
  version: 1,
  queues: [QUEUE, {...QUEUE, name: 'r', prefix: '/r/', pool: 'r'}],
  pools: [
    {name: 'p', guardsCapacity: false, standby: false},
    {name: 'r', guardsCapacity: false, standby: false},
    {name: 'standby', guardsCapacity: false, standby: true},
  ],
  teams: [],
  document: '{}',
};

export const STEP: Step = {
  count: 1,
  size: {cpuMillis: 1000, memoryMb: 100, gpus: 0},
  estimateMs: 1000,
  after: [],
  checkpoints: false,
  gang: false,
  sameRack: false,
  maxPerWorker: 0,
  speculative: false,
  lasting: false,
  image: '',
  tailTargetMs: 0,
  filler: false,
  mayMiss: 0,
};

export function job(id: string, ...steps: Partial<Step>[]): JobSpec {
  const all = steps.length > 0 ? steps : [{}];
  return {
    id,
    queue: 'q',
    payload: 'text',
    steps: all.map(step => ({...STEP, ...step})),
  };
}

export function worker(name: string, more: Partial<Worker> = {}): Worker {
  return {
    id: name,
    bornMs: 1,
    host: `m-${name}`,
    pool: 'p',
    address: `${name}:1`,
    dataCentre: 'a',
    capacity: {cpuMillis: 4000, memoryMb: 10_000, gpus: 0},
    labels: [],
    phase: 'ready',
    sequence: 1,
    cursor: 0,
    ...more,
  };
}

/**
 * Applies a change `commitDelayMs` after its proposal and resolves the proposal
 * `delayMs` later.
 */
export class TestReplica extends SoloReplica<
  State,
  Change,
  readonly Outcome[]
> {
  private readonly codec = new QueueCodec();
  commitDelayMs = 0;
  delayMs = 0;
  acceptsProposals = true;
  /** Number of proposals that are still to be refused. */
  refusalsLeft = 0;
  /** Whether to refuse the change, in addition to `refusalsLeft`. */
  refuses: (change: Change) => boolean = () => false;
  /** Time after which a change that is refused is answered. */
  refusalDelayMs = 0;

  override async propose(
    change: Change,
  ): Promise<CommitResult<readonly Outcome[]>> {
    // Rounds plan on changes as they are proposed, and members apply them as they
    // are decoded.
    const decoded = this.codec.decodeChange(this.codec.encodeChange(change));
    if (!isDeepStrictEqual(decoded, change)) {
      throw new TypeError('the change does not equal its decoded form');
    }
    if (!this.acceptsProposals) throw new Error('not the leader');
    if (this.refusalsLeft > 0) {
      this.refusalsLeft--;
      return this.refuse();
    }
    if (this.refuses(change)) return this.refuse();
    if (this.commitDelayMs > 0) {
      await new Promise(resolve => setTimeout(resolve, this.commitDelayMs));
    }
    const committed = await super.propose(change);
    if (this.delayMs > 0) {
      await new Promise(resolve => setTimeout(resolve, this.delayMs));
    }
    return committed;
  }

  private async refuse(): Promise<never> {
    if (this.refusalDelayMs > 0) {
      await new Promise(resolve => setTimeout(resolve, this.refusalDelayMs));
    }
    throw new ChangeRefused('refused for the test');
  }
}

/**
 * The member of the group in the process of one leader. Once frozen, it is cut
 * off: it sees no later state, and its proposals are rejected. A proposal that
 * was made before has been applied.
 */
function createLeaderReplica(replica: TestReplica): {
  readonly replica: QueueReplica;
  freeze(): void;
  isFrozen(): boolean;
} {
  let frozen: State | undefined;
  const view = Object.create(replica, {
    state: {value: () => frozen ?? replica.state()},
    propose: {
      value: (change: Change) =>
        frozen
          ? Promise.reject(new Error('not the leader'))
          : replica.propose(change),
    },
  }) as QueueReplica;
  return {
    replica: view,
    freeze: () => void (frozen ??= replica.state()),
    isFrozen: () => frozen !== undefined,
  };
}

class NoAdviser extends Adviser {
  override readonly maxWorkersPerCall = 100;

  override async advise(): Promise<never> {
    throw new Error('no advice');
  }
}

export interface HarnessOptions extends FleetOptions {
  readonly pools?: PoolPolicy;
  /** See `parsePolicyNames`. */
  readonly policies?: string;
  readonly waves?: WavePolicy;
  readonly adviser?: Adviser;
  readonly copies?: CopyPolicy;
  readonly displacement?: DisplacementPolicy;
  /** Data centres of processes through which the leader calls all workers. */
  readonly relayDataCentres?: readonly string[];
  /** Number of workers that are called without relays; 0 if absent. */
  readonly maxDirectWorkers?: number;
  /**
   * Makes the calls of one process, a leader or a relay, to the workers; the
   * fleet if absent.
   */
  createTransport?(caller: string, fleet: FakeFleet): WorkerDriver;
}

/** How a leader acts on after its successor has begun. */
export interface Overlap {
  /** Time for which it still takes itself for the leader. */
  readonly staleMs: number;
  /** Called with the name of its process when the successor begins. */
  onSucceeded?(caller: string): void;
}

export interface Harness {
  readonly fleet: FakeFleet;
  readonly hosts: FakeHostProvider;
  readonly relays: readonly FakeRelay[];
  readonly replica: TestReplica;
  readonly logLines: string[];
  /** Metrics of all leaders. */
  readonly metrics: Metrics;
  leader: Leader;
  /** Sets whether the processes of earlier leaders are known to have ended. */
  setPreviousProcessesEnded(ended: boolean): void;
  /** Adds a fake worker and its host, and announces the worker. */
  addWorker(worker: Worker): Promise<void>;
  /**
   * Starts the next leader on the same state and stops the current one.
   * `leaderlessMs` is how long the next leader takes the group to have been
   * without a leader.
   */
  replaceLeader(leaderlessMs?: number): Promise<void>;
  /**
   * Starts the next leader while the current one goes on for some time. It sees
   * the state as of now, and its proposals are rejected.
   */
  succeedLeader(overlap: Overlap): Promise<void>;
  /** Stops all leaders; there is none until `startLeader`. */
  stopLeader(): Promise<void>;
  startLeader(leaderlessMs: number): void;
  submit(spec: JobSpec): Promise<void>;
  /** Phase of a job; undefined if the job is unknown. */
  phase(id: string): string | undefined;
  /** Advances the fake clock. */
  advance(ms: number): Promise<void>;
  /** Stops the leader; throws if one of the tasks has failed. */
  stop(): Promise<void>;
}

/** Requires that the caller has installed vitest's fake timers. */
export async function createHarness(
  options: HarnessOptions = {},
): Promise<Harness> {
  const logLines: string[] = [];
  const failures: Error[] = [];
  const tasks = startTasks((_name, error) => failures.push(error));
  const log = createLog('debug', {}, line => logLines.push(line));
  const metrics = createMetrics();
  const replica = new TestReplica(queueMachine);
  const fleet = new FakeFleet(options);
  const hosts = new FakeHostProvider(fleet, worker => {
    void advanceUntilSettled(harness.leader.announce(worker));
  });
  const group =
    options.relayDataCentres &&
    createFakeGroup({
      fleet,
      dataCentres: options.relayDataCentres,
      ...(options.maxDirectWorkers !== undefined && {
        maxDirectWorkers: options.maxDirectWorkers,
      }),
      driverOf: transportOf,
    });
  let token = 0;
  let previousProcessesEnded = false;
  /** Leaders that have been succeeded and go on for a while. */
  const staleLeaders = new Set<Leader>();
  /** Ends the view that the current leader has of the state. */
  let freezeView = () => {};
  /** Time of each election since the processes began, by token. */
  const electionsMs = new Map<number, number>();
  /** Time at which each leader stops to take itself for one, by token. */
  const staleUntilMs = new Map<number, number>();

  function transportOf(caller: string): WorkerDriver {
    return options.createTransport?.(caller, fleet) ?? fleet;
  }

  function startNextLeader(leaderlessMs = 0): Leader {
    const own = ++token;
    electionsMs.set(own, performance.now());
    if (group) group.term = own;
    const view = createLeaderReplica(replica);
    freezeView = view.freeze;
    const direct = transportOf(`host-${own}`);
    const term = () => (view.isFrozen() ? own : group!.term);
    return startLeader({
      replica: view.replica,
      token: own,
      holder: `host-${own}`,
      processId: `host-${own}`,
      hostOrderGuard: createHostOrderGuard({
        replica,
        processId: `host-${own}`,
        hasProcessEnded: () => previousProcessesEnded,
      }),
      driver: group?.createDriver(direct, term) ?? direct,
      hosts,
      adviser: options.adviser ?? new NoAdviser(),
      tasks,
      log,
      metrics,
      pools: options.pools ?? new FixedPools(),
      ...createPolicies(parsePolicyNames(options.policies ?? '')),
      waves: options.waves ?? new TimedWaves(),
      ...(options.copies && {copies: options.copies}),
      ...(options.displacement && {displacement: options.displacement}),
      knownElectionMs: since =>
        Math.min(
          ...[...electionsMs]
            .filter(([each]) => each >= since)
            .map(([, atMs]) => atMs),
        ),
      leaderlessMs,
      isLeader: () =>
        own === token
          ? replica.acceptsProposals
          : performance.now() < (staleUntilMs.get(own) ?? -Infinity),
    });
  }

  async function advanceUntilSettled<T>(
    promise: Promise<T>,
  ): Promise<T | undefined> {
    let done = false;
    let value: T | undefined;
    void promise.then(
      result => {
        value = result;
        done = true;
      },
      () => (done = true),
    );
    for (let turn = 0; turn < 200 && !done; turn++) {
      await vi.advanceTimersByTimeAsync(10);
    }
    return value;
  }

  const harness: Harness = {
    fleet,
    hosts,
    relays: group?.relays ?? [],
    replica,
    logLines,
    metrics,
    leader: startNextLeader(),
    setPreviousProcessesEnded: ended => (previousProcessesEnded = ended),
    async addWorker(row) {
      fleet.add(row);
      hosts.hosts.set(row.host, {
        id: row.host,
        pool: row.pool,
        state: 'up',
        capacity: row.capacity,
        labels: row.labels,
        worker: row.id,
      });
      await advanceUntilSettled(harness.leader.announce(row));
      await vi.advanceTimersByTimeAsync(200);
    },
    async replaceLeader(leaderlessMs) {
      const old = harness.leader;
      harness.leader = startNextLeader(leaderlessMs);
      await advanceUntilSettled(old.stop());
    },
    async succeedLeader({staleMs, onSucceeded}) {
      const old = harness.leader;
      staleUntilMs.set(token, performance.now() + staleMs);
      staleLeaders.add(old);
      freezeView();
      onSucceeded?.(`host-${token}`);
      setTimeout(() => {
        if (staleLeaders.delete(old)) void old.stop();
      }, staleMs);
      harness.leader = startNextLeader();
    },
    async stopLeader() {
      freezeView();
      token++;
      staleUntilMs.clear();
      electionsMs.clear();
      for (const stale of staleLeaders) void stale.stop();
      staleLeaders.clear();
      await advanceUntilSettled(harness.leader.stop());
    },
    startLeader(leaderlessMs) {
      harness.leader = startNextLeader(leaderlessMs);
    },
    async submit(spec) {
      const event = {type: 'submit', job: spec, atMs: Date.now()} as const;
      await advanceUntilSettled(harness.leader.commit(event));
    },
    phase: id => replica.state().jobs.get(id)?.phase,
    async advance(ms) {
      await vi.advanceTimersByTimeAsync(ms);
    },
    async stop() {
      for (const stale of staleLeaders) await advanceUntilSettled(stale.stop());
      await advanceUntilSettled(harness.leader.stop());
      group?.stop();
      tasks.stop();
      if (failures.length > 0) throw failures[0]!;
    },
  };
  await advanceUntilSettled(
    harness.leader.commit({type: 'tables', tables: TABLES}),
  );
  return harness;
}
