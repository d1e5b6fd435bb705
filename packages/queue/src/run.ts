/** State transitions of a job when its runs start, end or are lost. */
import type {EndRow, LateStartRow, Outcome, StartRow} from './change.js';
import {addCrash, isCrashCause, type Crash} from './crash.js';
import type {Draft} from './draft.js';
import {
  isComplete,
  NEW_TASK,
  occurrenceCount,
  parseTaskKey,
  splitTaskName,
  stepKey,
  taskKey,
  type Job,
  type Step,
  type Task,
} from './job.js';
import {queuesOf} from './state.js';
import {workerKey} from './worker.js';

/** A task with the job and step that it belongs to. */
interface TaskEntry {
  readonly job: Job;
  readonly key: string;
  readonly step: Step;
  readonly task: Task;
}

/** Looks up a task by name; undefined if the job has no such task. */
function findTask(draft: Draft, name: string): TaskEntry | undefined {
  const {job: id, key} = splitTaskName(name);
  const job = draft.job(id);
  const {occurrence, step, index} = parseTaskKey(key);
  const found = job?.spec.steps[step];
  if (!job || !found || !(index >= 0 && index < found.count)) return undefined;
  if (!(occurrence >= 0 && occurrence < occurrenceCount(job.spec)))
    return undefined;
  return {job, key, step: found, task: job.tasks[key] ?? NEW_TASK};
}

/**
 * Removes the payload and the tasks of an ended job that has no runs left:
 * callers ask only for the phase of such a job.
 */
export function compactEndedJob(job: Job): Job {
  if (job.phase === 'active') return job;
  if (Object.values(job.tasks).some(({runs}) => runs.length > 0)) return job;
  return {...job, spec: {...job.spec, payload: ''}, tasks: {}, done: {}};
}

function withTask(job: Job, key: string, task: Task): Job {
  return {...job, tasks: {...job.tasks, [key]: task}};
}

/**
 * Records the start of a run. A task has one run at a time unless its step is
 * speculative.
 */
export function startRun(draft: Draft, row: StartRow): Outcome {
  const [name, number, worker] = row;
  const entry = findTask(draft, name);
  if (!entry) return 'unknown';
  const {job, key, step, task} = entry;
  if (job.phase !== 'active' || task.done) return 'conflict';
  if (number <= task.lastRun) return 'overtaken';
  if (task.runs.length > 0 && !step.speculative) return 'conflict';
  const recordedWorker = draft.worker(worker.slice(0, worker.lastIndexOf('@')));
  if (!recordedWorker || workerKey(recordedWorker) !== worker) return 'unknown';
  const runs = [...task.runs, {number, worker}];
  draft.addRun(worker, job.spec.id);
  const next = withTask(job, key, {...task, lastRun: number, runs});
  draft.setJob({...next, started: true});
  return 'applied';
}

/**
 * Returns the other runs of the task, and notes in the draft that this run is
 * no longer recorded.
 */
function takeRun(
  draft: Draft,
  {job, task}: TaskEntry,
  number: number,
  worker: string,
): Task['runs'] {
  return task.runs.filter(run => {
    if (run.number !== number || run.worker !== worker) return true;
    draft.removeRun(worker, job.spec.id);
    return false;
  });
}

/** Removes a run that is certainly not running. */
export function removeRun(draft: Draft, row: StartRow): void {
  const [name, number, worker] = row;
  const entry = findTask(draft, name);
  if (!entry) return;
  const {job, key, task} = entry;
  const runs = takeRun(draft, entry, number, worker);
  if (runs.length === task.runs.length) return;
  draft.setJob(compactEndedJob(withTask(job, key, {...task, runs})));
}

/** Notes that a run, if it is the only one of its task, is to be stopped. */
export function displaceRun(draft: Draft, row: StartRow): void {
  const [name, number, worker] = row;
  const entry = findTask(draft, name);
  if (!entry) return;
  const {job, key, task} = entry;
  const [run, ...others] = task.runs;
  if (job.phase !== 'active' || task.done || others.length > 0) return;
  if (run?.number !== number || run.worker !== worker) return;
  draft.setJob(withTask(job, key, {...task, displacedRun: number}));
}

/** Records which attempts to start an earlier run may still arrive. */
export function setLateStarts(draft: Draft, row: LateStartRow): void {
  const [name, lateOn] = row;
  const entry = findTask(draft, name);
  if (!entry) return;
  const {job, key} = entry;
  if (job.phase !== 'active') return;
  const {lateOn: _, ...task} = entry.task;
  const isLate = lateOn.length > 0;
  draft.setJob(withTask(job, key, {...task, ...(isLate && {lateOn})}));
}

/** Records a run, if it is recorded, as a run of another worker. */
export function moveRun(draft: Draft, row: StartRow, worker: string): void {
  const [name, number, from] = row;
  const entry = findTask(draft, name);
  if (!entry) return;
  const {job, key, task} = entry;
  const runs = takeRun(draft, entry, number, from);
  if (runs.length === task.runs.length) return;
  draft.addRun(worker, job.spec.id);
  const moved = {...task, runs: [...runs, {number, worker}]};
  draft.setJob(withTask(job, key, moved));
}

/**
 * Records the end of a run that the worker reported. An end counts even if the
 * run was removed before.
 */
export function endRun(draft: Draft, worker: string, row: EndRow): void {
  const [name, number, how, checkpoint] = row;
  const entry = findTask(draft, name);
  if (!entry) return;
  const {job, key, step, task} = entry;
  const runs = takeRun(draft, entry, number, worker);
  const next: Task = {
    ...task,
    lastRun: Math.max(task.lastRun, number),
    checkpoint: checkpoint || task.checkpoint,
    runs,
  };
  if (how === 'done' && !step.lasting) {
    draft.setJob(
      compactEndedJob(completeIfDone(completeTasks(job, key, next))),
    );
    return;
  }
  if (how !== 'failed') {
    draft.setJob(compactEndedJob(withTask(job, key, next)));
    return;
  }
  draft.setJob(compactEndedJob(failTask(draft, job, key, next, worker)));
}

/**
 * Marks the task as done; in a gang, the end of one member completes all
 * members.
 */
function completeTasks(job: Job, key: string, task: Task): Job {
  const position = parseTaskKey(key);
  const step = job.spec.steps[position.step]!;
  const tasks = {...job.tasks, [key]: {...task, done: true}};
  let completed = task.done ? 0 : 1;
  if (step.gang) {
    for (let index = 0; index < step.count; index++) {
      const memberKey = taskKey({...position, index});
      const member = tasks[memberKey] ?? NEW_TASK;
      if (member.done) continue;
      tasks[memberKey] = {...member, done: true};
      completed++;
    }
  }
  const countKey = stepKey(position.occurrence, position.step);
  const done = {...job.done, [countKey]: (job.done[countKey] ?? 0) + completed};
  return {...job, tasks, done};
}

/** Sets the phase to completed once all steps of an active job are done. */
function completeIfDone(job: Job): Job {
  if (job.phase !== 'active' || !isComplete(job)) return job;
  return {...job, phase: 'completed'};
}

/**
 * Counts a failure of the task, and fails the job once the task has failed as
 * often as the queue allows. Long-running tasks never fail their job.
 */
function failTask(
  draft: Draft,
  job: Job,
  key: string,
  task: Task,
  worker: string,
): Job {
  const failures = task.failures + 1;
  const failedOn = [...task.failedOn, worker].slice(-MAX_FAILED_ON);
  const next = withTask(job, key, {...task, failures, failedOn});
  const {step} = parseTaskKey(key);
  if (job.phase !== 'active' || task.done) return next;
  if (job.spec.steps[step]!.lasting) return next;
  const queue = queuesOf(draft).get(job.spec.queue);
  if (!queue || failures < queue.maxAttempts) return next;
  return {...next, phase: 'failed'};
}

/**
 * Counts a crash of a worker that may be due to the task, and fails the job
 * once the crashes show that the task causes them.
 */
export function addTaskCrash(draft: Draft, name: string, crash: Crash): void {
  const entry = findTask(draft, name);
  if (!entry) return;
  const {job, key, task} = entry;
  if (job.phase !== 'active' || task.done) return;
  const crashes = addCrash(task.crashes, crash);
  const next = withTask(job, key, {...task, crashes});
  draft.setJob(
    isCrashCause(crashes) ? compactEndedJob({...next, phase: 'failed'}) : next,
  );
}

/** Removes the crash of a worker that has not crashed. */
export function removeTaskCrash(
  draft: Draft,
  name: string,
  worker: string,
): void {
  const entry = findTask(draft, name);
  if (!entry || entry.job.phase !== 'active') return;
  const {job, key, task} = entry;
  const crashes = task.crashes.filter(each => each.worker !== worker);
  if (crashes.length === task.crashes.length) return;
  draft.setJob(withTask(job, key, {...task, crashes}));
}

/** Maximum number of workers remembered in `failedOn`. */
const MAX_FAILED_ON = 8;
