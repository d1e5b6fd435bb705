/** Reclaims lent share: throttle, then checkpoint, then stop. */
import type {Job, Size} from '@lentildrift/model';
import type {Estimator} from './estimate.js';
import type {Reclaim, ReclaimStage} from './soft-state.js';
import type {Worker} from './placement.js';
import {addSizes, fits, subtractSizes} from './size.js';

/** Part of its cores that a throttled task may still use. */
export const THROTTLED_CORES_FRACTION = 0.25;

/** How long a checkpoint may take before the task is stopped. */
export const CHECKPOINT_TIMEOUT_MS = 5000;

/** Claims served in one round. */
const CLAIMS_PER_ROUND = 64;

/** An order to the platform about a running task; needs no change. */
export interface TaskCommand {
  readonly type: 'throttle' | 'checkpoint' | 'stop';
  readonly job: string;
  readonly host: string;
  readonly token: number;
  readonly on?: boolean;
}

export interface ReclaimInput {
  /** Jobs that are owed room and found none, the first to start first. */
  readonly preemptors: readonly Job[];
  /** Jobs to take room from, the first to give it first. */
  readonly lent: readonly Job[];
  /** Jobs that only urgent work may displace, after those on lent share. */
  readonly others: readonly Job[];
  readonly workers: readonly Worker[];
  readonly estimator: Estimator;
  readonly reclaims: ReadonlyMap<string, Reclaim>;
  readonly running: readonly Job[];
  readonly nowMs: number;
}

/** Reclaims of this pool that are still under way, old and new. */
export function updateReclaims(input: ReclaimInput): Map<string, Reclaim> {
  const next = continued(input);
  const rooms = promisedRooms(input, next);
  const lentOn = byHost(input.lent);
  const allOn = byHost([...input.lent, ...input.others]);
  for (const job of input.preemptors.slice(0, CLAIMS_PER_ROUND)) {
    const size = input.estimator.estimateSize(job);
    const ready = rooms.find(
      room => fits(size, room.free) && !job.failedOn.includes(room.host),
    );
    if (ready) {
      ready.free = subtractSizes(ready.free, size);
      continue;
    }
    const victimsOn = job.urgent ? allOn : lentOn;
    displace(job, size, rooms, victimsOn, next, input);
  }
  return next;
}

interface Room {
  readonly host: string;
  free: Size;
}

/** Keeps reclaims of live attempts; a late checkpoint becomes a stop. */
function continued(input: ReclaimInput): Map<string, Reclaim> {
  const {
    running,
    reclaims,
    preemptors: claimants,
    workers,
    estimator,
    nowMs,
  } = input;
  const next = new Map<string, Reclaim>();
  const free = new Map(workers.map(({host, free}) => [host.id, free.cores]));
  for (const job of running) {
    const old = reclaims.get(job.id);
    if (!old || old.token !== job.token) continue;
    if (old.stage === 'throttle' && claimants.length === 0) {
      // Full speed again only once the worker has the cores for it.
      const cores =
        estimator.estimateSize(job).cores * (1 - THROTTLED_CORES_FRACTION);
      const left = (free.get(job.host!) ?? Infinity) - cores;
      if (left >= 0) {
        free.set(job.host!, left);
        continue;
      }
    }
    const late = nowMs - old.sinceMs >= CHECKPOINT_TIMEOUT_MS;
    next.set(
      job.id,
      old.stage === 'checkpoint' && late
        ? {...old, stage: 'stop', sinceMs: nowMs}
        : old,
    );
  }
  return next;
}

/** Room on each worker once the reclaims under way have ended. */
function promisedRooms(
  {workers, running, estimator}: ReclaimInput,
  reclaims: ReadonlyMap<string, Reclaim>,
): Room[] {
  const rooms = new Map<string, Room>();
  for (const {host, free, startsLeft} of workers) {
    if (startsLeft > 0) rooms.set(host.id, {host: host.id, free});
  }
  for (const job of running) {
    const room = rooms.get(job.host ?? '');
    const under = reclaims.get(job.id);
    if (!room || !under || under.stage === 'throttle') continue;
    room.free = addSizes(room.free, estimator.estimateRunningSize(job));
  }
  return [...rooms.values()];
}

function byHost(jobs: readonly Job[]): Map<string, Job[]> {
  const groups = new Map<string, Job[]>();
  for (const job of jobs) {
    if (job.phase !== 'running' || job.cancelRequested) continue;
    const group = groups.get(job.host!);
    if (group) group.push(job);
    else groups.set(job.host!, [job]);
  }
  return groups;
}

interface Plan {
  readonly room: Room;
  readonly victims: readonly Job[];
  readonly stage: ReclaimStage;
  readonly free: Size;
}

/** Makes room for `job` where the fewest tasks have to give way. */
function displace(
  job: Job,
  size: Size,
  rooms: readonly Room[],
  victimsOn: ReadonlyMap<string, Job[]>,
  next: Map<string, Reclaim>,
  {estimator, nowMs}: ReclaimInput,
): void {
  let best: Plan | undefined;
  for (const room of rooms) {
    if (job.failedOn.includes(room.host)) continue;
    const victims = victimsOn.get(room.host);
    if (!victims) continue;
    const plan = planOn(room, size, victims, next, estimator);
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

/** A throttle gives cores only; anything else needs a checkpoint. */
function planOn(
  room: Room,
  size: Size,
  victims: readonly Job[],
  reclaims: ReadonlyMap<string, Reclaim>,
  estimator: Estimator,
): Plan | undefined {
  const coresOnly = fits({...size, cores: 0}, {...room.free, cores: 0});
  const throttle = coresOnly
    ? planStage(room, size, victims, 'throttle', reclaims, estimator)
    : undefined;
  return (
    throttle ??
    planStage(room, size, victims, 'checkpoint', reclaims, estimator)
  );
}

function planStage(
  room: Room,
  size: Size,
  victims: readonly Job[],
  stage: 'throttle' | 'checkpoint',
  reclaims: ReadonlyMap<string, Reclaim>,
  estimator: Estimator,
): Plan | undefined {
  let {free} = room;
  const taken: Job[] = [];
  for (const victim of victims) {
    const under = reclaims.get(victim.id);
    if (under && (stage === 'throttle' || under.stage !== 'throttle')) continue;
    if (stage === 'throttle' && estimator.isThrottled(victim)) continue;
    const held = estimator.estimateRunningSize(victim);
    const given =
      stage === 'checkpoint'
        ? held
        : {
            cores: held.cores * (1 - THROTTLED_CORES_FRACTION),
            memoryMiB: 0,
            accelerators: 0,
          };
    free = addSizes(free, given);
    taken.push(victim);
    if (fits(size, free)) return {room, victims: taken, stage, free};
  }
  return undefined;
}

/** Orders that bring the tasks into line with the reclaims. */
export function createTaskCommands(
  running: readonly Job[],
  reclaims: ReadonlyMap<string, Reclaim>,
  estimator: Estimator,
): TaskCommand[] {
  return running.flatMap((job): TaskCommand[] => {
    if (job.phase !== 'running' || job.cancelRequested) return [];
    const under = reclaims.get(job.id);
    const about = {job: job.id, host: job.host!, token: job.token!};
    const throttled = estimator.isThrottled(job);
    if (under && under.stage !== 'throttle') {
      return [{type: under.stage, ...about}];
    }
    if (throttled === (under !== undefined)) return [];
    return [{type: 'throttle', on: !throttled, ...about}];
  });
}
