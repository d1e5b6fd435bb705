/**
 * Learns how far task durations are from what is expected, and which workers are
 * slow. A task is compared with those of its step that ended on other workers:
 * the tasks of one step are alike, while steps of one queue differ widely.
 * Nothing here is stored: the next leader starts anew.
 */
import {
  parseTaskKey,
  stepKey,
  taskKey,
  taskName,
  type Job,
} from '@lentildrift/queue';
import {
  createPriorRatios,
  estimateSlowness,
  expectedDurationMs,
  expectedRatio,
  isSlow,
  recordRatio,
  recordSpeedEvidence,
  type DurationRatios,
  type Durations,
  type DurationSample,
  type LiveRun,
  type Load,
  type RunAssessment,
  type SlownessLikelihoods,
  type SpeedEvidence,
  type WorkerSpeed,
} from '@lentildrift/scheduling';
import type {RunTracker} from './tracker.js';

export interface WorkerSpeedsOptions {
  readonly runs: Pick<RunTracker, 'runningSinceMs'>;
  durations(): Durations;
  /** Monotonic time, on the clock of the runs. */
  nowMs(): number;
}

export interface WorkerSpeeds {
  /** Learns from the duration of a first run that ended on a worker. */
  recordEnd(sample: DurationSample, worker: string): void;
  /**
   * Learns from a first run that is stopped because a copy of it has ended.
   * Without such runs the long ones would be missing.
   */
  recordOutlasted(sample: DurationSample, worker: string): void;
  /** What is known of a run; undefined if nothing shows that it runs. */
  assess(live: LiveRun, load: Load): RunAssessment | undefined;
  isSlow(worker: string, load: Load): boolean;
  /** Drops what is known of a worker's incarnation. */
  forget(worker: string): void;
}

/** What a duration is compared with. */
type Basis = 'step' | 'queue';

interface Reference {
  readonly basis: Basis;
  readonly expectedMs: number;
}

/**
 * Standard deviations of the logarithms of ratios without history, as in the
 * prior statistics of the durations.
 */
const PRIORS: Readonly<Record<Basis, DurationRatios>> = {
  step: createPriorRatios(0.3),
  queue: createPriorRatios(0.5),
};
/** Number of steps whose latest ends are remembered at least. */
const MIN_REMEMBERED_STEPS = 500;
/** How long an estimate of a worker is used again. */
const REUSE_MS = 100;

interface StepEnd {
  readonly worker: string;
  readonly durationMs: number;
}

/** The latest end of a task of a step, and the latest on another worker. */
interface StepEnds {
  readonly latest: StepEnd;
  readonly other: StepEnd | undefined;
}

interface Estimate {
  readonly madeMs: number;
  readonly slowness: SlownessLikelihoods;
}

const NO_RUNS: readonly LiveRun[] = [];

export function createWorkerSpeeds(options: WorkerSpeedsOptions): WorkerSpeeds {
  const {runs, durations, nowMs: clockMs} = options;
  /** By queue and basis. */
  const ratios = new Map<string, DurationRatios>();
  /** By worker key. */
  const speeds = new Map<string, WorkerSpeed>();
  const estimates = new Map<string, Estimate>();
  /** By step name; `earlier` is dropped when `recent` is full. */
  let recent = new Map<string, StepEnds>();
  let earlier = new Map<string, StepEnds>();

  function ratiosOf(queue: string, basis: Basis): DurationRatios {
    return ratios.get(`${queue} ${basis}`) ?? PRIORS[basis];
  }

  function endsOf(stepName: string): StepEnds | undefined {
    return recent.get(stepName) ?? earlier.get(stepName);
  }

  function referenceOf(
    {queue, stepName, step}: Omit<DurationSample, 'durationMs'>,
    worker: string,
  ): Reference {
    const ends = endsOf(stepName);
    const end = ends?.latest.worker === worker ? ends.other : ends?.latest;
    if (end) return {basis: 'step', expectedMs: Math.max(1, end.durationMs)};
    const expectedMs = expectedDurationMs(durations(), queue, step);
    return {basis: 'queue', expectedMs};
  }

  function rememberEnd(stepName: string, end: StepEnd): void {
    const known = endsOf(stepName);
    const other =
      known?.latest.worker === end.worker ? known.other : known?.latest;
    if (!recent.has(stepName) && recent.size >= MIN_REMEMBERED_STEPS) {
      earlier = recent;
      recent = new Map();
    }
    recent.set(stepName, {latest: end, other});
  }

  function recordEnd(sample: DurationSample, worker: string): void {
    const {queue, stepName, durationMs} = sample;
    const {basis, expectedMs} = referenceOf(sample, worker);
    const ratio = Math.max(1, durationMs) / expectedMs;
    const known = ratiosOf(queue, basis);
    const nowMs = clockMs();
    // The tasks of a step are alike, so the first one tells all that is known
    // from the comparison with other steps.
    if (basis === 'step' || !endsOf(stepName)) {
      const evidence = {ratio, hasEnded: true, ratios: known};
      const speed = speeds.get(worker);
      const isKnownSlow = isSlow(estimateSlowness(speed, [], nowMs));
      speeds.set(worker, recordSpeedEvidence(speed, evidence, nowMs));
      // The ratios are those of workers of usual speed.
      if (!isKnownSlow)
        ratios.set(`${queue} ${basis}`, recordRatio(known, ratio));
    }
    rememberEnd(stepName, {worker, durationMs});
  }

  function recordOutlasted(sample: DurationSample, worker: string): void {
    const {basis, expectedMs} = referenceOf(sample, worker);
    const known = ratiosOf(sample.queue, basis);
    const ratio = expectedRatio(known, sample.durationMs / expectedMs);
    ratios.set(`${sample.queue} ${basis}`, recordRatio(known, ratio));
  }

  function elapsedMsOf({id}: LiveRun): number | undefined {
    const sinceMs = runs.runningSinceMs(id);
    return sinceMs === undefined ? undefined : clockMs() - sinceMs;
  }

  /**
   * What is expected of a run. As long as no task of its step has ended
   * elsewhere, those that still run there show how long the step takes at least.
   */
  function expectationOf(live: LiveRun): Reference {
    const {job, key, step, run} = live;
    const name = stepNameOf(live);
    const sample = {queue: job.spec.queue, stepName: name, step};
    const reference = referenceOf(sample, run.worker);
    if (reference.basis === 'step') return reference;
    const expectedMs = Math.max(
      reference.expectedMs,
      longestElsewhereMs(job, key, run.worker),
    );
    return {basis: 'queue', expectedMs};
  }

  /** Longest time for which a task of the step has run on another worker. */
  function longestElsewhereMs(job: Job, key: string, worker: string): number {
    const {occurrence, step} = parseTaskKey(key);
    let longestMs = 0;
    for (let index = 0; index < job.spec.steps[step]!.count; index++) {
      const siblingKey = taskKey({occurrence, step, index});
      for (const run of job.tasks[siblingKey]?.runs ?? []) {
        if (run.worker === worker || siblingKey === key) continue;
        const id = `${taskName(job.spec.id, siblingKey)} ${run.number}`;
        const sinceMs = runs.runningSinceMs(id);
        if (sinceMs === undefined) continue;
        longestMs = Math.max(longestMs, clockMs() - sinceMs);
      }
    }
    return longestMs;
  }

  /** Evidence of the runs on a worker that exceed what is expected of them. */
  function currentEvidence(worker: string, load: Load): SpeedEvidence[] {
    const byStep = new Map<string, SpeedEvidence>();
    for (const live of load.runsByWorker.get(worker) ?? NO_RUNS) {
      if (live.step.lasting || live.step.filler || live.step.gang) continue;
      const elapsedMs = elapsedMsOf(live);
      if (elapsedMs === undefined) continue;
      const {basis, expectedMs} = expectationOf(live);
      const ratio = elapsedMs / expectedMs;
      if (ratio <= 1) continue;
      const name = stepNameOf(live);
      if ((byStep.get(name)?.ratio ?? 0) >= ratio) continue;
      const known = ratiosOf(live.job.spec.queue, basis);
      byStep.set(name, {ratio, hasEnded: false, ratios: known});
    }
    return [...byStep.values()];
  }

  function slownessOf(worker: string, load: Load): SlownessLikelihoods {
    const nowMs = clockMs();
    const known = estimates.get(worker);
    if (known && nowMs - known.madeMs < REUSE_MS) return known.slowness;
    const current = currentEvidence(worker, load);
    const slowness = estimateSlowness(speeds.get(worker), current, nowMs);
    estimates.set(worker, {madeMs: nowMs, slowness});
    return slowness;
  }

  return {
    recordEnd,
    recordOutlasted,
    assess(live, load) {
      const elapsedMs = elapsedMsOf(live);
      if (elapsedMs === undefined) return undefined;
      const {basis, expectedMs} = expectationOf(live);
      const known = ratiosOf(live.job.spec.queue, basis);
      const slowness = slownessOf(live.run.worker, load);
      return {elapsedMs, expectedMs, ratios: known, slowness};
    },
    isSlow: (worker, load) => isSlow(slownessOf(worker, load)),
    forget(worker) {
      speeds.delete(worker);
      estimates.delete(worker);
    },
  };
}

function stepNameOf({job, key}: LiveRun): string {
  const {occurrence, step} = parseTaskKey(key);
  return taskName(job.spec.id, stepKey(occurrence, step));
}
