/** The steps of jobs that are ready to start, with the tasks that wait. */
import {
  isDue,
  isStepReady,
  occurrenceCount,
  stepKey,
  taskKey,
  type Job,
  type Step,
  type Task,
} from '@lentildrift/queue';

/**
 * A step that is due, whose dependencies are done and that has waiting tasks.
 */
export interface ReadyStep {
  readonly occurrence: number;
  readonly stepIndex: number;
  readonly step: Step;
  /** Number of tasks that have neither a run nor ended. */
  readonly waitingCount: number;
  /** Index of the first of them. */
  readonly firstWaiting: number;
  /** Indexes of those that have had a run before. */
  readonly rerun: readonly number[];
  /**
   * Number of runs of the step, by worker key; empty if the step has no limit
   * for each worker.
   */
  readonly running: ReadonlyMap<string, number>;
}

/** The ready steps of jobs, with the number of occurrences that were due. */
const readyStepsByJob = new WeakMap<
  Job,
  {readonly dueCount: number; readonly steps: readonly ReadyStep[]}
>();

/** Lists the ready steps of an active job; cached while it does not change. */
export function listReadySteps(job: Job, nowMs: number): readonly ReadyStep[] {
  const dueCount = countDueOccurrences(job, nowMs);
  const cached = readyStepsByJob.get(job);
  if (cached?.dueCount === dueCount) return cached.steps;
  const steps: ReadyStep[] = [];
  for (let occurrence = 0; occurrence < dueCount; occurrence++) {
    for (const [stepIndex, step] of job.spec.steps.entries()) {
      const done = job.done[stepKey(occurrence, stepIndex)] ?? 0;
      if (done >= step.count) continue;
      if (!isStepReady(job, occurrence, stepIndex)) continue;
      const readyStep = countTasks(job, occurrence, stepIndex, step);
      if (readyStep.waitingCount > 0) steps.push(readyStep);
    }
  }
  readyStepsByJob.set(job, {dueCount, steps});
  return steps;
}

function countDueOccurrences(job: Job, nowMs: number): number {
  const count = occurrenceCount(job.spec);
  for (let occurrence = 0; occurrence < count; occurrence++) {
    if (!isDue(job, occurrence, nowMs)) return occurrence;
  }
  return count;
}

const NO_RUNS: ReadonlyMap<string, number> = new Map();
const NO_TASKS: readonly number[] = [];

function countTasks(
  job: Job,
  occurrence: number,
  stepIndex: number,
  step: Step,
): ReadyStep {
  const isLimited = step.maxPerWorker > 0;
  const running = new Map<string, number>();
  let waitingCount = 0;
  let firstWaiting = -1;
  const rerun: number[] = [];
  for (let index = 0; index < step.count; index++) {
    const task = job.tasks[taskKey({occurrence, step: stepIndex, index})];
    if (isWaiting(task)) {
      if (waitingCount++ === 0) firstWaiting = index;
      if (task && task.lastRun > 0) rerun.push(index);
    }
    if (!isLimited || !task || task.done) continue;
    for (const {worker} of task.runs) {
      running.set(worker, (running.get(worker) ?? 0) + 1);
    }
  }
  return {
    occurrence,
    stepIndex,
    step,
    waitingCount,
    firstWaiting,
    rerun: rerun.length > 0 ? rerun : NO_TASKS,
    running: isLimited ? running : NO_RUNS,
  };
}

/** Whether the task has neither a run nor ended. */
export function isWaiting(task: Task | undefined): boolean {
  return !task || (!task.done && task.runs.length === 0);
}
