/** Resources that the recorded runs reserve on workers and use for teams. */
import {
  add,
  isSuspect,
  parseTaskKey,
  taskName,
  ZERO_SIZE,
  type Job,
  type Run,
  type Size,
  type State,
  type Step,
  type Task,
} from '@lentildrift/queue';

/** A recorded run, which may be running, with its task, step and job. */
export interface LiveRun {
  readonly job: Job;
  /** Key of the task, see `taskKey`. */
  readonly key: string;
  readonly step: Step;
  readonly task: Task;
  readonly run: Run;
  /** Identifies the run among all runs, see `runId`. */
  readonly id: string;
}

export interface Load {
  /**
   * Runs that are recorded for each worker, by worker key, in the order in
   * which their jobs were accepted. Workers without runs are absent.
   */
  readonly runsByWorker: ReadonlyMap<string, readonly LiveRun[]>;
  /** Reserved resources, by worker key. */
  readonly byWorker: ReadonlyMap<string, Size>;
  /** Resources in use, by team name. */
  readonly byTeam: ReadonlyMap<string, Size>;
  /** Reserved resources, by queue name. */
  readonly byQueue: ReadonlyMap<string, Size>;
  /** Keys of the workers that run a long-running task. */
  readonly workersWithLongRunningTasks: ReadonlySet<string>;
  /** Runs that are to be stopped, see `isSurplus`, by ID. */
  readonly surplus: ReadonlyMap<string, LiveRun>;
  /** Runs of tasks that may crash their workers, see `isSuspect`, by ID. */
  readonly suspects: ReadonlyMap<string, LiveRun>;
  /** Runs that count, of steps that allow copies, by ID. */
  readonly speculative: ReadonlyMap<string, LiveRun>;
}

/** Identifies a run among the runs of all tasks. */
export function runId(task: string, run: number): string {
  return `${task} ${run}`;
}

/**
 * Whether a run is to be stopped: its task or job has ended, or an urgent job is
 * to have its room.
 */
export function isSurplus({job, task, run}: LiveRun): boolean {
  if (job.phase !== 'active' || task.done) return true;
  return task.displacedRun === run.number;
}

/** Whether the run counts and a copy of it may run beside it. */
export function isSpeculative(live: LiveRun): boolean {
  return live.step.speculative && !isSurplus(live);
}

/** Resources that a run of the step reserves on its worker. */
export function reservation({size, filler}: Step): Size {
  return filler ? {...size, cpuMillis: 0} : size;
}

/** Lists the recorded runs of a job. */
export function listJobRuns(job: Job): LiveRun[] {
  const runs: LiveRun[] = [];
  if (!job.started) return runs;
  for (const key in job.tasks) {
    const task = job.tasks[key]!;
    if (task.runs.length === 0) continue;
    const step = job.spec.steps[parseTaskKey(key).step]!;
    const name = taskName(job.spec.id, key);
    for (const run of task.runs) {
      runs.push({job, key, step, task, run, id: runId(name, run.number)});
    }
  }
  return runs;
}

/**
 * Sums up the recorded runs of all jobs. `createLoadIndex` keeps the same
 * values up to date at the cost of the jobs that change.
 */
export function measureLoad(state: State): Load {
  const runsByWorker = new Map<string, LiveRun[]>();
  const byWorker = new Map<string, Size>();
  const byTeam = new Map<string, Size>();
  const byQueue = new Map<string, Size>();
  const workersWithLongRunningTasks = new Set<string>();
  const surplus = new Map<string, LiveRun>();
  const suspects = new Map<string, LiveRun>();
  const speculative = new Map<string, LiveRun>();
  for (const live of state.jobs.values().flatMap(listJobRuns)) {
    const {job, step, run, id} = live;
    const {worker} = run;
    const {team, queue} = job.spec;
    const known = runsByWorker.get(worker);
    if (known) known.push(live);
    else runsByWorker.set(worker, [live]);
    addTo(byWorker, worker, reservation(step));
    addTo(byQueue, queue, reservation(step));
    if (team !== undefined) addTo(byTeam, team, step.size);
    if (step.lasting) workersWithLongRunningTasks.add(worker);
    if (isSurplus(live)) surplus.set(id, live);
    if (isSuspect(live.task)) suspects.set(id, live);
    if (isSpeculative(live)) speculative.set(id, live);
  }
  return {
    runsByWorker,
    byWorker,
    byTeam,
    byQueue,
    workersWithLongRunningTasks,
    surplus,
    suspects,
    speculative,
  };
}

function addTo(sums: Map<string, Size>, key: string, size: Size): void {
  sums.set(key, add(sums.get(key) ?? ZERO_SIZE, size));
}
