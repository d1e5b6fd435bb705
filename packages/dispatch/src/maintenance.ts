/**
 * Carries out maintenance waves. A host is emptied first, within the budget
 * of the tasks that last; its upkeep is on record before it is ordered.
 */
import type {Log} from '@lentildrift/observe';
import {
  hostsDown,
  isWaveDone,
  taskName,
  workerKey,
  type Event,
  type Wave,
  type Worker,
} from '@lentildrift/queue';
import {mayStop, type LiveRun, type Load} from '@lentildrift/scheduling';
import type {Report} from './driver.js';
import type {QueueReplica} from './leader.js';
import type {Duty, HostProvider, ProvidedHost} from './provider.js';

export interface MaintenanceOptions {
  readonly replica: QueueReplica;
  readonly duty: Duty;
  readonly hosts: HostProvider;
  readonly log: Log;
  commit(event: Event): void;
  stopRun(live: LiveRun): void;
  isLeader(): boolean;
}

export interface Maintenance {
  /** Whether the worker gets no new runs because its host is to be emptied. */
  isHeld(worker: Worker): boolean;
  observe(worker: string, report: Report): void;
  tick(load: Load): void;
  stop(): void;
}

/**
 * A new leader gives no order to hosts before an order of the last one cannot
 * be under way any more.
 */
const DUTY_PAUSE_MS = 3500;
/** Longest wait for the tasks that do not last to end by themselves. */
const EMPTYING_MS = 3500;
/** The provider's list is read this often while a wave is open. */
const LIST_INTERVAL_MS = 1000;
/** Pause before an order that was turned away is given again. */
const RETRY_MS = 500;
/** Hosts that are emptied ahead of those that may go down. */
const AHEAD = 1;

/** What this leader knows of a host that it empties or maintains. */
interface Work {
  readonly wave: number;
  readonly sinceMs: number;
  /** Incarnation that ran on the host when its upkeep was ordered. */
  worker: string | undefined;
  phase: 'emptying' | 'recording' | 'ordering' | 'down';
  retryAtMs: number;
  orderedMs: number;
}

export function createMaintenance(options: MaintenanceOptions): Maintenance {
  const {replica, log} = options;
  const openedMs = performance.now();
  const works = new Map<string, Work>();
  /** Lasting tasks that are at work, by worker. */
  const atWork = new Map<string, ReadonlySet<string>>();
  /** Where tasks were last stopped, until they are at work elsewhere. */
  const stopped = new Map<string, string>();
  let listed: {hosts: ReadonlyMap<string, ProvidedHost>; atMs: number} | undefined;
  let listing = false;
  let listedMs = -Infinity;
  let ended = false;

  function tick(load: Load): void {
    const open = [...replica.state().waves.values()].filter(
      wave => !isWaveDone(wave),
    );
    if (open.length === 0 || ended) return;
    refreshList();
    if (performance.now() - openedMs < DUTY_PAUSE_MS) return;
    for (const wave of open) advance(wave, load);
  }

  function refreshList(): void {
    const nowMs = performance.now();
    if (listing || nowMs - listedMs < LIST_INTERVAL_MS) return;
    listing = true;
    listedMs = nowMs;
    options.hosts.list().then(
      hosts => {
        listing = false;
        listed = {hosts: new Map(hosts.map(host => [host.id, host])), atMs: nowMs};
      },
      (error: Error) => {
        listing = false;
        log.info('hosts-unlisted', {reason: error.message});
      },
    );
  }

  function advance(wave: Wave, load: Load): void {
    if (!listed) return;
    const down = hostsDown(wave);
    for (const host of down) followUp(wave, host);
    for (const [host, upkeep] of Object.entries(wave.hosts)) {
      if (upkeep !== 'due' || listed.hosts.has(host)) continue;
      if (works.has(host) && works.get(host)!.phase !== 'emptying') continue;
      log.info('host-left', {wave: wave.id, host});
      works.delete(host);
      finish(wave, host);
    }
    select(wave, down.length);
    for (const [host, work] of works) {
      if (work.wave === wave.id && work.phase === 'emptying') {
        empty(wave, host, work, load);
      }
    }
  }

  /** Chooses hosts to empty: as many as may go down, and a few ahead. */
  function select(wave: Wave, down: number): void {
    const chosen = [...works.values()].filter(
      work => work.wave === wave.id && work.phase !== 'down',
    ).length;
    let room = wave.atOnce + AHEAD - down - chosen;
    for (const [host, upkeep] of Object.entries(wave.hosts)) {
      if (room <= 0) return;
      if (upkeep !== 'due' || works.has(host)) continue;
      if (listed?.hosts.get(host)?.state !== 'up') continue;
      works.set(host, {
        wave: wave.id,
        sinceMs: performance.now(),
        worker: undefined,
        phase: 'emptying',
        retryAtMs: 0,
        orderedMs: 0,
      });
      room--;
      log.info('host-emptying', {wave: wave.id, host});
    }
  }

  function workerOn(host: string): Worker | undefined {
    let newest: Worker | undefined;
    for (const worker of replica.state().workers.values()) {
      if (worker.host !== host || worker.phase === 'gone') continue;
      if (!newest || worker.bornMs > newest.bornMs) newest = worker;
    }
    return newest;
  }

  function empty(wave: Wave, host: string, work: Work, load: Load): void {
    const worker = workerOn(host);
    const key = worker && workerKey(worker);
    const runs = load.runs.filter(({run}) => run.worker === key);
    for (const live of runs) {
      if (!live.step.lasting || !mayStop(live, isAtWork)) continue;
      stopped.set(taskName(live.job.spec.id, live.key), live.run.worker);
      options.stopRun(live);
    }
    const nowMs = performance.now();
    const lasting = runs.some(({step}) => step.lasting);
    const waited = nowMs - work.sinceMs >= EMPTYING_MS;
    const empty = runs.length === 0 || (waited && !lasting);
    if (!empty || nowMs < work.retryAtMs) return;
    const down = [...works.values()].filter(
      other => other.wave === wave.id && other.phase !== 'emptying',
    ).length;
    if (down >= wave.atOnce || hostsDown(wave).length >= wave.atOnce) return;
    void begin(wave, host, work, key);
  }

  function isAtWork(task: string, worker: string): boolean {
    if (stopped.get(task) === worker) return false;
    return atWork.get(worker)?.has(task) ?? false;
  }

  async function begin(
    wave: Wave,
    host: string,
    work: Work,
    worker: string | undefined,
  ): Promise<void> {
    work.phase = 'recording';
    work.worker = worker;
    try {
      await replica.propose({
        events: [{type: 'upkeep', wave: wave.id, host, upkeep: 'begun'}],
      });
    } catch (error) {
      log.info('upkeep-unrecorded', {host, reason: (error as Error).message});
      work.phase = 'emptying';
      return;
    }
    await order(wave, host, work);
  }

  async function order(wave: Wave, host: string, work: Work): Promise<void> {
    work.phase = 'ordering';
    try {
      // A process that was frozen finds out here that it no longer leads.
      await replica.readIndex();
      if (!options.isLeader() || ended) return;
      const answer = await options.hosts.maintain(host, wave.id, options.duty);
      log.info('upkeep-ordered', {wave: wave.id, host, answer});
      if (answer === 'accepted') {
        work.phase = 'down';
        work.orderedMs = performance.now();
      } else if (answer === 'busy' || answer === 'refused') {
        works.delete(host);
        await replica.propose({
          events: [{type: 'upkeep', wave: wave.id, host, upkeep: 'due'}],
        });
      } else {
        work.retryAtMs = performance.now() + RETRY_MS;
      }
    } catch (error) {
      log.info('upkeep-unanswered', {host, reason: (error as Error).message});
      work.retryAtMs = performance.now() + RETRY_MS;
    }
  }

  /** Notices that a host is back, or repeats an order without an answer. */
  function followUp(wave: Wave, host: string): void {
    let work = works.get(host);
    if (!work) {
      // Ordered by an earlier leader, or about to be: repeated, since the
      // provider answers alike when it has done it.
      work = {
        wave: wave.id,
        sinceMs: performance.now(),
        worker: undefined,
        phase: 'ordering',
        retryAtMs: 0,
        orderedMs: 0,
      };
      works.set(host, work);
      void order(wave, host, work);
      return;
    }
    if (work.phase === 'ordering' && work.retryAtMs > 0) {
      if (performance.now() < work.retryAtMs) return;
      work.retryAtMs = 0;
      void order(wave, host, work);
      return;
    }
    if (work.phase !== 'down' || !isBack(host, work)) return;
    works.delete(host);
    log.info('host-back', {wave: wave.id, host});
    finish(wave, host);
  }

  function isBack(host: string, work: Work): boolean {
    const worker = workerOn(host);
    if (work.worker !== undefined) {
      if (worker && workerKey(worker) !== work.worker) return true;
    }
    if (!listed || listed.atMs < work.orderedMs) return false;
    const state = listed.hosts.get(host)?.state;
    return state === undefined || (state === 'up' && work.worker === undefined);
  }

  function finish(wave: Wave, host: string): void {
    options.commit({
      type: 'upkeep',
      wave: wave.id,
      host,
      upkeep: 'done',
    });
  }

  return {
    isHeld: worker => works.has(worker.host),
    observe(worker, report) {
      const tasks = report.running
        .filter(({percent}) => percent >= 100)
        .map(({task}) => task);
      atWork.set(worker, new Set(tasks));
    },
    tick,
    stop() {
      ended = true;
    },
  };
}

