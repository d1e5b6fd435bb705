/** What the pools need: what is reserved, what waits and what keeps coming. */
import {
  add,
  dueAtMs,
  fits,
  isLongRunning,
  isStepReady,
  ZERO_SIZE,
  stepKey,
  taskKey,
  occurrenceCount,
  type Job,
  type Queue,
  type Size,
  type State,
  type Step,
} from '@lentildrift/queue';
import {expectedDurationMs, type Durations} from './estimate.js';
import {reservation, type Load} from './load.js';
import {isLate} from './order.js';

/** Equal tasks of one step that wait for workers. */
export interface WaitingTasks {
  readonly count: number;
  readonly size: Size;
  /** Label that the worker must have. */
  readonly label: string | undefined;
  /** Most tasks of the step on one worker; 0 means no limit. */
  readonly maxPerWorker: number;
  /** Tasks of the step that run, by worker key; only if there is a limit. */
  readonly running: ReadonlyMap<string, number>;
  /** Their job cannot meet its objective any more. */
  readonly late: boolean;
}

export interface Demand {
  readonly reserved: Size;
  /** Tasks whose turn has come and that do not run. */
  readonly waiting: readonly WaitingTasks[];
  /**
   * Thousandths of a core that the jobs of the last moments keep in use if
   * others keep coming as they did.
   */
  readonly inflowCpuMillis: number;
}

export const NO_DEMAND: Demand = {
  reserved: ZERO_SIZE,
  waiting: [],
  inflowCpuMillis: 0,
};

/**
 * Time over which submitted work is averaged. A turn of a queue lasts for
 * seconds and a move takes about two, so the estimate has to follow at once.
 */
const INFLOW_MS = 1000;

/** Demand by pool. */
export function measureDemand(
  state: State,
  load: Load,
  nowMs: number,
  durations: Durations,
): ReadonlyMap<string, Demand> {
  const queues = new Map(state.tables.queues.map(row => [row.name, row]));
  const room = createCapRoom(state, load);
  const demands = new Map<string, Demand>();
  const change = (pool: string, next: (known: Demand) => Partial<Demand>) => {
    const known = demands.get(pool) ?? NO_DEMAND;
    demands.set(pool, {...known, ...next(known)});
  };
  for (const {job, step} of load.runs) {
    const pool = queues.get(job.spec.queue)?.pool;
    if (pool === undefined) continue;
    change(pool, ({reserved}) => ({
      reserved: add(reserved, reservation(step)),
    }));
  }
  for (const job of state.jobs.values()) {
    const queue = queues.get(job.spec.queue);
    if (!queue) continue;
    const inflow = inflowMillis(job, queue, nowMs, durations);
    if (inflow > 0) {
      change(queue.pool, known => ({
        inflowCpuMillis: known.inflowCpuMillis + inflow,
      }));
    }
    if (job.phase !== 'active') continue;
    const rows = waitingSteps({job, queue, nowMs, durations}, size =>
      room.take(job, size),
    );
    if (rows.length === 0) continue;
    change(queue.pool, ({waiting}) => ({waiting: [...waiting, ...rows]}));
  }
  return demands;
}

/** Work that came within the last moments, spread over them. */
function inflowMillis(
  job: Job,
  queue: Queue,
  nowMs: number,
  durations: Durations,
): number {
  const ageMs = nowMs - job.acceptedAtMs;
  if (ageMs < 0 || ageMs >= INFLOW_MS) return 0;
  if (job.spec.schedule || isLongRunning(job)) return 0;
  let work = 0;
  for (const step of job.spec.steps) {
    const {cpuMillis} = reservation(step);
    work +=
      step.count * cpuMillis * expectedDurationMs(durations, queue.name, step);
  }
  return work / INFLOW_MS;
}

interface CapRoom {
  /** Whether the team may have one more task of the size, which is noted. */
  take(job: Job, size: Size): boolean;
}

/** Tasks that their team's limit keeps from running are no demand. */
function createCapRoom(state: State, load: Load): CapRoom {
  const caps = new Map(state.tables.teams.map(({name, cap}) => [name, cap]));
  const used = new Map(load.byTeam);
  return {
    take({spec: {team}}, size) {
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

function waitingSteps(
  input: WaitingInput,
  take: (size: Size) => boolean,
): WaitingTasks[] {
  const {job, nowMs} = input;
  const rows: WaitingTasks[] = [];
  for (
    let occurrence = 0;
    occurrence < occurrenceCount(job.spec);
    occurrence++
  ) {
    if (dueAtMs(job, occurrence) > nowMs) break;
    job.spec.steps.forEach((step, at) => {
      const done = job.done[stepKey(occurrence, at)] ?? 0;
      if (done >= step.count || !isStepReady(job, occurrence, at)) return;
      const row = waitingOf(job, occurrence, at, step, take);
      if (row.count === 0) return;
      rows.push({...row, late: isLate({...input, occurrence})});
    });
  }
  return rows;
}

function waitingOf(
  job: Job,
  occurrence: number,
  at: number,
  step: Step,
  take: (size: Size) => boolean,
): Omit<WaitingTasks, 'late'> {
  const running = new Map<string, number>();
  let count = 0;
  for (let index = 0; index < step.count; index++) {
    const task = job.tasks[taskKey({occurrence, step: at, index})];
    if (task?.done) continue;
    if (!task || task.runs.length === 0) {
      if (take(step.size)) count++;
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
