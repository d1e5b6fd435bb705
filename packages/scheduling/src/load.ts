/** Resources that the runs on record reserve on workers and use for teams. */
import {
  add,
  parseTaskKey,
  stepKey,
  ZERO_SIZE,
  type Job,
  type Run,
  type Size,
  type State,
  type Step,
  type Task,
} from '@lentildrift/queue';

/** A run on record, which may be running, with its task, step and job. */
export interface LiveRun {
  readonly job: Job;
  /** Key of the task, see `taskKey`. */
  readonly key: string;
  readonly step: Step;
  readonly task: Task;
  readonly run: Run;
}

export interface Load {
  readonly runs: readonly LiveRun[];
  /** Reserved resources, by worker key. */
  readonly byWorker: ReadonlyMap<string, Size>;
  /** Resources in use, by team name. */
  readonly byTeam: ReadonlyMap<string, Size>;
  /** Keys of the workers that run a long-running task. */
  readonly workersWithLongRunningTasks: ReadonlySet<string>;
  /**
   * Number of runs of a step of one occurrence on a worker, by
   * `stepRunCountKey`.
   */
  readonly stepRunCounts: ReadonlyMap<string, number>;
}

/** Resources that a run of the step reserves on its worker. */
export function reservation({size, filler}: Step): Size {
  return filler ? {...size, cpuMillis: 0} : size;
}

/** Key of the count of a step's runs on a worker; `step` is a `stepKey`. */
export function stepRunCountKey(
  job: string,
  step: string,
  worker: string,
): string {
  return `${job} ${step} ${worker}`;
}

/** Lists all runs on record. */
export function listLiveRuns(state: State): LiveRun[] {
  const runs: LiveRun[] = [];
  for (const job of state.jobs.values()) {
    if (!job.started) continue;
    for (const key in job.tasks) {
      const task = job.tasks[key]!;
      if (task.runs.length === 0) continue;
      const step = job.spec.steps[parseTaskKey(key).step]!;
      for (const run of task.runs) runs.push({job, key, step, task, run});
    }
  }
  return runs;
}

/** Sums up the runs on record by worker, team and step. */
export function measureLoad(state: State): Load {
  const byWorker = new Map<string, Size>();
  const byTeam = new Map<string, Size>();
  const workersWithLongRunningTasks = new Set<string>();
  const stepRunCounts = new Map<string, number>();
  const runs = listLiveRuns(state);
  for (const {job, key, step, run} of runs) {
    const {worker} = run;
    const {team, id} = job.spec;
    byWorker.set(
      worker,
      add(byWorker.get(worker) ?? ZERO_SIZE, reservation(step)),
    );
    if (step.lasting) workersWithLongRunningTasks.add(worker);
    if (team !== undefined) {
      byTeam.set(team, add(byTeam.get(team) ?? ZERO_SIZE, step.size));
    }
    const position = parseTaskKey(key);
    const countKey = stepRunCountKey(
      id,
      stepKey(position.occurrence, position.step),
      worker,
    );
    stepRunCounts.set(countKey, (stepRunCounts.get(countKey) ?? 0) + 1);
  }
  return {runs, byWorker, byTeam, workersWithLongRunningTasks, stepRunCounts};
}
