/**
 * The demand for capacity in each pool: what running tasks reserve, what
 * waiting tasks require and what newly submitted jobs are expected to require.
 */
import {
  add,
  fits,
  isLongRunning,
  queuesOf,
  subtract,
  ZERO_SIZE,
  type Job,
  type Queue,
  type Size,
  type State,
  type Tables,
} from '@lentildrift/queue';
import type {Backlog} from './backlog.js';
import {expectedDurationMs, type Durations} from './estimate.js';
import {measureEvacuatedLoad} from './evacuation.js';
import {reservation, type Load} from './load.js';
import {isLate, remainingWorkMs} from './order.js';
import {listReadySteps} from './ready-steps.js';

/** Equal tasks of one step that are waiting for workers. */
export interface WaitingTasks {
  readonly count: number;
  /** Resources that each task reserves. */
  readonly size: Size;
  /** Label that a worker must have to run the tasks. */
  readonly label: string | undefined;
  /** Maximum number of tasks of the step on one worker; 0 means no limit. */
  readonly maxPerWorker: number;
  /**
   * Number of running tasks of the step, by worker key; empty if the step has
   * no limit for each worker.
   */
  readonly running: ReadonlyMap<string, number>;
  /** Whether the job is late, see `isLate`. */
  readonly late: boolean;
  /** Whether the tasks are long-running; false if absent. */
  readonly lasting?: boolean;
}

export interface Demand {
  /**
   * Reserved by the recorded runs, whose ends make room for others; without
   * those in evacuated data centres.
   */
  readonly reserved: Size;
  /** Tasks that are ready to start and have no run. */
  readonly waiting: readonly WaitingTasks[];
  /**
   * Thousandths of a core that new jobs keep in use if jobs continue to arrive
   * at the rate of the last second.
   */
  readonly inflowCpuMillis: number;
  /**
   * Remaining work, in core milliseconds, of the jobs that wait and are not
   * late.
   */
  readonly inTimeWorkMs: number;
}

export const NO_DEMAND: Demand = {
  reserved: ZERO_SIZE,
  waiting: [],
  inflowCpuMillis: 0,
  inTimeWorkMs: 0,
};

/**
 * Time over which submitted work is averaged. High load on a queue lasts for
 * seconds and the move of a host takes about two, so the estimate must react
 * at once.
 */
const INFLOW_WINDOW_MS = 1000;

/**
 * A rise of the inflow shows in a shorter time. It counts as far as it is beyond
 * chance, so that the random arrivals of a steady inflow move no hosts.
 */
const RISE_WINDOW_MS = 300;
const MIN_RISE_JOBS = 6;

/** Interval of wall-clock time in which no job could be accepted. */
export interface IntakePause {
  readonly fromMs: number;
  readonly untilMs: number;
}

export const NO_INTAKE_PAUSE: IntakePause = {
  fromMs: -Infinity,
  untilMs: -Infinity,
};

/** A demand while it is being computed. */
interface PartialDemand {
  reserved: Size;
  readonly waiting: WaitingTasks[];
  inflowCpuMillis: number;
  inTimeWorkMs: number;
  /** Jobs of the short window, and their work. */
  risingJobs: number;
  risingWork: number;
}

/**
 * Computes the demand of each pool, by pool name. The inflow is measured over
 * time outside of the pause.
 */
export function measureDemand(
  state: State,
  load: Load,
  backlog: Backlog,
  nowMs: number,
  durations: Durations,
  pause: IntakePause = NO_INTAKE_PAUSE,
): ReadonlyMap<string, Demand> {
  const queues = queuesOf(state);
  const teamCaps = createTeamCaps(state.tables, load);
  const demands = new Map<string, PartialDemand>();
  const demandOf = ({pool}: Queue): PartialDemand => {
    let demand = demands.get(pool);
    if (!demand) {
      demand = {...NO_DEMAND, waiting: [], risingJobs: 0, risingWork: 0};
      demands.set(pool, demand);
    }
    return demand;
  };
  const evacuated = measureEvacuatedLoad(state, load);
  for (const [name, reserved] of load.byQueue) {
    const queue = queues.get(name);
    if (!queue) continue;
    const demand = demandOf(queue);
    const lost = evacuated.get(name) ?? ZERO_SIZE;
    demand.reserved = add(demand.reserved, subtract(reserved, lost));
  }
  const inflowSinceMs = windowStart(nowMs, INFLOW_WINDOW_MS, pause);
  const riseSinceMs = windowStart(nowMs, RISE_WINDOW_MS, pause);
  for (const job of backlog.recentJobs(inflowSinceMs)) {
    const queue = queues.get(job.spec.queue);
    if (!queue || job.acceptedAtMs > nowMs) continue;
    const demand = demandOf(queue);
    const workMillis = expectedWork(job, queue, durations);
    demand.inflowCpuMillis += workMillis / INFLOW_WINDOW_MS;
    if (job.acceptedAtMs <= riseSinceMs) continue;
    demand.risingJobs++;
    demand.risingWork += workMillis;
  }
  for (const demand of demands.values()) {
    demand.inflowCpuMillis = Math.max(demand.inflowCpuMillis, riseOf(demand));
  }
  for (const job of backlog.waitingJobs) {
    const queue = queues.get(job.spec.queue);
    if (!queue) continue;
    const demand = demandOf(queue);
    addWaitingTasks({job, queue, nowMs, durations}, teamCaps, demand);
  }
  return demands;
}

/**
 * Start of the window that ends at `nowMs` and contains `lengthMs` outside of
 * the pause.
 */
function windowStart(
  nowMs: number,
  lengthMs: number,
  {fromMs, untilMs}: IntakePause,
): number {
  const sinceMs = nowMs - lengthMs;
  // The wall clock may have been set back to a time before the pause.
  if (sinceMs >= untilMs || nowMs < untilMs) return sinceMs;
  return fromMs - (untilMs - sinceMs);
}

/** The inflow of the short window, less what may be chance. */
function riseOf({risingJobs, risingWork}: PartialDemand): number {
  if (risingJobs < MIN_RISE_JOBS) return 0;
  // Arrivals are independent, so their number varies by its square root.
  const certainShare = 1 - 1 / Math.sqrt(risingJobs);
  return (risingWork / RISE_WINDOW_MS) * certainShare;
}

/** Expected work of a job, in thousandths of a core times milliseconds. */
function expectedWork(job: Job, queue: Queue, durations: Durations): number {
  let work = 0;
  for (const step of job.spec.steps) {
    const {cpuMillis} = reservation(step);
    work +=
      step.count * cpuMillis * expectedDurationMs(durations, queue.name, step);
  }
  return work;
}

interface TeamCaps {
  /**
   * Reserves resources for up to `count` more tasks of the job's team. Returns
   * the number of tasks that do not exceed the team's upper limit; nothing is
   * reserved for the others.
   */
  reserve(job: Job, size: Size, count: number): number;
}

/**
 * Tracks teams' limits: tasks that a limit keeps from running are no demand.
 */
function createTeamCaps({teams}: Tables, load: Load): TeamCaps {
  const limits = new Map<string, Size>();
  for (const {name, cap} of teams) {
    const {cpuMillis, memoryMb, gpus} = cap;
    if (!cpuMillis && !memoryMb && !gpus) continue;
    limits.set(name, {
      cpuMillis: cpuMillis || Infinity,
      memoryMb: memoryMb || Infinity,
      gpus: gpus || Infinity,
    });
  }
  const used = new Map(load.byTeam);
  return {
    reserve({spec: {team}}, size, count) {
      const limit = team === undefined ? undefined : limits.get(team);
      if (team === undefined || !limit) return count;
      let total = used.get(team) ?? ZERO_SIZE;
      for (let reserved = 0; reserved < count; reserved++) {
        const next = add(total, size);
        // The other tasks are of the same size.
        if (!fits(next, limit)) return reserved;
        total = next;
        used.set(team, total);
      }
      return count;
    },
  };
}

interface WaitingInput {
  readonly job: Job;
  readonly queue: Queue;
  readonly nowMs: number;
  readonly durations: Durations;
}

/** Adds the waiting tasks of a job to the demand. */
function addWaitingTasks(
  {job, queue, nowMs, durations}: WaitingInput,
  teamCaps: TeamCaps,
  demand: PartialDemand,
): void {
  let checkedOccurrence = -1;
  let late = false;
  for (const readyStep of listReadySteps(job, nowMs)) {
    const {occurrence, step, waitingCount, running} = readyStep;
    const count = teamCaps.reserve(job, step.size, waitingCount);
    if (count === 0) continue;
    if (occurrence !== checkedOccurrence) {
      // Spelled out, since spreading the input for every waiting job is slow.
      const input = {job, queue, occurrence, nowMs, durations};
      late = isLate(input);
      checkedOccurrence = occurrence;
      if (!late && !isLongRunning(job)) {
        demand.inTimeWorkMs += remainingWorkMs(input);
      }
    }
    const {label, maxPerWorker, lasting} = step;
    const size = reservation(step);
    const tasks = {count, size, label, maxPerWorker, running, late, lasting};
    demand.waiting.push(tasks);
  }
}
