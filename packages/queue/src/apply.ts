/**
 * The replicated state machine of the job queues. `apply(state, change)` is
 * pure and deterministic.
 */
import type {Change, Event, EventOf, Outcome} from './change.js';
import {applyDifference} from './difference.js';
import {Draft} from './draft.js';
import type {Job} from './job.js';
import {
  addTaskCrash,
  compactEndedJob,
  displaceRun,
  endRun,
  moveRun,
  removeRun,
  removeTaskCrash,
  setLateStarts,
  startRun,
} from './run.js';
import {isEvacuated, type State} from './state.js';
import {queuesByName} from './table.js';
import {workerKey, type Worker} from './worker.js';

export interface ApplyResult {
  readonly state: State;
  /** One for each event of the change, in the order of the events. */
  readonly outcomes: readonly Outcome[];
}

/** Applies the events of the change in order and returns the next state. */
export function apply(state: State, change: Change): ApplyResult {
  const draft = new Draft(state);
  draft.advanceLedTime(change.ledMs ?? 0);
  const outcomes = change.events.map(event => applyEvent(draft, event));
  return {state: draft.finish(), outcomes};
}

function applyEvent(draft: Draft, event: Event): Outcome {
  switch (event.type) {
    case 'tables':
      return replaceTables(draft, event);
    case 'tables-difference':
      return changeTables(draft, event);
    case 'submit':
      return submit(draft, event);
    case 'cancel':
      return cancel(draft, event);
    case 'worker':
      return updateWorker(draft, event);
    case 'worker-gone':
      return removeWorker(draft, event);
    case 'crash':
      return recordCrash(draft, event);
    case 'survived':
      return recordSurvival(draft, event);
    case 'leases-suspended':
      return suspendLeases(draft, event);
    case 'leases-resumed':
      return resumeLeases(draft, event);
    case 'start':
      return startRuns(draft, event);
    case 'ends':
      return endRuns(draft, event);
    case 'lost':
      for (const row of event.runs) removeRun(draft, row);
      return 'applied';
    case 'late-starts':
      for (const row of event.rows) setLateStarts(draft, row);
      return 'applied';
    case 'displace':
      for (const row of event.runs) displaceRun(draft, row);
      return 'applied';
    case 'forget':
      for (const id of event.jobs) draft.deleteJob(id);
      return 'applied';
    case 'wave':
      if (draft.wave(event.wave.id)) return 'known';
      draft.setWave(event.wave);
      return 'applied';
    case 'evacuation':
      return setEvacuated(draft, event);
    case 'upkeep':
      return setMaintenanceStatus(draft, event);
    case 'duty':
      draft.setHostOrder(event.duty);
      return 'applied';
    case 'statistics':
      for (const row of event.rows) draft.setStatistics(row);
      return 'applied';
  }
}

/**
 * Replaces the tables only by those of a higher version, whichever process
 * proposed them.
 */
function replaceTables(draft: Draft, {tables}: EventOf<'tables'>): Outcome {
  const {version, document} = draft.tables;
  if (tables.version < version) return 'overtaken';
  if (tables.version === version) {
    return tables.document === document ? 'known' : 'conflict';
  }
  draft.setTables(tables);
  return 'applied';
}

/**
 * Changes the tables only if they are the version that the difference is based
 * on and it leads to a higher one. Otherwise the proposer, which has the whole
 * tables, compares them with the recorded ones.
 */
function changeTables(
  draft: Draft,
  {difference}: EventOf<'tables-difference'>,
): Outcome {
  const {version} = draft.tables;
  if (difference.version < version) return 'overtaken';
  if (difference.version === version) return 'outdated';
  const tables = applyDifference(draft.tables, difference);
  if (!tables) return 'outdated';
  draft.setTables(tables);
  return 'applied';
}

/**
 * Accepts a job, unless an edit that was recorded before it has removed its
 * queue.
 */
function submit(draft: Draft, {job: spec, atMs}: EventOf<'submit'>): Outcome {
  if (draft.job(spec.id)) return 'known';
  const isKnown = queuesByName(draft.tables).has(spec.queue);
  if (draft.tables.version > 0 && !isKnown) return 'conflict';
  draft.setJob({
    spec,
    acceptedAtMs: atMs,
    phase: 'active',
    started: false,
    tasks: {},
    done: {},
  });
  return 'applied';
}

function cancel(draft: Draft, {job: id}: EventOf<'cancel'>): Outcome {
  const job = draft.job(id);
  if (!job) return 'unknown';
  if (job.phase !== 'active') return 'known';
  draft.setJob(compactEndedJob({...job, phase: 'cancelled'}));
  return 'applied';
}

function updateWorker(
  draft: Draft,
  {worker, carriedRuns = []}: EventOf<'worker'>,
): Outcome {
  const known = draft.worker(worker.id);
  if (known && known.bornMs > worker.bornMs) return 'overtaken';
  const isSameIncarnation = known?.bornMs === worker.bornMs;
  if (isSameIncarnation && isOutdated(known, worker)) return 'overtaken';
  if (known && !isSameIncarnation) {
    for (const row of carriedRuns) moveRun(draft, row, workerKey(worker));
    removeRunsOn(draft, workerKey(known));
  }
  const suspects = isSameIncarnation ? known.suspects : undefined;
  const cursor = isSameIncarnation ? known.cursor : 0;
  // An event may be based on a record from before the leases were resumed.
  const {suspendedSince: _, ...announced} = worker;
  const suspendedSince = known?.suspendedSince;
  draft.setWorker({
    ...announced,
    cursor,
    ...(suspects && {suspects}),
    ...(suspendedSince !== undefined && {suspendedSince}),
  });
  return 'applied';
}

/**
 * Whether the worker has announced a later state of the same incarnation. A
 * departure names no incarnation: a worker that is ready after it was that of an
 * earlier one is in use again.
 */
function isOutdated(known: Worker, announced: Worker): boolean {
  if (announced.phase === 'gone') return false;
  if (known.phase !== 'gone') return announced.sequence < known.sequence;
  return announced.phase !== 'ready' || announced.sequence <= known.sequence;
}

function removeWorker(
  draft: Draft,
  {worker: key}: EventOf<'worker-gone'>,
): Outcome {
  const known = draft.worker(key.slice(0, key.lastIndexOf('@')));
  if (!known || workerKey(known) !== key) return 'unknown';
  removeRunsOn(draft, key);
  draft.deleteWorker(known.id);
  return 'applied';
}

function findIncarnation(draft: Draft, key: string): Worker | undefined {
  const known = draft.worker(key.slice(0, key.lastIndexOf('@')));
  return known && workerKey(known) === key ? known : undefined;
}

function withoutSuspects({suspects: _, ...worker}: Worker): Worker {
  return worker;
}

function recordCrash(draft: Draft, event: EventOf<'crash'>): Outcome {
  const {type: _, tasks, ...crash} = event;
  const known = findIncarnation(draft, crash.worker);
  if (!known) return 'unknown';
  for (const name of tasks) addTaskCrash(draft, name, crash);
  draft.setWorker(
    crash.isCertain ? withoutSuspects(known) : {...known, suspects: tasks},
  );
  return 'applied';
}

function recordSurvival(
  draft: Draft,
  {worker: key}: EventOf<'survived'>,
): Outcome {
  const known = findIncarnation(draft, key);
  if (!known) return 'unknown';
  for (const name of known.suspects ?? []) removeTaskCrash(draft, name, key);
  draft.setWorker(withoutSuspects(known));
  return 'applied';
}

/** Suspended leases keep the token of the earliest leader. */
function suspendLeases(
  draft: Draft,
  {token, workers}: EventOf<'leases-suspended'>,
): Outcome {
  for (const id of workers) {
    const known = draft.worker(id);
    if (!known || known.suspendedSince !== undefined) continue;
    draft.setWorker({...known, suspendedSince: token});
  }
  return 'applied';
}

function resumeLeases(
  draft: Draft,
  {workers}: EventOf<'leases-resumed'>,
): Outcome {
  for (const id of workers) {
    const known = draft.worker(id);
    if (known?.suspendedSince === undefined) continue;
    const {suspendedSince: _, ...resumed} = known;
    draft.setWorker(resumed);
  }
  return 'applied';
}

function removeRunsOn(draft: Draft, worker: string): void {
  for (const job of draft.jobsOn(worker)) {
    const rest = withoutRunsOn(job, worker);
    if (rest !== job) draft.setJob(compactEndedJob(rest));
  }
  draft.removeRunsOn(worker);
}

function withoutRunsOn(job: Job, worker: string): Job {
  let tasks: Job['tasks'] | undefined;
  for (const [key, task] of Object.entries(job.tasks)) {
    const runs = task.runs.filter(run => run.worker !== worker);
    if (runs.length === task.runs.length) continue;
    tasks ??= {...job.tasks};
    tasks[key] = {...task, runs};
  }
  return tasks ? {...job, tasks} : job;
}

function startRuns(draft: Draft, {runs}: EventOf<'start'>): Outcome {
  const outcomes = runs.map(row => startRun(draft, row));
  return outcomes.every(each => each === 'applied') ? 'applied' : 'conflict';
}

function endRuns(draft: Draft, event: EventOf<'ends'>): Outcome {
  const {worker: key, after, upTo, ends} = event;
  const known = draft.worker(key.slice(0, key.lastIndexOf('@')));
  if (!known || workerKey(known) !== key) return 'unknown';
  if (upTo <= known.cursor) return 'known';
  // Above the cursor, ends before these are missing, and would be acknowledged
  // with them. Below it, some of these are recorded, and would count twice.
  if (after !== undefined && after !== known.cursor) return 'outdated';
  for (const row of ends) endRun(draft, key, row);
  draft.setWorker({...known, cursor: upTo});
  return 'applied';
}

function setEvacuated(
  draft: Draft,
  {dataCentre, evacuated}: EventOf<'evacuation'>,
): Outcome {
  if (isEvacuated(draft, dataCentre) === evacuated) return 'known';
  draft.setEvacuated(dataCentre, evacuated);
  return 'applied';
}

function setMaintenanceStatus(draft: Draft, event: EventOf<'upkeep'>): Outcome {
  const wave = draft.wave(event.wave);
  if (!wave?.hosts[event.host]) return 'unknown';
  const hosts = {...wave.hosts, [event.host]: event.upkeep};
  draft.setWave({...wave, hosts});
  return 'applied';
}
