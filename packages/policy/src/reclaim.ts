/**
 * Reclaims lent share from running tasks by throttling, checkpointing or
 * stopping.
 */
import type {Job, Size} from '@lentildrift/model';
import type {Estimator} from './estimate.js';
import type {Reclaim, ReclaimStage} from './soft-state.js';
import type {Worker} from './placement.js';
import {addSizes, fits, subtractSizes} from './size.js';

/** Fraction of its cores that a throttled task may still use. */
export const THROTTLED_CORES_FRACTION = 0.25;

/** How long a checkpoint may take before the task is stopped. */
export const CHECKPOINT_TIMEOUT_MS = 5000;

/** Maximum number of jobs for which resources are reclaimed in one round. */
const PREEMPTORS_PER_ROUND = 64;

/**
 * A command to the platform about a running task; it needs no replicated
 * change.
 */
export interface TaskCommand {
  readonly type: 'throttle' | 'checkpoint' | 'stop';
  readonly job: string;
  readonly host: string;
  readonly token: number;
  /** Whether to start or to stop throttling. */
  readonly on?: boolean;
}

export interface ReclaimInput {
  /**
   * Queued jobs entitled to room that found none, in the order to start them.
   */
  readonly preemptors: readonly Job[];
  /** Running jobs on lent share, in the order to reclaim from them. */
  readonly lent: readonly Job[];
  /** Further running jobs, which only urgent jobs may preempt, after `lent`. */
  readonly otherRunning: readonly Job[];
  readonly workers: readonly Worker[];
  readonly estimator: Estimator;
  readonly reclaims: ReadonlyMap<string, Reclaim>;
  /** All running jobs of the pool. */
  readonly running: readonly Job[];
  readonly nowMs: number;
}

/** Returns the pool's reclaims in progress: continued ones and new ones. */
export function updateReclaims(input: ReclaimInput): Map<string, Reclaim> {
  const next = continueReclaims(input);
  const rooms = projectFreeRoom(input, next);
  const lentByHost = groupByHost(input.lent);
  const preemptibleByHost = groupByHost([...input.lent, ...input.otherRunning]);
  for (const job of input.preemptors.slice(0, PREEMPTORS_PER_ROUND)) {
    const size = input.estimator.estimateSize(job);
    const ready = rooms.find(
      room => fits(size, room.free) && !job.failedOn.includes(room.host),
    );
    if (ready) {
      ready.free = subtractSizes(ready.free, size);
      continue;
    }
    const victimsByHost = job.urgent ? preemptibleByHost : lentByHost;
    planReclaim(job, size, rooms, victimsByHost, next, input);
  }
  return next;
}

/** Room on a worker, in which reclaimed resources are included. */
interface HostRoom {
  readonly host: string;
  free: Size;
}

/**
 * Keeps the reclaims of attempts that still run. A checkpoint that has timed
 * out escalates to a stop, and throttling ends once no job waits for room.
 */
function continueReclaims(input: ReclaimInput): Map<string, Reclaim> {
  const {running, reclaims, preemptors, workers, estimator, nowMs} = input;
  const next = new Map<string, Reclaim>();
  const free = new Map(workers.map(({host, free}) => [host.id, free.cores]));
  for (const job of running) {
    const old = reclaims.get(job.id);
    if (!old || old.token !== job.token) continue;
    if (old.stage === 'throttle' && preemptors.length === 0) {
      // Throttling ends only once the worker has enough free cores.
      const cores =
        estimator.estimateSize(job).cores * (1 - THROTTLED_CORES_FRACTION);
      const left = (free.get(job.host!) ?? Infinity) - cores;
      if (left >= 0) {
        free.set(job.host!, left);
        continue;
      }
    }
    const isLate = nowMs - old.sinceMs >= CHECKPOINT_TIMEOUT_MS;
    next.set(
      job.id,
      old.stage === 'checkpoint' && isLate
        ? {...old, stage: 'stop', sinceMs: nowMs}
        : old,
    );
  }
  return next;
}

/** Returns the room on each worker once the reclaims in progress have ended. */
function projectFreeRoom(
  {workers, running, estimator}: ReclaimInput,
  reclaims: ReadonlyMap<string, Reclaim>,
): HostRoom[] {
  const rooms = new Map<string, HostRoom>();
  for (const {host, free, startsLeft} of workers) {
    if (startsLeft > 0) rooms.set(host.id, {host: host.id, free});
  }
  for (const job of running) {
    const room = rooms.get(job.host ?? '');
    const active = reclaims.get(job.id);
    if (!room || !active || active.stage === 'throttle') continue;
    room.free = addSizes(room.free, estimator.estimateRunningSize(job));
  }
  return [...rooms.values()];
}

/** Groups the jobs that can be reclaimed from by host. */
function groupByHost(jobs: readonly Job[]): Map<string, Job[]> {
  const groups = new Map<string, Job[]>();
  for (const job of jobs) {
    if (job.phase !== 'running' || job.cancelRequested) continue;
    const group = groups.get(job.host!);
    if (group) group.push(job);
    else groups.set(job.host!, [job]);
  }
  return groups;
}

/** Tasks to reclaim from on one worker, and the room that results. */
interface ReclaimPlan {
  readonly room: HostRoom;
  readonly victims: readonly Job[];
  readonly stage: ReclaimStage;
  readonly free: Size;
}

/**
 * Reclaims room for `job` on the worker where this affects the fewest tasks.
 */
function planReclaim(
  job: Job,
  size: Size,
  rooms: readonly HostRoom[],
  victimsByHost: ReadonlyMap<string, Job[]>,
  next: Map<string, Reclaim>,
  {estimator, nowMs}: ReclaimInput,
): void {
  let best: ReclaimPlan | undefined;
  for (const room of rooms) {
    if (job.failedOn.includes(room.host)) continue;
    const victims = victimsByHost.get(room.host);
    if (!victims) continue;
    const plan = planOnHost(room, size, victims, next, estimator);
    if (plan && (!best || plan.victims.length < best.victims.length)) {
      best = plan;
    }
    if (best?.victims.length === 1) break;
  }
  if (!best) return;
  best.room.free = subtractSizes(best.free, size);
  for (const victim of best.victims) {
    const {stage} = best;
    next.set(victim.id, {token: victim.token!, stage, sinceMs: nowMs});
  }
}

/** Plans to throttle if only cores are lacking, and otherwise to checkpoint. */
function planOnHost(
  room: HostRoom,
  size: Size,
  victims: readonly Job[],
  reclaims: ReadonlyMap<string, Reclaim>,
  estimator: Estimator,
): ReclaimPlan | undefined {
  const lacksOnlyCores = fits({...size, cores: 0}, {...room.free, cores: 0});
  const throttle = lacksOnlyCores
    ? planStage(room, size, victims, 'throttle', reclaims, estimator)
    : undefined;
  return (
    throttle ??
    planStage(room, size, victims, 'checkpoint', reclaims, estimator)
  );
}

/** Plans to reclaim from as few victims, in their order, as `size` needs. */
function planStage(
  room: HostRoom,
  size: Size,
  victims: readonly Job[],
  stage: 'throttle' | 'checkpoint',
  reclaims: ReadonlyMap<string, Reclaim>,
  estimator: Estimator,
): ReclaimPlan | undefined {
  let {free} = room;
  const chosen: Job[] = [];
  for (const victim of victims) {
    const active = reclaims.get(victim.id);
    if (active && (stage === 'throttle' || active.stage !== 'throttle'))
      continue;
    if (stage === 'throttle' && estimator.isThrottled(victim)) continue;
    const usage = estimator.estimateRunningSize(victim);
    const reclaimed =
      stage === 'checkpoint'
        ? usage
        : {
            cores: usage.cores * (1 - THROTTLED_CORES_FRACTION),
            memoryMiB: 0,
            accelerators: 0,
          };
    free = addSizes(free, reclaimed);
    chosen.push(victim);
    if (fits(size, free)) return {room, victims: chosen, stage, free};
  }
  return undefined;
}

/** Creates the commands that make the running tasks match the reclaims. */
export function createTaskCommands(
  running: readonly Job[],
  reclaims: ReadonlyMap<string, Reclaim>,
  estimator: Estimator,
): TaskCommand[] {
  return running.flatMap((job): TaskCommand[] => {
    if (job.phase !== 'running' || job.cancelRequested) return [];
    const active = reclaims.get(job.id);
    const target = {job: job.id, host: job.host!, token: job.token!};
    const throttled = estimator.isThrottled(job);
    if (active && active.stage !== 'throttle') {
      return [{type: active.stage, ...target}];
    }
    if (throttled === (active !== undefined)) return [];
    return [{type: 'throttle', on: !throttled, ...target}];
  });
}
