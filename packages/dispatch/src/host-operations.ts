/**
 * The leader's operations on hosts: maintenance waves and moves between pools.
 * Each leaves out the hosts of the other.
 */
import type {LogFields} from '@lentildrift/observe';
import type {Size, Worker} from '@lentildrift/queue';
import {ElasticPools, TimedWaves, type PoolView} from '@lentildrift/scheduling';
import type {Availability} from './availability.js';
import {countHosts} from './census.js';
import {
  findDataCentre,
  isHostEvacuated,
  type DataCentreStatus,
} from './data-centres.js';
import type {Dispatcher} from './dispatcher.js';
import type {EventQueue} from './event-queue.js';
import type {LeaderInstruments} from './instruments.js';
import {measureIntakePause} from './intake-pause.js';
import {createInventory} from './inventory.js';
import type {LeaderOptions} from './leader-options.js';
import {createMaintenance, type Maintenance} from './maintenance.js';
import type {Readiness} from './readiness.js';
import {createRebalancer, type Rebalancer} from './rebalancer.js';
import type {RunEstimates} from './run-estimates.js';
import type {StateViews} from './state-views.js';

export interface HostOperationsOptions {
  /** The options of the leader that operates on the hosts. */
  readonly leader: LeaderOptions;
  readonly dispatcher: Dispatcher;
  readonly views: StateViews;
  readonly events: EventQueue;
  readonly availability: Availability;
  readonly estimates: RunEstimates;
  readonly readiness: Readiness;
  readonly instruments: LeaderInstruments;
  /** Called with the pools before each rebalancing. */
  onPools(pools: readonly PoolView[]): void;
  /** Whether a run on the worker is decided and not yet in the state. */
  hasPendingStart(worker: string): boolean;
}

export interface HostOperations {
  /** Whether the host gets no new runs because of maintenance or a move. */
  isCordoned(host: string): boolean;
  /** Whether a wave is going to empty the host. */
  isDue(host: string): boolean;
  /**
   * Whether the next stop of a long-running task on a host may wait until one is
   * ready that runs on the worker, or is going to. `isIdle`: nothing runs on it.
   */
  awaitsReadiness(worker: Worker, isIdle: boolean): boolean;
  /** Advances the maintenance waves, and the moves as `rebalance` does. */
  advance(): void;
  /**
   * Advances the moves in progress and begins others, the latter unless too
   * little time has passed since the last decision about them.
   */
  rebalance(): void;
  /**
   * Counts the hosts by what keeps them from getting runs; undefined until the
   * host provider has listed them.
   */
  census(): LogFields | undefined;
  /** Whether the data centre exists, by the workers and the listed hosts. */
  findDataCentre(name: string): DataCentreStatus;
  /** Capacities of the hosts that the provider lists; empty before the first. */
  capacities(): readonly Size[];
  stop(): void;
}

/** Shortest pause between two rebalancings of hosts among pools. */
const REBALANCE_PAUSE_MS = 30;
/**
 * Largest share of the time spent on decisions about the pools. Their cost grows
 * with the tasks that wait, so without this limit a shortage of hosts slows the
 * commits that would end it.
 */
const MAX_REBALANCE_SHARE = 0.04;
/**
 * Longest pause between two decisions. Code that is not compiled yet makes the
 * first ones of a leader take many times as long as later ones.
 */
const MAX_REBALANCE_PAUSE_MS = 500;

export function createHostOperations(
  options: HostOperationsOptions,
): HostOperations {
  const {leader, dispatcher, views, events, availability} = options;
  const {hasPendingStart} = options;
  const {time, recordMove} = options.instruments;
  const {replica, token, holder, processId, log, isLeader} = leader;
  /** Monotonic time of the next rebalancing at the earliest. */
  let nextRebalanceMs = -Infinity;
  let isStopped = false;
  let listedHosts: ReturnType<typeof inventory.hosts>;
  /** Capacities of `listedHosts`. */
  let listedCapacities: readonly Size[] = [];

  const inventory = createInventory(leader.hosts, log);
  const issuer = {
    holder,
    token,
    isCurrent: () => !isStopped && leader.isLeader(),
  };
  const hasForeignOrder = (host: string) =>
    leader.hostOrderGuard.hasForeignOrder(host);
  const maintenance: Maintenance = createMaintenance({
    policy: leader.waves ?? new TimedWaves(),
    replica,
    issuer,
    processId,
    provider: leader.hosts,
    inventory,
    readiness: options.readiness,
    log,
    isMoving: host => rebalancer.isCordoned(host),
    hasForeignOrder,
    enqueueDerived: events.enqueueDerived,
    stopRun: dispatcher.stop,
    hasPendingStart,
    isLeader,
    fleet: () => views.current().fleet,
  });
  const rebalancer: Rebalancer = createRebalancer({
    policy: leader.pools ?? new ElasticPools(),
    onPools: options.onPools,
    provider: leader.hosts,
    inventory,
    issuer,
    log,
    state: views.state,
    recordOrder: order =>
      events.commit({type: 'duty', duty: {...order, by: processId}}),
    hasForeignOrder,
    isEvacuated,
    isLeader,
    recordMove,
    onWorkerGone: worker =>
      events.enqueueDerived({type: 'worker-gone', worker}),
    isInWave: host => maintenance.isCordoned(host),
    isDue: maintenance.isDue,
    nextStops: maintenance.nextStops,
    availability,
    estimates: options.estimates,
    intakePause: measureIntakePause(
      views.state(),
      leader.leaderlessMs ?? 0,
      Date.now(),
    ),
    hasPendingStart,
  });

  function rebalance(): void {
    // A host that has arrived gets runs only after the end of its move.
    time('rebalance', () => rebalancer.advance(views.current()));
    const startMs = performance.now();
    if (startMs < nextRebalanceMs) return;
    time('rebalance', () => rebalancer.rebalance(views.current()));
    const endMs = performance.now();
    const pauseMs = Math.min(
      (endMs - startMs) / MAX_REBALANCE_SHARE,
      MAX_REBALANCE_PAUSE_MS,
    );
    nextRebalanceMs = endMs + Math.max(REBALANCE_PAUSE_MS, pauseMs);
  }

  function isEvacuated(id: string): boolean {
    const state = views.state();
    if (state.evacuated.size === 0) return false;
    const host = inventory.hosts()?.get(id);
    return isHostEvacuated(host, id, views.current());
  }

  function census(): LogFields | undefined {
    const hosts = inventory.hosts();
    const {workers, tables} = views.state();
    const view = views.current();
    const standby = tables.pools.filter(pool => pool.standby);
    return (
      hosts && {
        ...countHosts({
          hosts,
          workers: workers.values(),
          standbyPools: new Set(standby.map(({name}) => name)),
          isUsable: availability.isUsable,
          isAnswering: dispatcher.isAnswering,
          isMoving: host => rebalancer.isCordoned(host),
          isInWave: host => maintenance.isCordoned(host),
          isEvacuated: id => isHostEvacuated(hosts.get(id), id, view),
        }),
      }
    );
  }

  /** Kinds of hosts are few, so that equal capacities are listed once. */
  function capacities(): readonly Size[] {
    const hosts = inventory.hosts();
    if (hosts === listedHosts || !hosts) return listedCapacities;
    listedHosts = hosts;
    const byText = new Map<string, Size>();
    for (const {capacity} of hosts.values()) {
      byText.set(JSON.stringify(capacity), capacity);
    }
    listedCapacities = [...byText.values()];
    return listedCapacities;
  }

  return {
    isCordoned: host =>
      maintenance.isCordoned(host) || rebalancer.isCordoned(host),
    isDue: maintenance.isDue,
    awaitsReadiness: maintenance.awaitsReadiness,
    advance() {
      time('maintenance', () => maintenance.tick(views.current()));
      rebalance();
    },
    rebalance,
    census,
    findDataCentre: name =>
      findDataCentre(name, views.state(), inventory.hosts()),
    capacities,
    stop() {
      isStopped = true;
      maintenance.stop();
      rebalancer.stop();
    },
  };
}
