/** A mutable draft of the next state, with copy-on-write maps. */
import type {Job} from './job.js';
import {jobWeight} from './job-weight.js';
import type {MapEditor} from './persistent-map.js';
import {queuesOf, type State} from './state.js';
import type {DurationStatistics} from './statistics.js';
import {queuesByName, type Queue, type Tables} from './table.js';
import type {HostOrder, Wave} from './wave.js';
import type {Worker} from './worker.js';

/** Collects updates to a state; edits a map only once an entry changes. */
export class Draft {
  private ledMs: number;
  tables;
  retiredQueues: ReadonlyMap<string, Queue>;
  evacuated: ReadonlySet<string>;
  /** Queues of the active jobs that this draft has set. */
  private readonly editedQueues = new Set<string>();
  private activeJobCount: number;
  private activeJobBytes: number;
  private jobs: MapEditor<Job> | undefined;
  private runsByWorker: MapEditor<readonly string[]> | undefined;
  private workers: MapEditor<Worker> | undefined;
  private waves: Map<number, Wave> | undefined;
  private hostOrders: MapEditor<HostOrder> | undefined;
  private statistics: Map<string, DurationStatistics> | undefined;

  constructor(private readonly base: State) {
    this.ledMs = base.ledMs;
    this.tables = base.tables;
    this.retiredQueues = base.retiredQueues;
    this.evacuated = base.evacuated;
    this.activeJobCount = base.activeJobCount;
    this.activeJobBytes = base.activeJobBytes;
  }

  /** See `State.ledMs`. */
  advanceLedTime(ledMs: number): void {
    this.ledMs = Math.max(this.ledMs, ledMs);
  }

  /** Replaces the tables, and keeps the queues that active jobs still need. */
  setTables(tables: Tables): void {
    const known = queuesOf(this);
    this.tables = tables;
    const current = queuesByName(tables);
    const lost = [...known].filter(([name]) => !current.has(name));
    if (lost.length === 0 && this.retiredQueues.size === 0) return;
    const needed = lost.length > 0 ? this.queuesInUse() : new Set<string>();
    this.retiredQueues = new Map(lost.filter(([name]) => needed.has(name)));
  }

  /** The queues with active jobs. */
  private queuesInUse(): ReadonlySet<string> {
    const names = new Set(this.editedQueues);
    for (const {spec} of this.base.jobs.unorderedValues()) {
      if (this.job(spec.id)?.phase === 'active') names.add(spec.queue);
    }
    return names;
  }

  job(id: string): Job | undefined {
    return (this.jobs ?? this.base.jobs).get(id);
  }

  /** Jobs with runs on a worker, by worker key. */
  jobsOn(worker: string): readonly Job[] {
    const ids = new Set(this.runJobIds(worker));
    return [...ids].map(id => this.job(id)).filter(job => job !== undefined);
  }

  private runJobIds(worker: string): readonly string[] {
    return (this.runsByWorker ?? this.base.runsByWorker).get(worker) ?? [];
  }

  /** Notes that the job has one more run on the worker. */
  addRun(worker: string, job: string): void {
    this.setRunJobIds(worker, [...this.runJobIds(worker), job]);
  }

  /** Notes that one of the job's runs on the worker is no longer recorded. */
  removeRun(worker: string, job: string): void {
    const ids = this.runJobIds(worker);
    const at = ids.indexOf(job);
    this.setRunJobIds(worker, ids.toSpliced(at, 1));
  }

  /** Notes that no run on the worker is recorded any more. */
  removeRunsOn(worker: string): void {
    if (this.runJobIds(worker).length > 0) this.setRunJobIds(worker, []);
  }

  private setRunJobIds(worker: string, ids: readonly string[]): void {
    this.runsByWorker ??= this.base.runsByWorker.edit();
    if (ids.length > 0) this.runsByWorker.set(worker, ids);
    else this.runsByWorker.delete(worker);
  }

  worker(id: string): Worker | undefined {
    return (this.workers ?? this.base.workers).get(id);
  }

  wave(id: number): Wave | undefined {
    return (this.waves ?? this.base.waves).get(id);
  }

  setJob(job: Job): void {
    this.countActive(this.job(job.spec.id), job);
    if (job.phase === 'active') this.editedQueues.add(job.spec.queue);
    this.jobs ??= this.base.jobs.edit();
    this.jobs.set(job.spec.id, job);
  }

  deleteJob(id: string): void {
    const job = this.job(id);
    this.countActive(job, undefined);
    for (const {runs} of Object.values(job?.tasks ?? {})) {
      for (const {worker} of runs) this.removeRun(worker, id);
    }
    this.jobs ??= this.base.jobs.edit();
    this.jobs.delete(id);
  }

  private countActive(before: Job | undefined, after: Job | undefined): void {
    if (before?.phase === 'active') this.activeJobCount--;
    if (after?.phase === 'active') this.activeJobCount++;
    if (before) this.activeJobBytes -= jobWeight(before);
    if (after) this.activeJobBytes += jobWeight(after);
  }

  setWorker(worker: Worker): void {
    this.workers ??= this.base.workers.edit();
    this.workers.set(worker.id, worker);
  }

  deleteWorker(id: string): void {
    this.workers ??= this.base.workers.edit();
    this.workers.delete(id);
  }

  setWave(wave: Wave): void {
    this.waves ??= new Map(this.base.waves);
    this.waves.set(wave.id, wave);
  }

  setEvacuated(dataCentre: string, evacuated: boolean): void {
    const next = new Set(this.evacuated);
    if (evacuated) next.add(dataCentre);
    else next.delete(dataCentre);
    this.evacuated = next;
  }

  setHostOrder(order: HostOrder): void {
    this.hostOrders ??= this.base.hostOrders.edit();
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
      ledMs: this.ledMs,
      tables: this.tables,
      retiredQueues: this.retiredQueues,
      activeJobCount: this.activeJobCount,
      activeJobBytes: this.activeJobBytes,
      jobs: this.jobs?.finish() ?? this.base.jobs,
      workers: this.workers?.finish() ?? this.base.workers,
      waves: this.waves ?? this.base.waves,
      evacuated: this.evacuated,
      hostOrders: this.hostOrders?.finish() ?? this.base.hostOrders,
      statistics: this.statistics ?? this.base.statistics,
      runsByWorker: this.runsByWorker?.finish() ?? this.base.runsByWorker,
    };
  }
}
