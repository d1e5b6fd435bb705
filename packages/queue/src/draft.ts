/** A state under change; only the maps that change are copied. */
import type {Job} from './job.js';
import type {State} from './state.js';
import type {DurationStatistics} from './statistics.js';
import type {HostOrder, Wave} from './wave.js';
import type {Worker} from './worker.js';

export class Draft {
  tables;
  private jobs: Map<string, Job> | undefined;
  private workers: Map<string, Worker> | undefined;
  private waves: Map<number, Wave> | undefined;
  private duties: Map<string, HostOrder> | undefined;
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

  setHostOrder(duty: HostOrder): void {
    this.duties ??= new Map(this.base.hostOrders);
    this.duties.set(duty.host, duty);
  }

  setStatistics(row: DurationStatistics): void {
    this.statistics ??= new Map(this.base.statistics);
    this.statistics.set(row.queue, row);
  }

  finish(): State {
    return {
      revision: this.base.revision + 1,
      tables: this.tables,
      jobs: this.jobs ?? this.base.jobs,
      workers: this.workers ?? this.base.workers,
      waves: this.waves ?? this.base.waves,
      hostOrders: this.duties ?? this.base.hostOrders,
      statistics: this.statistics ?? this.base.statistics,
    };
  }
}
