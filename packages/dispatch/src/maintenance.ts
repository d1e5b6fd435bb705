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
import {canStopRun, type LiveRun, type Load} from '@lentildrift/scheduling';
import type {Inventory} from './inventory.js';
import type {QueueReplica} from './leader.js';
import type {Presence} from './presence.js';
import type {Duty, HostProvider} from './provider.js';

export interface MaintenanceOptions {
  readonly replica: QueueReplica;
  readonly duty: Duty;
  /** This start of the process, for the records of orders. */
  readonly process: string;
  readonly provider: HostProvider;
  readonly inventory: Inventory;
  readonly presence: Presence;
  readonly log: Log;
  /** Whether a move between pools is under way. */
  isMoving(host: string): boolean;
  /** Whether an order of an earlier leader may still be under way. */
  isGuarded(host: string): boolean;
  commit(event: Event): void;
  stopRun(live: LiveRun): void;
  isLeader(): boolean;
}

export interface Maintenance {
  /** Whether the worker gets no new runs because its host is to be emptied. */
  isHeld(host: string): boolean;
  tick(load: Load): void;
  stop(): void;
}

/** Longest wait for the tasks that do not last to end by themselves. */
const EMPTYING_MS = 3500;
/** Pause before an order that was turned away is given again. */
const RETRY_MS = 500;
/** Interval of the log lines on a host that does not become empty. */
const REPORT_MS = 2000;
/** Hosts that are emptied ahead of those that may go down. */
const AHEAD = 1;
/** Time that the upkeep of a host takes, its emptying included. */
const HOST_MS = 5000;
/** A wave is to be done this long before its deadline. */
const RESERVE_MS = 7000;
/** Part of a pool's hosts in use that may be emptied at once. */
const POOL_SHARE = 1 / 3;

/** What this leader knows of a host that it empties or maintains. */
interface Work {
  readonly wave: number;
  readonly sinceMs: number;
  /** Incarnation that ran on the host when its upkeep was ordered. */
  worker: string | undefined;
  phase: 'emptying' | 'recording' | 'ordering' | 'down';
  retryAtMs: number;
  orderedMs: number;
  reportedMs: number;
}

export function createMaintenance(options: MaintenanceOptions): Maintenance {
  const {replica, process, log} = options;
  const works = new Map<string, Work>();
  const waveSeenMs = new Map<number, number>();
  let ended = false;

  function tick(load: Load): void {
    const open = [...replica.state().waves.values()].filter(
      wave => !isWaveDone(wave),
    );
    if (open.length === 0 || ended) return;
    options.inventory.refresh();
    for (const wave of open) advance(wave, load);
  }

  function advance(wave: Wave, load: Load): void {
    const seenMs = waveSeenMs.get(wave.id) ?? performance.now();
    waveSeenMs.set(wave.id, seenMs);
    const listed = options.inventory.hosts();
    // An older list may lack hosts that were added since.
    if (!listed || options.inventory.askedMs() < seenMs) return;
    const down = hostsDown(wave);
    for (const host of down) followUp(wave, host);
    for (const [host, upkeep] of Object.entries(wave.hosts)) {
      if (upkeep !== 'due' || listed.has(host)) continue;
      if (works.has(host) && works.get(host)!.phase !== 'emptying') continue;
      log.info('host-left', {wave: wave.id, host});
      works.delete(host);
      finish(wave, host);
    }
    select(wave, down.length, load);
    for (const [host, work] of works) {
      if (work.wave === wave.id && work.phase === 'emptying') {
        empty(wave, host, work, load);
      }
    }
  }

  /**
   * Chooses hosts to empty: idle ones at any time, and hosts in use when the
   * wave would be late otherwise, few of one pool at a time.
   */
  function select(wave: Wave, down: number, load: Load): void {
    const due = dueHosts(wave);
    const chosen = [...works.values()].filter(
      work => work.wave === wave.id && work.phase !== 'down',
    ).length;
    let room = wave.atOnce + AHEAD - down - chosen;
    const idle = due.filter(host => !isInUse(host, load));
    const busy = isPressed(wave, due.length)
      ? due.filter(host => isInUse(host, load))
      : [];
    for (const host of [...idle, ...busy]) {
      if (room <= 0) return;
      if (busy.includes(host) && !hasPoolRoom(host)) continue;
      works.set(host, newWork(wave, 'emptying'));
      room--;
      log.info('host-emptying', {
        wave: wave.id,
        host,
        idle: !busy.includes(host),
      });
    }
  }

  function dueHosts(wave: Wave): string[] {
    const hosts = Object.entries(wave.hosts)
      .filter(([, upkeep]) => upkeep === 'due')
      .map(([host]) => host);
    return hosts.filter(host => {
      const state = options.inventory.hosts()?.get(host)?.state;
      if (works.has(host) || options.isMoving(host)) return false;
      return state === 'up' && !options.isGuarded(host);
    });
  }

  function isInUse(host: string, load: Load): boolean {
    const worker = workerOn(host);
    return worker !== undefined && load.byWorker.has(workerKey(worker));
  }

  function isPressed({acceptedAtMs, durationMs, atOnce}: Wave, due: number) {
    const leftMs = acceptedAtMs + durationMs - Date.now();
    return leftMs < Math.ceil(due / atOnce) * HOST_MS + RESERVE_MS;
  }

  function hasPoolRoom(host: string): boolean {
    const pool = workerOn(host)?.pool;
    const workers = [...replica.state().workers.values()];
    const members = workers.filter(worker => worker.pool === pool);
    const held = members.filter(worker => works.has(worker.host)).length;
    return held + 1 <= Math.max(1, Math.floor(members.length * POOL_SHARE));
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
      if (live.step.lasting && canStopRun(live, options.presence.isAtWork)) {
        options.stopRun(live);
      }
    }
    const nowMs = performance.now();
    const lasting = runs.some(({step}) => step.lasting);
    const waited = nowMs - work.sinceMs >= EMPTYING_MS;
    const empty = runs.length === 0 || (waited && !lasting);
    if (!empty) reportWait(host, work, runs);
    if (!empty || nowMs < work.retryAtMs) return;
    const down = [...works.values()].filter(
      other => other.wave === wave.id && other.phase !== 'emptying',
    ).length;
    if (down >= wave.atOnce || hostsDown(wave).length >= wave.atOnce) return;
    void begin(wave, host, work, key);
  }

  /** Says now and then what keeps a host from being empty. */
  function reportWait(
    host: string,
    work: Work,
    runs: readonly LiveRun[],
  ): void {
    const nowMs = performance.now();
    if (nowMs - Math.max(work.sinceMs, work.reportedMs) < REPORT_MS) return;
    work.reportedMs = nowMs;
    const {isAtWork} = options.presence;
    for (const live of runs) {
      const {job, key, step, run} = live;
      const task = taskName(job.spec.id, key);
      log.info('host-not-empty', {
        host,
        task,
        lasting: step.lasting,
        filler: step.filler,
        count: step.count,
        mayMiss: step.mayMiss,
        atWork: isAtWork(task, run),
        mayStop: canStopRun(live, isAtWork),
      });
    }
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
      // The next leader has to know, and a process that was frozen finds out
      // here that it no longer leads.
      await replica.propose({
        events: [
          {
            type: 'duty',
            duty: {host, by: process, done: false, atMs: Date.now()},
          },
        ],
      });
      if (!options.isLeader() || ended) return;
      const answer = await options.provider.maintain(
        host,
        wave.id,
        options.duty,
      );
      log.info('upkeep-ordered', {wave: wave.id, host, answer});
      if (answer === 'accepted') {
        work.phase = 'down';
        work.orderedMs = performance.now();
        if (work.worker !== undefined) {
          options.commit({type: 'worker-gone', worker: work.worker});
        }
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
    if (!work && options.isGuarded(host)) return;
    if (!work) {
      // Ordered by an earlier leader, or about to be: repeated, since the
      // provider answers alike when it has done it.
      work = newWork(wave, 'ordering');
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
    const listed = options.inventory.hosts();
    if (!listed || options.inventory.askedMs() < work.orderedMs) return false;
    const state = listed.get(host)?.state;
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
    isHeld: host => works.has(host),
    tick,
    stop() {
      ended = true;
    },
  };
}

function newWork(wave: Wave, phase: Work['phase']): Work {
  return {
    wave: wave.id,
    sinceMs: performance.now(),
    worker: undefined,
    phase,
    retryAtMs: 0,
    orderedMs: 0,
    reportedMs: 0,
  };
}
