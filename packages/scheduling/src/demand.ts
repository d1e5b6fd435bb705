/**
 * The demand for capacity in each pool: what running tasks reserve, what
 * waiting tasks require and what newly submitted jobs are expected to require.
 */
import {
  add,
  fits,
  isDue,
  isStepReady,
  occurrenceCount,
  queuesByName,
  stepKey,
  taskKey,
  ZERO_SIZE,
  type Job,
  type Queue,
  type Size,
  type State,
  type Step,
  type Tables,
} from '@lentildrift/queue';
import type {Backlog} from './backlog.js';
import {expectedDurationMs, type Durations} from './estimate.js';
import {reservation, type Load} from './load.js';
import {isLate} from './order.js';

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
}

export interface Demand {
  /** Reserved by the recorded runs. */
  readonly reserved: Size;
  /** Tasks that are ready to start and have no run. */
  readonly waiting: readonly WaitingTasks[];
  /**
   * Thousandths of a core that new jobs keep in use if jobs continue to arrive
   * at the rate of the last second.
   */
  readonly inflowCpuMillis: number;
}

export const NO_DEMAND: Demand = {
  reserved: ZERO_SIZE,
  waiting: [],
  inflowCpuMillis: 0,
};

/**
 * Time over which submitted work is averaged. High load on a queue lasts for
 * seconds and the move of a host takes about two, so the estimate must react
 * at once.
 */
const INFLOW_WINDOW_MS = 1000;

/** A demand while it is being computed. */
interface PartialDemand {
  reserved: Size;
  readonly waiting: WaitingTasks[];
  inflowCpuMillis: number;
}

/** Computes the demand of each pool, by pool name. */
export function measureDemand(
  {tables}: State,
  load: Load,
  backlog: Backlog,
  nowMs: number,
  durations: Durations,
): ReadonlyMap<string, Demand> {
  const queues = queuesByName(tables);
  const teamCaps = createTeamCaps(tables, load);
  const demands = new Map<string, PartialDemand>();
  const demandOf = ({pool}: Queue): PartialDemand => {
    let demand = demands.get(pool);
    if (!demand) {
      demand = {reserved: ZERO_SIZE, waiting: [], inflowCpuMillis: 0};
      demands.set(pool, demand);
    }
    return demand;
  };
  for (const [name, reserved] of load.byQueue) {
    const queue = queues.get(name);
    if (!queue) continue;
    const demand = demandOf(queue);
    demand.reserved = add(demand.reserved, reserved);
  }
  for (const job of backlog.recentJobs(nowMs - INFLOW_WINDOW_MS)) {
    const queue = queues.get(job.spec.queue);
    if (!queue || job.acceptedAtMs > nowMs) continue;
    demandOf(queue).inflowCpuMillis += inflowCpuMillis(job, queue, durations);
  }
  for (const job of backlog.waitingJobs) {
    const queue = queues.get(job.spec.queue);
    if (!queue) continue;
    const rows = listWaitingTasks({job, queue, nowMs, durations}, size =>
      teamCaps.tryReserve(job, size),
    );
    if (rows.length > 0) demandOf(queue).waiting.push(...rows);
  }
  return demands;
}

/**
 * The CPU demand of a job that was accepted within the window: its expected
 * work divided by the length of the window.
 */
function inflowCpuMillis(job: Job, queue: Queue, durations: Durations): number {
  let work = 0;
  for (const step of job.spec.steps) {
    const {cpuMillis} = reservation(step);
    work +=
      step.count * cpuMillis * expectedDurationMs(durations, queue.name, step);
  }
  return work / INFLOW_WINDOW_MS;
}

interface TeamCaps {
  /**
   * Reserves resources for one more task of the job's team. Returns false and
   * reserves nothing if the task would exceed the team's upper limit.
   */
  tryReserve(job: Job, size: Size): boolean;
}

/**
 * Tracks teams' limits: tasks that a limit keeps from running are no demand.
 */
function createTeamCaps({teams}: Tables, load: Load): TeamCaps {
  const caps = new Map(teams.map(({name, cap}) => [name, cap]));
  const used = new Map(load.byTeam);
  return {
    tryReserve({spec: {team}}, size) {
      const cap = team === undefined ? undefined : caps.get(team);
      if (team === undefined || !cap) return true;
      const next = add(used.get(team) ?? ZERO_SIZE, size);
      const limit: Size = {
        cpuMillis: cap.cpuMillis || Infinity,
        memoryMb: cap.memoryMb || Infinity,
        gpus: cap.gpus || Infinity,
      };
      if (!fits(next, limit)) return false;
      used.set(team, next);
      return true;
    },
  };
}

interface WaitingInput {
  readonly job: Job;
  readonly queue: Queue;
  readonly nowMs: number;
  readonly durations: Durations;
}

function listWaitingTasks(
  input: WaitingInput,
  tryReserve: (size: Size) => boolean,
): WaitingTasks[] {
  const {job, nowMs} = input;
  const rows: WaitingTasks[] = [];
  for (
    let occurrence = 0;
    occurrence < occurrenceCount(job.spec);
    occurrence++
  ) {
    if (!isDue(job, occurrence, nowMs)) break;
    job.spec.steps.forEach((step, index) => {
      const done = job.done[stepKey(occurrence, index)] ?? 0;
      if (done >= step.count || !isStepReady(job, occurrence, index)) return;
      const row = countWaitingTasks(job, occurrence, index, step, tryReserve);
      if (row.count === 0) return;
      rows.push({...row, late: isLate({...input, occurrence})});
    });
  }
  return rows;
}

function countWaitingTasks(
  job: Job,
  occurrence: number,
  stepIndex: number,
  step: Step,
  tryReserve: (size: Size) => boolean,
): Omit<WaitingTasks, 'late'> {
  const running = new Map<string, number>();
  let count = 0;
  for (let index = 0; index < step.count; index++) {
    const task = job.tasks[taskKey({occurrence, step: stepIndex, index})];
    if (task?.done) continue;
    if (!task || task.runs.length === 0) {
      if (tryReserve(step.size)) count++;
      continue;
    }
    if (step.maxPerWorker === 0) continue;
    for (const {worker} of task.runs) {
      running.set(worker, (running.get(worker) ?? 0) + 1);
    }
  }
  const {label, maxPerWorker} = step;
  return {count, size: reservation(step), label, maxPerWorker, running};
}
