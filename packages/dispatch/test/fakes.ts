/**
 * A stand-in for workers and the provider of hosts, on the runtime's clock.
 * It keeps the workers' side of the protocol and notes what must never happen.
 */
import {
  add,
  fits,
  ZERO_SIZE,
  type EndKind,
  type Size,
  type Worker,
} from '@lentildrift/queue';
import {
  HostProvider,
  WorkerDriver,
  type Duty,
  type HoldOrder,
  type HostAnswer,
  type OrderAnswer,
  type ProvidedHost,
  type Report,
  type RunOrder,
  type StartOrder,
  type Target,
} from '../src/index.js';

export interface Behaviour {
  readonly durationMs: number;
  readonly how: EndKind;
  readonly size: Size;
  readonly lasting: boolean;
}

/** What is wrong with the link to a worker. */
export type LinkState =
  | 'up'
  /** Nothing arrives. */
  | 'cut'
  /** Orders arrive, answers are lost. */
  | 'answers-lost'
  /** The worker leaves orders unanswered and carries them out later. */
  | 'late'
  /** Orders are under way for long; whoever is there by then gets them. */
  | 'delayed';

interface FakeRun {
  readonly run: number;
  readonly startedMs: number;
  readonly behaviour: Behaviour;
  stopAtMs: number;
}

const GONE = new Error('no answer');
const ANSWER_TIMEOUT_MS = 400;
const STOP_MS = 200;
const LATE_MS = 3000;

export class FakeWorker {
  link: LinkState = 'up';
  alive = true;
  token = 0;
  leaseUntilMs = 0;
  readonly runs = new Map<string, FakeRun>();
  readonly highest = new Map<string, number>();
  readonly paces = new Map<string, number>();
  /** Tail that serving tasks report. */
  tailMs = 0;
  ended: {
    number: number;
    task: string;
    run: number;
    how: EndKind;
    checkpoint: string;
  }[] = [];
  readonly overdue = new Set<number>();
  private nextEnd = 1;
  private readonly openedMs = performance.now();

  constructor(
    readonly worker: Worker,
    private readonly fleet: FakeFleet,
    /** Speed of its clock. */
    readonly rate = 1,
  ) {}

  clockMs(): number {
    return Math.floor((performance.now() - this.openedMs) * this.rate);
  }

  /** Brings the runs up to the present. */
  advance(): void {
    if (!this.alive) return;
    const nowMs = performance.now();
    if (this.clockMs() > this.leaseUntilMs) {
      for (const task of [...this.runs.keys()]) this.end(task, 'lapsed');
      // Whoever waited for the lease could not hear of these ends, and the
      // platform does not count them as noticed even if they are listed later.
      for (const {number} of this.ended) this.overdue.add(number);
    }
    for (const [task, run] of this.runs) {
      if (nowMs >= run.stopAtMs) this.end(task, 'stopped');
      else if (nowMs - run.startedMs >= run.behaviour.durationMs) {
        this.end(task, run.behaviour.how);
      }
    }
  }

  private end(task: string, how: EndKind): void {
    const {run} = this.runs.get(task)!;
    this.runs.delete(task);
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
    this.ended.push({number: this.nextEnd++, task, run, how, checkpoint: ''});
  }

  renew(untilMs: number): void {
    const limit = this.clockMs() + this.fleet.maxLeaseMs;
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(untilMs, limit));
  }

  start(order: StartOrder): OrderAnswer {
    this.advance();
    const {task, run, token, leaseUntilMs} = order;
    if (token < this.token) return {ok: false, reason: 'fenced'};
    this.token = token;
    if (this.runs.get(task)?.run === run) return {ok: true};
    if (run <= (this.highest.get(task) ?? 0)) {
      return {ok: false, reason: 'superseded'};
    }
    if (leaseUntilMs <= this.clockMs()) return {ok: false, reason: 'late'};
    this.renew(leaseUntilMs);
    this.fleet.noteStart(task, this);
    this.runs.set(task, {
      run,
      startedMs: performance.now(),
      behaviour: this.fleet.behave(task, run, this),
      stopAtMs: Infinity,
    });
    return {ok: true};
  }

  stop({task, run, token}: RunOrder): OrderAnswer {
    this.advance();
    if (token < this.token) return {ok: false, reason: 'fenced'};
    this.token = token;
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
    const found = this.runs.get(task);
    if (found?.run === run) found.stopAtMs = performance.now() + STOP_MS;
    return {ok: true};
  }

  hold({token, cursor, leaseUntilMs}: HoldOrder): Report {
    this.advance();
    if (token >= this.token) {
      this.token = token;
      for (const {number, task, how} of this.ended) {
        const counts = how === 'done' && !this.overdue.has(number);
        if (number <= cursor && counts) this.fleet.done.add(task);
      }
      this.ended = this.ended.filter(({number}) => number > cursor);
      if (leaseUntilMs !== undefined) this.renew(leaseUntilMs);
    }
    return {
      bornMs: this.worker.bornMs,
      clockMs: this.clockMs(),
      running: [...this.runs].map(([task, {run, startedMs, behaviour}]) => ({
        task,
        run,
        checkpoint: '',
        percent: behaviour.lasting
          ? performance.now() - startedMs > 300
            ? 100
            : 0
          : 50,
        measure: this.tailMs,
      })),
      ended: [...this.ended],
    };
  }

  reserved(): Size {
    let total = ZERO_SIZE;
    for (const {behaviour} of this.runs.values()) {
      total = add(total, behaviour.size);
    }
    return total;
  }
}

export interface FleetOptions {
  readonly maxLeaseMs?: number;
  behave?(task: string, run: number, worker: FakeWorker): Partial<Behaviour>;
}

export class FakeFleet extends WorkerDriver {
  readonly byAddress = new Map<string, FakeWorker>();
  /** Tasks whose end was acknowledged. */
  readonly done = new Set<string>();
  /** What must never happen. */
  readonly violations: string[] = [];
  readonly starts: {task: string; worker: string; atMs: number}[] = [];
  readonly maxLeaseMs: number;

  constructor(private readonly options: FleetOptions = {}) {
    super();
    this.maxLeaseMs = options.maxLeaseMs ?? 6000;
  }

  add(worker: Worker, rate?: number): FakeWorker {
    const fake = new FakeWorker(worker, this, rate);
    this.byAddress.set(worker.address, fake);
    return fake;
  }

  behave(task: string, run: number, worker: FakeWorker): Behaviour {
    return {
      durationMs: 1000,
      how: 'done',
      size: {cpuMillis: 1000, memoryMb: 100, gpus: 0},
      lasting: false,
      ...this.options.behave?.(task, run, worker),
    };
  }

  running(task: string): FakeWorker[] {
    const all = [...this.byAddress.values()];
    for (const worker of all) worker.advance();
    return all.filter(worker => worker.alive && worker.runs.has(task));
  }

  noteStart(task: string, worker: FakeWorker): void {
    const {id, capacity} = worker.worker;
    this.starts.push({task, worker: id, atMs: performance.now()});
    if (this.running(task).length > 0) {
      this.violations.push(`${task} runs twice`);
    }
    // An end that is lost with its worker was never heard of.
    for (const each of this.byAddress.values()) each.advance();
    const listed = [...this.byAddress.values()].some(
      ({alive, ended, overdue}) =>
        alive &&
        ended.some(
          row =>
            row.task === task && row.how === 'done' && !overdue.has(row.number),
        ),
    );
    if (listed || this.done.has(task)) {
      this.violations.push(`${task} runs after its end`);
    }
    const {size} = this.behave(task, 1, worker);
    if (!fits(add(worker.reserved(), size), capacity)) {
      this.violations.push(`${id} is over its capacity`);
    }
  }

  override async hold(target: Target, order: HoldOrder): Promise<Report> {
    const untilMs = performance.now() + order.waitMs;
    const worker = await this.reach(target);
    let report = worker.hold(order);
    while (report.ended.length === 0 && performance.now() < untilMs) {
      await sleep(20);
      if (!worker.alive || worker.link === 'cut') await fail();
      report = worker.hold({...order, waitMs: 0});
    }
    if (worker.link === 'cut' || worker.link === 'answers-lost') await fail();
    return report;
  }

  override start(target: Target, order: StartOrder): Promise<OrderAnswer> {
    return this.order(target, worker => worker.start(order));
  }

  override stop(target: Target, order: RunOrder): Promise<OrderAnswer> {
    return this.order(target, worker => worker.stop(order));
  }

  override pace(
    target: Target,
    {task, percent}: RunOrder & {percent: number},
  ): Promise<OrderAnswer> {
    return this.order(target, worker => {
      worker.paces.set(task, percent);
      return {ok: true};
    });
  }

  override forget(): void {}

  private async order(
    target: Target,
    apply: (worker: FakeWorker) => OrderAnswer,
  ): Promise<OrderAnswer> {
    const worker = await this.reach(target);
    if (worker.link === 'late') {
      // A worker that ends forgets what it has not carried out.
      setTimeout(() => worker.alive && apply(worker), LATE_MS);
      return fail();
    }
    if (worker.link === 'delayed') {
      setTimeout(() => {
        const now = this.byAddress.get(target.address);
        if (now?.alive) apply(now);
      }, LATE_MS);
      return fail();
    }
    const answer = apply(worker);
    if (worker.link === 'answers-lost') return fail();
    await sleep(1);
    return answer;
  }

  private async reach({address}: Target): Promise<FakeWorker> {
    await sleep(1);
    const worker = this.byAddress.get(address);
    if (!worker?.alive || worker.link === 'cut') return fail();
    return worker;
  }
}

async function fail(): Promise<never> {
  await sleep(ANSWER_TIMEOUT_MS);
  throw GONE;
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Hosts that go down for a while on upkeep and change pools on moves. */
export class FakeHostProvider extends HostProvider {
  readonly orders: {host: string; what: string; duty: Duty; atMs: number}[] =
    [];
  readonly hosts = new Map<string, ProvidedHost>();
  maxDown = 0;
  private down = 0;

  constructor(
    private readonly fleet: FakeFleet,
    /** A worker has come up on a host. */
    private readonly onBorn: (worker: Worker) => void,
  ) {
    super();
  }

  override async list(): Promise<ProvidedHost[]> {
    await sleep(2);
    return [...this.hosts.values()];
  }

  override async maintain(
    host: string,
    wave: number,
    duty: Duty,
  ): Promise<HostAnswer> {
    await sleep(2);
    this.note(host, `upkeep ${wave}`, duty);
    this.down++;
    this.maxDown = Math.max(this.maxDown, this.down);
    this.rebuild(host, this.hosts.get(host)!.pool, 'upkeep', 2000);
    setTimeout(() => this.down--, 2000);
    return 'accepted';
  }

  override async move(
    host: string,
    pool: string,
    duty: Duty,
  ): Promise<HostAnswer> {
    await sleep(2);
    this.note(host, `move ${pool}`, duty);
    this.rebuild(host, pool, 'moving', 1500);
    return 'accepted';
  }

  private note(host: string, what: string, duty: Duty): void {
    this.orders.push({host, what, duty, atMs: performance.now()});
  }

  private rebuild(
    host: string,
    pool: string,
    state: 'moving' | 'upkeep',
    lastsMs: number,
  ): void {
    const known = this.hosts.get(host)!;
    const old = [...this.fleet.byAddress.values()].find(
      fake => fake.worker.host === host && fake.alive,
    );
    if (old) {
      if (old.runs.size > 0 && state === 'moving') {
        this.fleet.violations.push(`${host} moved with runs on it`);
      }
      old.alive = false;
    }
    this.hosts.set(host, {...known, pool, state, worker: ''});
    setTimeout(() => {
      const standby = pool === 'standby';
      this.hosts.set(host, {...known, pool, state: 'up', worker: ''});
      if (standby) return;
      const bornMs = Date.now();
      const worker: Worker = {
        id: `${host}-${bornMs}`,
        bornMs,
        host,
        pool,
        address: `${host}:${bornMs}`,
        dataCentre: 'a',
        capacity: known.capacity,
        labels: [],
        phase: 'ready',
        sequence: 1,
        cursor: 0,
      };
      this.fleet.add(worker);
      this.onBorn(worker);
    }, lastsMs);
  }
}
