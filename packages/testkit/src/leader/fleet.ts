/** A leader of the job queues with a fleet of stand-ins, in this process. */
import {startLeader, type Leader} from '@lentildrift/dispatch';
import {createLog, createMetrics, type Metrics} from '@lentildrift/observe';
import type {
  Event,
  JobSpec,
  Queue,
  Size,
  State,
  Step,
  Tables,
  Worker,
} from '@lentildrift/queue';
import {startTasks} from '@lentildrift/task';
import {
  DelayedReplica,
  StandInAdviser,
  StandInHosts,
  StandInWorkers,
  UnmovedPools,
  WORKER_BORN_MS,
} from './stand-ins.js';
import {tapTasks, type TaskTap} from './tap.js';

export interface LeaderFleetOptions {
  readonly workers: number;
  readonly pools: number;
  readonly teams: number;
  /** Mean duration of a run; runs do not end if it is absent. */
  readonly runMs?: number;
  /**
   * Tasks that each worker runs from the start, without an end. The tap counts
   * how often the leader looks at one of these runs.
   */
  readonly lastingRunsPerWorker?: number;
}

/** The stand-ins and the current leader. */
export interface LeaderFleet {
  readonly workers: StandInWorkers;
  readonly replica: DelayedReplica;
  readonly metrics: Metrics;
  readonly tap: TaskTap;
  leader(): Leader;
  /**
   * Stops the leader, if any, and starts the next on the same state. Resolves
   * with its token and the time that the start took.
   */
  startNextLeader(): Promise<{token: number; startMs: number}>;
  /** Submits a job of `SLOTS_PER_WORKER` tasks; rejects if it is refused. */
  submit(number: number): Promise<void>;
  stop(): Promise<void>;
}

/** Tasks that fit on one worker at the same time. */
export const SLOTS_PER_WORKER = 8;
const TASK_SIZE: Size = {cpuMillis: 8000, memoryMb: 30_000, gpus: 0};
const CAPACITY: Size = {
  cpuMillis: SLOTS_PER_WORKER * TASK_SIZE.cpuMillis,
  memoryMb: SLOTS_PER_WORKER * TASK_SIZE.memoryMb,
  gpus: 0,
};
/** A change is written to disk and crosses the network once and back. */
const COMMIT_MS = 8;

const STEP: Step = {
  count: SLOTS_PER_WORKER,
  size: TASK_SIZE,
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

/** Creates the state; the first leader is started by `startNextLeader`. */
export async function createLeaderFleet(
  options: LeaderFleetOptions,
): Promise<LeaderFleet> {
  const failures: Error[] = [];
  let runReads = 0;
  const tap = tapTasks(
    startTasks((_name, error) => failures.push(error)),
    nameMessage,
    () => runReads,
  );
  const metrics = createMetrics();
  // Lines are formatted as in production and then dropped.
  const log = createLog('info', {}, () => {});
  const replica = new DelayedReplica(COMMIT_MS);
  const workers = new StandInWorkers(options.runMs);
  const rows = createWorkers(options);
  const hosts = new StandInHosts(
    rows.map(({id, host, pool, capacity, labels}) => ({
      id: host,
      pool,
      state: 'up',
      capacity,
      labels,
      worker: id,
    })),
  );
  await replica.propose({
    events: [
      {type: 'tables', tables: createTables(options)},
      ...rows.map<Event>(worker => ({type: 'worker', worker})),
      ...createLastingRuns(options, rows, workers),
    ],
  });
  onRunRead(replica.state(), () => runReads++);
  let token = 0;
  let current: Leader | undefined;

  return {
    workers,
    replica,
    metrics,
    tap,
    leader: () => current!,
    async startNextLeader() {
      const own = ++token;
      await current?.stop();
      const beganMs = performance.now();
      current = startLeader({
        replica,
        token: own,
        holder: 'measured',
        processId: 'measured',
        // All leaders are in this process, so no order is foreign.
        hostOrderGuard: {hasForeignOrder: () => false, stop: () => {}},
        driver: workers,
        hosts,
        adviser: new StandInAdviser(),
        tasks: tap.tasks,
        log,
        metrics,
        pools: new UnmovedPools(),
        isLeader: () => own === token,
      });
      return {token: own, startMs: performance.now() - beganMs};
    },
    async submit(number) {
      const job = createJob(number, options);
      await current!.commit({type: 'submit', job, atMs: Date.now()});
    },
    async stop() {
      token++;
      await current?.stop();
      tap.tasks.stop();
      if (failures.length > 0) throw failures[0]!;
    },
  };
}

/** Kind of a message: that of the leader's messages, `session` for sessions. */
function nameMessage(task: string, message: object): string | undefined {
  if (task.startsWith('session-')) return 'session';
  if (!task.startsWith('leader-')) return undefined;
  const {type, event} = message as {type: string; event?: {type: string}};
  return type === 'session-event' ? event!.type : type;
}

function createTables({pools, teams}: LeaderFleetOptions): Tables {
  const names = Array.from({length: pools}, (_, i) => `p${i}`);
  return {
    version: 1,
    document: '',
    teams: Array.from({length: teams}, (_, i) => ({
      name: `t${i}`,
      keys: [],
      weight: 1,
      cap: {cpuMillis: 0, memoryMb: 0, gpus: 0},
    })),
    pools: [
      ...names.map(name => ({name, guardsCapacity: false, standby: false})),
      {name: 'standby', guardsCapacity: false, standby: true},
    ],
    queues: names.map<Queue>(name => ({
      name,
      host: 'h',
      prefix: `/${name}/`,
      pool: name,
      timeoutMs: 3000,
      targetMs: 600,
      stretch: 1.6,
      maxAttempts: 2,
      priority: 0,
      open: true,
    })),
  };
}

function createWorkers({workers, pools}: LeaderFleetOptions): Worker[] {
  return Array.from({length: workers}, (_, i) => ({
    id: `w${i}`,
    bornMs: WORKER_BORN_MS,
    host: `m${i}`,
    pool: `p${i % pools}`,
    address: `w${i}:1`,
    dataCentre: 'a',
    capacity: CAPACITY,
    labels: [],
    phase: 'ready',
    sequence: 1,
    cursor: 0,
  }));
}

/** One job for each worker, whose tasks run there and do not end. */
function createLastingRuns(
  {lastingRunsPerWorker = 0}: LeaderFleetOptions,
  rows: readonly Worker[],
  workers: StandInWorkers,
): Event[] {
  if (lastingRunsPerWorker === 0) return [];
  return rows.flatMap<Event>((worker, i) => {
    const id = `lasting-${i}`;
    const step = {...STEP, count: lastingRunsPerWorker, lasting: true};
    const job = {id, queue: worker.pool, payload: '', steps: [step]};
    const names = Array.from(
      {length: lastingRunsPerWorker},
      (_, index) => `${id}.0.0.${index}`,
    );
    for (const name of names) workers.adopt(worker.id, name, 1);
    const key = `${worker.id}@${worker.bornMs}`;
    return [
      {type: 'submit', job, atMs: Date.now()},
      {type: 'start', runs: names.map(name => [name, 1, key])},
    ];
  });
}

/** Calls `onRead` whenever the worker of a recorded run is read. */
function onRunRead(state: State, onRead: () => void): void {
  for (const job of state.jobs.values()) {
    for (const run of Object.values(job.tasks).flatMap(({runs}) => runs)) {
      const {worker} = run;
      Object.defineProperty(run, 'worker', {
        enumerable: true,
        get() {
          onRead();
          return worker;
        },
      });
    }
  }
}

function createJob(
  number: number,
  {pools, teams}: LeaderFleetOptions,
): JobSpec {
  return {
    id: `j${number}`,
    queue: `p${number % pools}`,
    team: `t${number % teams}`,
    payload: 'text of the length of a short call '.repeat(4),
    steps: [STEP],
  };
}
