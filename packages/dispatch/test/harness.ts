/** A leader on one replica in memory, with the stand-in for the platform. */
import {
  ChangeRefused,
  SoloReplica,
  type CommitResult,
} from '@lentildrift/consensus';
import {createLog, createMetrics} from '@lentildrift/observe';
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
import {FixedPools, type PoolPolicy} from '@lentildrift/scheduling';
import {startTasks} from '@lentildrift/task';
import {vi} from 'vitest';
import {Adviser, queueMachine, startLeader, type Leader} from '../src/index.js';
import {watchDuties} from '../src/duties.js';
import {FakeFleet, FakeHostProvider, type FleetOptions} from './fakes.js';

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

/** Applies a change at once, but tells its proposer some time later. */
export class TestReplica extends SoloReplica<
  State,
  Change,
  readonly Outcome[]
> {
  delayMs = 0;
  isLeading = true;
  /** So many changes are refused before the next is made. */
  refusalsLeft = 0;

  override async propose(
    change: Change,
  ): Promise<CommitResult<readonly Outcome[]>> {
    if (!this.isLeading) throw new Error('not the leader');
    if (this.refusalsLeft > 0) {
      this.refusalsLeft--;
      throw new ChangeRefused('refused for the test');
    }
    const committed = await super.propose(change);
    if (this.delayMs > 0) {
      await new Promise(resolve => setTimeout(resolve, this.delayMs));
    }
    return committed;
  }
}

class NoAdviser extends Adviser {
  override async advise(): Promise<never> {
    throw new Error('no advice');
  }
}

export interface HarnessOptions extends FleetOptions {
  readonly pools?: PoolPolicy;
}

export interface Harness {
  readonly fleet: FakeFleet;
  readonly hosts: FakeHostProvider;
  readonly replica: TestReplica;
  readonly logLines: string[];
  leader: Leader;
  /** Whether the processes of earlier leaders are known to have ended. */
  setPreviousProcessesEnded(ended: boolean): void;
  /** Announces a worker and adds it to the stand-in. */
  addWorker(worker: Worker): Promise<void>;
  /** Ends the leader and starts the next one on the same state. */
  replaceLeader(): Promise<void>;
  submit(spec: JobSpec): Promise<void>;
  phase(id: string): string | undefined;
  advance(ms: number): Promise<void>;
  stop(): Promise<void>;
}

/** Uses vitest's fake timers, which the caller has installed. */
export async function createHarness(
  options: HarnessOptions = {},
): Promise<Harness> {
  const lines: string[] = [];
  const failures: Error[] = [];
  const tasks = startTasks((_name, error) => failures.push(error));
  const log = createLog('debug', {}, line => lines.push(line));
  const replica = new TestReplica(queueMachine);
  const fleet = new FakeFleet(options);
  const hosts = new FakeHostProvider(fleet, born => {
    void settle(bench.leader.announce(born));
  });
  let token = 0;
  let hasEnded = false;

  function lead(): Leader {
    const own = ++token;
    return startLeader({
      replica,
      token: own,
      holder: `host-${own}`,
      process: `host-${own}`,
      duties: watchDuties({
        replica,
        process: `host-${own}`,
        hasEnded: () => hasEnded,
      }),
      driver: fleet,
      hosts,
      adviser: new NoAdviser(),
      tasks,
      log,
      metrics: createMetrics(),
      pools: options.pools ?? new FixedPools(),
      isLeader: () => own === token && replica.isLeading,
    });
  }

  async function settle<T>(promise: Promise<T>): Promise<T | undefined> {
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

  const bench: Harness = {
    fleet,
    hosts,
    replica,
    logLines: lines,
    leader: lead(),
    setPreviousProcessesEnded: ended => (hasEnded = ended),
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
      await settle(bench.leader.announce(row));
      await vi.advanceTimersByTimeAsync(200);
    },
    async replaceLeader() {
      const old = bench.leader;
      bench.leader = lead();
      await settle(old.stop());
    },
    async submit(spec) {
      const event = {type: 'submit', job: spec, atMs: Date.now()} as const;
      await settle(bench.leader.commit(event));
    },
    phase: id => replica.state().jobs.get(id)?.phase,
    async advance(ms) {
      await vi.advanceTimersByTimeAsync(ms);
    },
    async stop() {
      await settle(bench.leader.stop());
      tasks.stop();
      if (failures.length > 0) throw failures[0]!;
    },
  };
  await settle(bench.leader.commit({type: 'tables', tables: TABLES}));
  return bench;
}
