/**
 * Carries out maintenance waves. A host is emptied first, within the
 * availability budget of its long-running tasks. The start of its maintenance
 * is recorded before the maintenance is ordered.
 */
import type {Log} from '@lentildrift/observe';
import {
  hostsDown,
  isWaveDone,
  taskName,
  workerKey,
  type MaintenanceStatus,
  type Wave,
  type Worker,
} from '@lentildrift/queue';
import {
  canStopRun,
  type Fleet,
  type HostWaitReason,
  type LiveRun,
  type StateView,
  type WaitingTasks,
  type WavePolicy,
} from '@lentildrift/scheduling';
import {createDowntimeEstimate} from './downtime.js';
import {listNextStops} from './next-stops.js';
import {createReplacements} from './replacements.js';
import {createHostSelection, type WaveProgress} from './host-selection.js';
import type {Inventory} from './inventory.js';
import type {QueueReplica} from './leader-options.js';
import type {HostProvider, OrderIssuer} from './provider.js';
import type {Readiness} from './readiness.js';
import type {DerivedEvent} from './undecided.js';

export interface MaintenanceOptions {
  readonly policy: WavePolicy;
  readonly replica: QueueReplica;
  readonly issuer: OrderIssuer;
  /**
   * Identifies this incarnation of the process in the records of its orders.
   */
  readonly processId: string;
  readonly provider: HostProvider;
  readonly inventory: Inventory;
  readonly readiness: Readiness;
  readonly log: Log;
  /** Whether the host is being moved between pools. */
  isMoving(host: string): boolean;
  /**
   * Whether an order of an earlier leader to the host may still be in flight.
   */
  hasForeignOrder(host: string): boolean;
  /** Queues the event unless it already waits for its commit. */
  enqueueDerived(event: DerivedEvent): void;
  stopRun(live: LiveRun): void;
  /** Whether a run on the worker is decided and not yet in the state. */
  hasPendingStart(worker: string): boolean;
  isLeader(): boolean;
  /** The workers of the current state. */
  fleet(): Fleet;
}

export interface Maintenance {
  /** Whether the host gets no new runs because it is emptied or maintained. */
  isCordoned(host: string): boolean;
  /** Whether a wave is going to empty the host. */
  isDue(host: string): boolean;
  /**
   * Whether the next stop of a long-running task on a host may wait until one is
   * ready that runs on the worker, or is going to. `isIdle`: nothing runs on it.
   */
  awaitsReadiness(worker: Worker, isIdle: boolean): boolean;
  /** Long-running tasks that waves may stop next, by pool; see `listNextStops`. */
  nextStops(): ReadonlyMap<string, readonly WaitingTasks[]>;
  /** Advances all open waves by one step. */
  tick(view: StateView): void;
  stop(): void;
}

/** Longest wait for tasks that are not long-running to end by themselves. */
const MAX_EMPTYING_MS = 3500;
/** Pause before an order without a usable answer is repeated. */
const RETRY_PAUSE_MS = 500;
/** Interval of the log lines about a host that does not become empty. */
const REPORT_INTERVAL_MS = 2000;

/**
 * Workers call another process if an announcement is not answered within this
 * time. One that arrives sooner after the provider's answer may be older.
 */
const MAX_ANNOUNCEMENT_DELAY_MS = 1000;

/** A host that this leader empties or maintains. Times are monotonic. */
interface HostOperation {
  /** ID of the wave that includes the host. */
  readonly wave: number;
  /** Whether an earlier leader began the maintenance. */
  readonly isInherited: boolean;
  /** Time at which the host was chosen or found to be down. */
  readonly sinceMs: number;
  /** Key of the worker incarnation on the host before its maintenance. */
  formerWorker: string | undefined;
  /**
   * Key of the worker incarnation on the host when the provider accepted the
   * order. It differs from `formerWorker` if that one has crashed and come back,
   * or if an order without an answer had been carried out.
   */
  workerAtAnswer: string | undefined;
  /**
   * `inherited`: an earlier leader has ordered the maintenance or was about to;
   * the order is repeated unless the provider lists the host in maintenance.
   * `emptying`: the host gets no new runs, and those that may stop are stopped.
   * `recording`: the begin of the maintenance is being recorded. `ordering`: the
   * order is being recorded or sent. `down`: the provider has accepted it.
   * `over`: only the record of the operation's result is missing.
   */
  phase: 'inherited' | 'emptying' | 'recording' | 'ordering' | 'down' | 'over';
  /** Status of the host's maintenance once the operation is over. */
  result: MaintenanceStatus;
  /** Earliest time of the next order; 0 if no order is to be repeated. */
  retryAtMs: number;
  /** Time at which the host provider accepted the order. */
  orderedMs: number;
  /** Time of the last log line about the runs that remain on the host. */
  loggedMs: number;
}

export function createMaintenance(options: MaintenanceOptions): Maintenance {
  const {replica, processId, log} = options;
  /** By host. */
  const operations = collectBegunOperations(replica.state().waves.values());
  /** Monotonic time at which this leader first saw the wave, by ID. */
  const waveSeenMs = new Map<number, number>();
  /** Waves whose deadline has passed while this process leads. */
  const lateWaves = new Set<number>();
  const downtime = createDowntimeEstimate();
  const selection = createHostSelection({
    policy: options.policy,
    inventory: options.inventory,
    isMoving: options.isMoving,
    hasForeignOrder: options.hasForeignOrder,
    hasOperation: host => operations.has(host),
    isCordoned,
    isReady: options.readiness.isReady,
  });
  /** Hosts that a wave will empty. */
  let dueHosts: ReadonlySet<string> = new Set();
  /** Workers whose long-running tasks a stop may wait for. */
  const replacements = createReplacements(isCordoned);
  /** Hosts that wait until more tasks of a step are ready. */
  const hostsWithoutBudget = new Set<string>();
  /** See `Maintenance.nextStops`. */
  let nextStops: ReturnType<Maintenance['nextStops']> = new Map();
  let isStopped = false;

  function tick(view: StateView): void {
    recordResults();
    const open = [...replica.state().waves.values()].filter(
      wave => !isWaveDone(wave),
    );
    dueHosts = new Set(open.flatMap(listDue));
    hostsWithoutBudget.clear();
    nextStops = new Map();
    if (open.length === 0 || isStopped) {
      replacements.update(hostsWithoutBudget, view);
      return;
    }
    options.inventory.refresh();
    for (const wave of open) advanceWave(wave, view);
    const emptying = [...operations.keys()].filter(
      host => operations.get(host)!.phase === 'emptying',
    );
    replacements.update(new Set([...emptying, ...hostsWithoutBudget]), view);
    nextStops = listNextStops(dueHosts, view);
  }

  /**
   * Records the results of operations until the state shows them. The operation
   * is kept until then, since the state alone would call for another one.
   */
  function recordResults(): void {
    if (isStopped) return;
    for (const [host, {wave, phase, result: upkeep}] of operations) {
      if (phase !== 'over') continue;
      const recorded = replica.state().waves.get(wave)?.hosts[host];
      if (recorded === undefined || recorded === upkeep) {
        operations.delete(host);
      } else {
        options.enqueueDerived({type: 'upkeep', wave, host, upkeep});
      }
    }
  }

  function advanceWave(wave: Wave, view: StateView): void {
    const seenMs = waveSeenMs.get(wave.id) ?? performance.now();
    waveSeenMs.set(wave.id, seenMs);
    const listed = options.inventory.hosts();
    // A list that was requested before this leader saw the wave may lack hosts
    // that were added since, which would wrongly count as removed.
    if (!listed || options.inventory.requestedMs() < seenMs) return;
    for (const host of hostsDown(wave)) {
      advanceDownHost(wave, host, view.fleet);
    }
    for (const [host, upkeep] of Object.entries(wave.hosts)) {
      if (upkeep !== 'due' || listed.has(host)) continue;
      if (operations.has(host) && operations.get(host)!.phase !== 'emptying')
        continue;
      log.info('host-left', {wave: wave.id, host});
      operations.set(host, createOperation(wave, 'over'));
    }
    emptyHosts(wave, view);
    for (const [host, operation] of operations) {
      if (operation.wave === wave.id && operation.phase === 'emptying') {
        advanceEmptying(wave, host, operation, view);
      }
    }
  }

  /** Begins to empty the hosts that the policy selects. */
  function emptyHosts(wave: Wave, view: StateView): void {
    const progress = measureProgress(wave, view);
    const {selected, waiting} = selection.select(wave, progress, view);
    for (const {id: host, idle} of selected) {
      operations.set(host, createOperation(wave, 'emptying'));
      log.info('host-emptying', {wave: wave.id, host, idle});
    }
    for (const [host, reason] of waiting) {
      if (reason === 'budget') hostsWithoutBudget.add(host);
    }
    reportIfLate(wave, waiting);
  }

  function measureProgress(wave: Wave, {load, fleet}: StateView): WaveProgress {
    const down = new Set(hostsDown(wave));
    let emptying = 0;
    let emptyingLasting = 0;
    for (const [host, operation] of operations) {
      if (operation.wave !== wave.id) continue;
      if (isDownOrOrdered(operation)) down.add(host);
      if (operation.phase !== 'emptying') continue;
      const worker = fleet.newestOn(host);
      const runs = worker && load.runsByWorker.get(workerKey(worker));
      if (runs?.some(({step}) => step.lasting)) emptyingLasting++;
      else emptying++;
    }
    const hostTimeMs = MAX_EMPTYING_MS + downtime.meanMs();
    return {hostTimeMs, down: down.size, emptying, emptyingLasting};
  }

  /** Logs once after the deadline of a wave what each of its hosts waits for. */
  function reportIfLate(
    wave: Wave,
    waiting: ReadonlyMap<string, HostWaitReason>,
  ): void {
    const lateMs = Date.now() - wave.acceptedAtMs - wave.durationMs;
    if (lateMs < 0 || lateWaves.has(wave.id)) return;
    lateWaves.add(wave.id);
    const left = Object.keys(wave.hosts).filter(
      host => wave.hosts[host] !== 'done',
    );
    log.warn('wave-late', {wave: wave.id, hosts: left.length});
    for (const host of left) {
      const operation = operations.get(host);
      const reason = operation ? reasonOf(operation) : waiting.get(host);
      const sinceMs = operation && performance.now() - operation.sinceMs;
      log.warn('host-late', {
        wave: wave.id,
        host,
        reason,
        ...(sinceMs !== undefined && {sinceMs: Math.round(sinceMs)}),
      });
    }
  }

  /**
   * Stops the runs of long-running tasks that may be stopped; begins the
   * maintenance once the host is empty.
   */
  function advanceEmptying(
    wave: Wave,
    host: string,
    operation: HostOperation,
    {load, fleet}: StateView,
  ): void {
    const worker = fleet.newestOn(host);
    const key = worker && workerKey(worker);
    const runs = (key && load.runsByWorker.get(key)) || [];
    for (const live of runs) {
      if (live.step.lasting && canStopRun(live, options.readiness.isReady)) {
        options.stopRun(live);
      }
    }
    const nowMs = performance.now();
    const hasLongRunningTasks = runs.some(({step}) => step.lasting);
    const isWaitOver = nowMs - operation.sinceMs >= MAX_EMPTYING_MS;
    const hasPendingStart = key !== undefined && options.hasPendingStart(key);
    const canBegin =
      !hasPendingStart &&
      (runs.length === 0 || (isWaitOver && !hasLongRunningTasks));
    if (!canBegin) logBlockingRuns(host, operation, runs);
    if (!canBegin || nowMs < operation.retryAtMs) return;
    const down = [...operations.values()].filter(
      other => other.wave === wave.id && isDownOrOrdered(other),
    ).length;
    if (down >= wave.atOnce || hostsDown(wave).length >= wave.atOnce) return;
    void recordBegin(wave, host, operation, key);
  }

  /** Logs at intervals which runs keep the host from being empty. */
  function logBlockingRuns(
    host: string,
    operation: HostOperation,
    runs: readonly LiveRun[],
  ): void {
    const nowMs = performance.now();
    if (
      nowMs - Math.max(operation.sinceMs, operation.loggedMs) <
      REPORT_INTERVAL_MS
    )
      return;
    operation.loggedMs = nowMs;
    const {isReady} = options.readiness;
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
        ready: isReady(task, run),
        canStop: canStopRun(live, isReady),
      });
    }
  }

  async function recordBegin(
    wave: Wave,
    host: string,
    operation: HostOperation,
    worker: string | undefined,
  ): Promise<void> {
    operation.phase = 'recording';
    operation.formerWorker = worker;
    try {
      await replica.propose({
        events: [{type: 'upkeep', wave: wave.id, host, upkeep: 'begun'}],
      });
    } catch (error) {
      log.info('upkeep-unrecorded', {host, reason: (error as Error).message});
      operation.phase = 'emptying';
      return;
    }
    await orderMaintenance(wave, host, operation);
  }

  async function orderMaintenance(
    wave: Wave,
    host: string,
    operation: HostOperation,
  ): Promise<void> {
    operation.phase = 'ordering';
    try {
      // The record informs the next leader of the order. Its commit also shows
      // a process that was frozen that it no longer leads.
      await replica.propose({
        events: [
          {
            type: 'duty',
            duty: {host, by: processId, done: false, atMs: Date.now()},
          },
        ],
      });
      if (isStopped) return;
      // The leadership may be confirmed again, so the order is not dropped.
      if (!options.isLeader()) {
        operation.retryAtMs = performance.now() + RETRY_PAUSE_MS;
        return;
      }
      const answer = await options.provider.maintain(
        host,
        wave.id,
        options.issuer,
      );
      log.info('upkeep-ordered', {wave: wave.id, host, answer});
      if (answer === 'accepted') {
        const worker = options.fleet().newestOn(host);
        operation.phase = 'down';
        operation.orderedMs = performance.now();
        operation.workerAtAnswer = worker && workerKey(worker);
        removeFormerWorker(host, operation);
      } else if (answer === 'busy' || answer === 'refused') {
        operation.phase = 'over';
        operation.result = 'due';
      } else {
        operation.retryAtMs = performance.now() + RETRY_PAUSE_MS;
      }
    } catch (error) {
      log.info('upkeep-unanswered', {host, reason: (error as Error).message});
      operation.retryAtMs = performance.now() + RETRY_PAUSE_MS;
    }
  }

  /**
   * Repeats an order of an earlier leader or one without an answer, or ends the
   * operation once the host has returned.
   */
  function advanceDownHost(wave: Wave, host: string, fleet: Fleet): void {
    const operation = operations.get(host);
    if (!operation) return;
    if (operation.phase === 'inherited') {
      if (options.hasForeignOrder(host)) {
        // The order has arrived, so there is nothing to repeat.
        if (isInMaintenance(wave, host, operation)) {
          operation.phase = 'down';
          operation.orderedMs = performance.now();
        }
        return;
      }
      // The provider gives the same answer to an order that it has already
      // carried out.
      void orderMaintenance(wave, host, operation);
      return;
    }
    if (operation.phase === 'ordering' && operation.retryAtMs > 0) {
      if (performance.now() < operation.retryAtMs) return;
      operation.retryAtMs = 0;
      void orderMaintenance(wave, host, operation);
      return;
    }
    if (operation.phase !== 'down') return;
    removeFormerWorker(host, operation);
    if (!hasReturned(host, operation, fleet)) return;
    log.info('host-back', {wave: wave.id, host});
    // The time of an inherited order is unknown, and a host that was removed has
    // not returned.
    const isRemoved = options.inventory.hosts()?.has(host) === false;
    if (!operation.isInherited && !isRemoved) {
      downtime.record(performance.now() - operation.orderedMs);
    }
    operation.phase = 'over';
  }

  /**
   * Whether a list that was requested after the operation began shows the host
   * in maintenance, and only the recorded order of this wave can be the cause.
   */
  function isInMaintenance(
    wave: Wave,
    host: string,
    {sinceMs}: HostOperation,
  ): boolean {
    const {inventory} = options;
    if (inventory.requestedMs() < sinceMs) return false;
    if (inventory.hosts()?.get(host)?.state !== 'upkeep') return false;
    const {hostOrders, waves} = replica.state();
    const order = hostOrders.get(host);
    if (!order || order.to !== undefined || order.done) return false;
    return [...waves.values()].every(
      ({id, hosts}) => id === wave.id || (hosts[host] ?? 'done') === 'done',
    );
  }

  /** Has the worker removed that ended with the maintenance of its host. */
  function removeFormerWorker(
    host: string,
    {formerWorker}: HostOperation,
  ): void {
    const worker = options.fleet().newestOn(host);
    if (worker === undefined || workerKey(worker) !== formerWorker) return;
    options.enqueueDerived({type: 'worker-gone', worker: formerWorker});
  }

  /**
   * Whether the host is up again after its maintenance, or has been removed. Only
   * what comes after the provider's answer shows that.
   */
  function hasReturned(
    host: string,
    operation: HostOperation,
    fleet: Fleet,
  ): boolean {
    const {formerWorker, workerAtAnswer, orderedMs} = operation;
    const worker = fleet.newestOn(host);
    const key = worker && workerKey(worker);
    const isNew = key !== formerWorker && key !== workerAtAnswer;
    const sinceMs = performance.now() - orderedMs;
    if (formerWorker !== undefined && key !== undefined && isNew) {
      if (sinceMs >= MAX_ANNOUNCEMENT_DELAY_MS) return true;
    }
    const listed = options.inventory.hosts();
    if (!listed || options.inventory.requestedMs() < orderedMs) return false;
    const state = listed.get(host)?.state;
    return state === undefined || state === 'up';
  }

  function isCordoned(host: string): boolean {
    const operation = operations.get(host);
    return operation !== undefined && operation.phase !== 'over';
  }

  return {
    isCordoned,
    isDue: host => dueHosts.has(host),
    awaitsReadiness: replacements.isAwaited,
    nextStops: () => nextStops,
    tick,
    stop() {
      isStopped = true;
    },
  };
}

function listDue({hosts}: Wave): string[] {
  return Object.keys(hosts).filter(host => hosts[host] === 'due');
}

/**
 * The operations that earlier leaders have recorded as begun. Their hosts are
 * cordoned from the start, as the repeated order ends whatever runs on them.
 */
function collectBegunOperations(
  waves: Iterable<Wave>,
): Map<string, HostOperation> {
  const operations = new Map<string, HostOperation>();
  for (const wave of waves) {
    for (const host of hostsDown(wave)) {
      operations.set(host, createOperation(wave, 'inherited'));
    }
  }
  return operations;
}

function createOperation(
  wave: Wave,
  phase: HostOperation['phase'],
): HostOperation {
  return {
    wave: wave.id,
    isInherited: phase === 'inherited',
    sinceMs: performance.now(),
    formerWorker: undefined,
    workerAtAnswer: undefined,
    phase,
    result: 'done',
    retryAtMs: 0,
    orderedMs: 0,
    loggedMs: 0,
  };
}

function isDownOrOrdered({phase}: HostOperation): boolean {
  return phase !== 'emptying' && phase !== 'over';
}

/** What keeps a host with an operation from being done. */
function reasonOf({phase}: HostOperation): HostWaitReason {
  if (phase === 'emptying') return 'not-empty';
  if (phase === 'inherited') return 'foreign-order';
  return phase === 'down' || phase === 'over' ? 'down' : 'order-unsettled';
}
