/**
 * In-process stand-ins for what a leader talks to: workers, the host provider,
 * the adviser and the replicated log.
 */
import {SoloReplica, type CommitResult} from '@lentildrift/consensus';
import {
  Adviser,
  HostProvider,
  queueMachine,
  WorkerDriver,
  type EndedRow,
  type HoldOrder,
  type HostAnswer,
  type OrderAnswer,
  type ProvidedHost,
  type Report,
  type StartOrder,
  type Target,
} from '@lentildrift/dispatch';
import type {Change, Outcome, State} from '@lentildrift/queue';
import {ElasticPools, type Move, type PoolView} from '@lentildrift/scheduling';
import {createRandom} from '../workload.js';

/** Start of every stand-in worker's incarnation. */
export const WORKER_BORN_MS = 1;
/** Time of a round trip to a worker. */
const ROUND_TRIP_MS = 1;

interface StandInWorker {
  /** Run numbers by task. */
  readonly runs: Map<string, number>;
  ended: EndedRow[];
  nextNumber: number;
  hasWaited: boolean;
  answer: (() => void) | undefined;
}

/** Workers that carry out every order; each run takes `durationMs()`. */
export class StandInWorkers extends WorkerDriver {
  /** Runs started and ended so far. */
  changedRuns = 0;
  /** Time spent in the stand-ins themselves. */
  ownMs = 0;
  /** Monotonic time of a leader's first order to start a run, by token. */
  readonly firstStartMs = new Map<number, number>();
  private readonly workers = new Map<string, StandInWorker>();
  private readonly random = createRandom(1);

  /** A run ends after `durationMs`; it goes on without end if that is absent. */
  constructor(private readonly durationMs?: number) {
    super();
  }

  /** Lets the worker report a run that is in the state already. */
  adopt(worker: string, task: string, run: number): void {
    this.workerOf(worker).runs.set(task, run);
  }

  override async start(
    target: Target,
    order: StartOrder,
  ): Promise<OrderAnswer> {
    if (!this.firstStartMs.has(order.token)) {
      this.firstStartMs.set(order.token, performance.now());
    }
    await pause(ROUND_TRIP_MS);
    this.measure(() => {
      const worker = this.workerOf(target.id);
      worker.runs.set(order.task, order.run);
      this.changedRuns++;
      if (this.durationMs === undefined) return;
      // Half to one and a half times the mean, so that ends do not come at once.
      const durationMs = this.durationMs * (0.5 + this.random.uniform());
      setTimeout(() => this.end(worker, order), durationMs);
    });
    return {ok: true};
  }

  override async stop(): Promise<OrderAnswer> {
    return {ok: true};
  }

  override async pace(): Promise<OrderAnswer> {
    return {ok: true};
  }

  override async hold(
    target: Target,
    {cursor, waitMs}: HoldOrder,
  ): Promise<Report> {
    const worker = this.workerOf(target.id);
    worker.ended = worker.ended.filter(({number}) => number > cursor);
    if (worker.ended.length > 0 || waitMs === 0) await pause(ROUND_TRIP_MS);
    else await this.waitForEnd(worker, waitMs);
    return this.measure(() => ({
      bornMs: WORKER_BORN_MS,
      clockMs: Math.floor(performance.now()),
      running: [...worker.runs].map(([task, run]) => ({
        task,
        run,
        checkpoint: '',
        percent: 50,
        measure: 0,
      })),
      ended: [...worker.ended],
      isComplete: true,
    }));
  }

  override forget(): void {}

  private end(worker: StandInWorker, {task, run}: StartOrder): void {
    this.measure(() => {
      worker.runs.delete(task);
      const number = worker.nextNumber++;
      worker.ended.push({number, task, run, how: 'done', checkpoint: ''});
      this.changedRuns++;
      worker.answer?.();
    });
  }

  private waitForEnd(worker: StandInWorker, waitMs: number): Promise<void> {
    // The first wait is shorter by chance, so that the workers, which all begin
    // at once, do not report at once ever after.
    const share = worker.hasWaited ? 1 : this.random.uniform();
    worker.hasWaited = true;
    return new Promise(resolve => {
      const timer = setTimeout(resolve, waitMs * share);
      worker.answer = () => {
        clearTimeout(timer);
        worker.answer = undefined;
        setTimeout(resolve, ROUND_TRIP_MS);
      };
    });
  }

  private workerOf(id: string): StandInWorker {
    let worker = this.workers.get(id);
    if (!worker) {
      worker = {
        runs: new Map(),
        ended: [],
        nextNumber: 1,
        hasWaited: false,
        answer: undefined,
      };
      this.workers.set(id, worker);
    }
    return worker;
  }

  private measure<T>(work: () => T): T {
    const beganMs = performance.now();
    const result = work();
    this.ownMs += performance.now() - beganMs;
    return result;
  }
}

/** A provider whose hosts stay as they are. */
export class StandInHosts extends HostProvider {
  constructor(private readonly hosts: ProvidedHost[]) {
    super();
  }

  override async list(): Promise<ProvidedHost[]> {
    await pause(ROUND_TRIP_MS);
    return this.hosts;
  }

  override async move(): Promise<HostAnswer> {
    return 'refused';
  }

  override async maintain(): Promise<HostAnswer> {
    return 'refused';
  }
}

/**
 * Decides on moves as the default policy does, but has none carried out, so
 * that the fleet keeps its size.
 */
export class UnmovedPools extends ElasticPools {
  override decide(pools: readonly PoolView[]): Move[] {
    super.decide(pools);
    return [];
  }
}

export class StandInAdviser extends Adviser {
  override readonly maxWorkersPerCall = 100;

  override async advise(): Promise<never> {
    throw new Error('the stand-in gives no advice');
  }
}

/** A replica that encodes each change and commits it after a delay. */
export class DelayedReplica extends SoloReplica<
  State,
  Change,
  readonly Outcome[]
> {
  changeBytes = 0;
  changes = 0;

  constructor(private readonly commitMs: number) {
    super(queueMachine);
  }

  override async propose(
    change: Change,
  ): Promise<CommitResult<readonly Outcome[]>> {
    this.changeBytes += JSON.stringify(change).length;
    this.changes++;
    await pause(this.commitMs);
    return super.propose(change);
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
