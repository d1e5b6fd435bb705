/** A mutable draft of the next state, with copy-on-write maps. */
import type {Job} from './job.js';
import type {State} from './state.js';
import type {DurationStatistics} from './statistics.js';
import type {HostOrder, Wave} from './wave.js';
import type {Worker} from './worker.js';

/** Collects updates to a state; copies a map only when it is first changed. */
export class Draft {
  tables;
  private jobs: Map<string, Job> | undefined;
  private workers: Map<string, Worker> | undefined;
  private waves: Map<number, Wave> | undefined;
  private hostOrders: Map<string, HostOrder> | undefined;
  private statistics: Map<string, DurationStatistics> | undefined;

  constructor(private readonly base: State) {
    this.tables = base.tables;
  }

  job(id: string): Job | undefined {
    return (this.jobs ?? this.base.jobs).get(id);
  }

  allJobs(): Iterable<Job> {
    return (this.jobs ?? this.base.jobs).values();
  }

  worker(id: string): Worker | undefined {
    return (this.workers ?? this.base.workers).get(id);
  }

  wave(id: number): Wave | undefined {
    return (this.waves ?? this.base.waves).get(id);
  }

  setJob(job: Job): void {
    this.jobs ??= new Map(this.base.jobs);
    this.jobs.set(job.spec.id, job);
  }

  deleteJob(id: string): void {
    this.jobs ??= new Map(this.base.jobs);
    this.jobs.delete(id);
  }

  setWorker(worker: Worker): void {
    this.workers ??= new Map(this.base.workers);
    this.workers.set(worker.id, worker);
  }

  deleteWorker(id: string): void {
    this.workers ??= new Map(this.base.workers);
    this.workers.delete(id);
  }

  setWave(wave: Wave): void {
    this.waves ??= new Map(this.base.waves);
    this.waves.set(wave.id, wave);
  }

  setHostOrder(order: HostOrder): void {
    this.hostOrders ??= new Map(this.base.hostOrders);
    this.hostOrders.set(order.host, order);
  }

  setStatistics(row: DurationStatistics): void {
    this.statistics ??= new Map(this.base.statistics);
    this.statistics.set(row.queue, row);
  }

  /** Returns the next state, with the revision increased by one. */
  finish(): State {
    return {
      revision: this.base.revision + 1,
      tables: this.tables,
      jobs: this.jobs ?? this.base.jobs,
      workers: this.workers ?? this.base.workers,
      waves: this.waves ?? this.base.waves,
      hostOrders: this.hostOrders ?? this.base.hostOrders,
      statistics: this.statistics ?? this.base.statistics,
    };
  }
}
