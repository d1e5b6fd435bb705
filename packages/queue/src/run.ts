/** How starts and ends of runs change a job. */
import type {EndRow, Outcome, StartRow} from './change.js';
import type {Draft} from './draft.js';
import {
  isComplete,
  NEW_TASK,
  parseTaskKey,
  splitTaskName,
  stepKey,
  taskKey,
  occurrenceCount,
  type Job,
  type Step,
  type Task,
} from './job.js';
import {workerKey} from './worker.js';

interface Place {
  readonly job: Job;
  readonly key: string;
  readonly step: Step;
  readonly task: Task;
}

function find(draft: Draft, name: string): Place | undefined {
  const {job: id, key} = splitTaskName(name);
  const job = draft.job(id);
  const {occurrence, step, index} = parseTaskKey(key);
  const found = job?.spec.steps[step];
  if (!job || !found || !(index >= 0 && index < found.count)) return undefined;
  if (!(occurrence >= 0 && occurrence < occurrenceCount(job.spec)))
    return undefined;
  return {job, key, step: found, task: job.tasks[key] ?? NEW_TASK};
}

/** An ended job without runs keeps only what is asked for: its phase. */
export function compactEndedJob(job: Job): Job {
  if (job.phase === 'active') return job;
  if (Object.values(job.tasks).some(({runs}) => runs.length > 0)) return job;
  return {...job, spec: {...job.spec, payload: ''}, tasks: {}, done: {}};
}

function setTask(job: Job, key: string, task: Task): Job {
  return {...job, tasks: {...job.tasks, [key]: task}};
}

export function startRun(draft: Draft, row: StartRow): Outcome {
  const [name, number, worker] = row;
  const place = find(draft, name);
  if (!place) return 'unknown';
  const {job, key, step, task} = place;
  if (job.phase !== 'active' || task.done) return 'conflict';
  if (number <= task.lastRun) return 'overtaken';
  if (task.runs.length > 0 && !step.speculative) return 'conflict';
  const holder = draft.worker(worker.slice(0, worker.lastIndexOf('@')));
  if (!holder || workerKey(holder) !== worker) return 'unknown';
  const runs = [...task.runs, {number, worker}];
  const next = setTask(job, key, {...task, lastRun: number, runs});
  draft.setJob({...next, started: true});
  return 'applied';
}

/** Takes runs off the record that certainly do not run. */
export function removeRun(draft: Draft, row: StartRow): void {
  const [name, number, worker] = row;
  const place = find(draft, name);
  if (!place) return;
  const {job, key, task} = place;
  const runs = task.runs.filter(
    run => run.number !== number || run.worker !== worker,
  );
  if (runs.length === task.runs.length) return;
  draft.setJob(compactEndedJob(setTask(job, key, {...task, runs})));
}

export function endRun(draft: Draft, worker: string, row: EndRow): void {
  const [name, number, how, checkpoint] = row;
  const place = find(draft, name);
  if (!place) return;
  const {job, key, step, task} = place;
  const runs = task.runs.filter(
    run => run.number !== number || run.worker !== worker,
  );
  const next: Task = {
    ...task,
    lastRun: Math.max(task.lastRun, number),
    checkpoint: checkpoint || task.checkpoint,
    runs,
  };
  if (how === 'done' && !step.lasting) {
    draft.setJob(compactEndedJob(settle(completeTasks(job, key, next))));
    return;
  }
  if (how !== 'failed') {
    draft.setJob(compactEndedJob(setTask(job, key, next)));
    return;
  }
  draft.setJob(compactEndedJob(failTask(draft, job, key, next, worker)));
}

/** One member's end counts for the whole gang. */
function completeTasks(job: Job, key: string, task: Task): Job {
  const position = parseTaskKey(key);
  const step = job.spec.steps[position.step]!;
  const tasks = {...job.tasks, [key]: {...task, done: true}};
  let completed = task.done ? 0 : 1;
  if (step.gang) {
    for (let index = 0; index < step.count; index++) {
      const other = taskKey({...position, index});
      const member = tasks[other] ?? NEW_TASK;
      if (member.done) continue;
      tasks[other] = {...member, done: true};
      completed++;
    }
  }
  const at = stepKey(position.occurrence, position.step);
  const done = {...job.done, [at]: (job.done[at] ?? 0) + completed};
  return {...job, tasks, done};
}

function settle(job: Job): Job {
  if (job.phase !== 'active' || !isComplete(job)) return job;
  return {...job, phase: 'completed'};
}

function failTask(
  draft: Draft,
  job: Job,
  key: string,
  task: Task,
  worker: string,
): Job {
  const failures = task.failures + 1;
  const failedOn = [...task.failedOn, worker].slice(-MAX_FAILED_ON);
  const next = setTask(job, key, {...task, failures, failedOn});
  const {step} = parseTaskKey(key);
  if (job.phase !== 'active' || task.done) return next;
  if (job.spec.steps[step]!.lasting) return next;
  const queue = draft.tables.queues.find(({name}) => name === job.spec.queue);
  // A queue that was removed keeps the jobs that it had accepted.
  if (!queue || failures < queue.maxAttempts) return next;
  return {...next, phase: 'failed'};
}

/** Workers remembered for a task whose runs failed. */
const MAX_FAILED_ON = 8;
