/** What is reserved on workers and used by teams by the runs on record. */
import {
  add,
  ZERO_SIZE,
  parseTaskKey,
  stepKey,
  type Job,
  type Run,
  type Size,
  type State,
  type Step,
  type Task,
} from '@lentildrift/queue';

/** Every run that may be under way. */
export interface LiveRun {
  readonly job: Job;
  readonly key: string;
  readonly step: Step;
  readonly task: Task;
  readonly run: Run;
}

export interface Load {
  readonly runs: readonly LiveRun[];
  /** Reserved by worker key. */
  readonly byWorker: ReadonlyMap<string, Size>;
  readonly byTeam: ReadonlyMap<string, Size>;
  /** Workers that run a task that lasts. */
  readonly workersWithLongRunningTasks: ReadonlySet<string>;
  /** Runs of a step of one occurrence on a worker, by `spreadKey`. */
  readonly stepRunCounts: ReadonlyMap<string, number>;
}

/** What a run takes from the capacity of its worker. */
export function reservation({size, filler}: Step): Size {
  return filler ? {...size, cpuMillis: 0} : size;
}

export function stepRunCountKey(
  job: string,
  step: string,
  worker: string,
): string {
  return `${job} ${step} ${worker}`;
}

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

export function measureLoad(state: State): Load {
  const byWorker = new Map<string, Size>();
  const byTeam = new Map<string, Size>();
  const pinned = new Set<string>();
  const spread = new Map<string, number>();
  const runs = listLiveRuns(state);
  for (const {job, key, step, run} of runs) {
    const {worker} = run;
    const {team, id} = job.spec;
    byWorker.set(
      worker,
      add(byWorker.get(worker) ?? ZERO_SIZE, reservation(step)),
    );
    if (step.lasting) pinned.add(worker);
    if (team !== undefined) {
      byTeam.set(team, add(byTeam.get(team) ?? ZERO_SIZE, step.size));
    }
    const position = parseTaskKey(key);
    const at = stepRunCountKey(
      id,
      stepKey(position.occurrence, position.step),
      worker,
    );
    spread.set(at, (spread.get(at) ?? 0) + 1);
  }
  return {
    runs,
    byWorker,
    byTeam,
    workersWithLongRunningTasks: pinned,
    stepRunCounts: spread,
  };
}
