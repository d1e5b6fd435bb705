/**
 * What the leader records about its own work: metrics for each phase of its
 * work, and log lines at most once a second that show its state.
 */
import {
  startLagProbe,
  type Counter,
  type Latency,
  type Log,
  type LogFields,
  type Metrics,
} from '@lentildrift/observe';

/** Parts of the leader's work. The time of one excludes those nested in it. */
export const LEADER_PHASES = [
  'apply',
  'load',
  'candidates',
  'plan',
  'committed',
  'order',
  'sessions',
  'registry',
  'maintenance',
  'rebalance',
  'report',
] as const;
export type LeaderPhase = (typeof LEADER_PHASES)[number];

/** Events that wait for the next change. */
export interface QueueView {
  readonly queued: number;
  /** Monotonic time at which the oldest was queued. */
  readonly oldestMs: number | undefined;
  /** Whether the leader is still the leader by its own knowledge. */
  readonly isCurrent: boolean;
}

export interface LeaderInstruments {
  /** Whether the process has had too little processor time lately. */
  isBusy(): boolean;
  /** Runs `work` and records its time, without that of nested phases. */
  time<T>(phase: LeaderPhase, work: () => T): T;
  /**
   * Records the proposal of a change of `events` events, the oldest of which
   * was queued at `oldestMs`. The result is called when the proposal settles.
   */
  recordProposal(
    events: number,
    oldestMs: number | undefined,
  ): (outcome: 'committed' | 'rejected') => void;
  /** Records a hold; `inFlight` counts those of its session, itself included. */
  recordHold(inFlight: number): void;
  /** Records a worker's report by what it brings. */
  recordReport(news: ReportNews, ends: number): void;
  /** Records that an order to start a run was answered, or given up. */
  recordStartAnswer(): void;
  /** Records that the views of the state moved by so many differences. */
  recordDifferences(count: number): void;
  /** Records that the runs of this worker have been reconciled. */
  recordReconciled(): void;
  /** Records that orders to start runs were sent. */
  recordOrders(count: number): void;
  recordMove(stage: MoveStage, outcome: string): void;
  /**
   * Logs the state of the leader and the fleet, at most once a second. The
   * census is taken only then.
   */
  report(queue: QueueView, census: () => LogFields | undefined): void;
  stop(): void;
}

/** `other`: changes without an end, such as a start that is confirmed. */
export type ReportNews = 'none' | 'ends' | 'other';

/** `adopted`: recorded by an earlier leader and taken over by this one. */
export type MoveStage = 'chosen' | 'adopted' | 'ordered' | 'ended';

export interface InstrumentsOptions {
  readonly token: number;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Monotonic time of the election; without it, that of this call. */
  readonly electedMs?: number;
}

/** Interval of the log lines about the leader and the fleet. */
const REPORT_INTERVAL_MS = 1000;
/** Stages times outcomes, with room for outcomes of other providers. */
const MAX_MOVE_SERIES = 32;
const MAX_OUTCOME_SERIES = 4;
const MAX_NEWS_SERIES = 4;

/** Weight of the latest sample in the mean lag: a mean of about 0.2 s. */
const LAG_WEIGHT = 0.2;
/**
 * A timer of a process with time to spare is late by 1 to 3 ms; a change passes
 * through several turns of the event loop, each of which takes this long or
 * longer beyond this lag.
 */
const BUSY_LAG_MS = 10;

/** Sums and maxima since the last report. */
interface Window {
  rounds: number;
  holds: number;
  /** Most holds of one session that were in flight at the same time. */
  holdsInFlight: number;
  reports: number;
  /** Ends in reports that are not recorded yet. */
  ends: number;
  startAnswers: number;
  /** Reports without news. */
  unchanged: number;
  changes: number;
  rejected: number;
  events: number;
  oldestMs: number;
  commitMaxMs: number;
  lagMaxMs: number;
  readonly phaseMs: Map<LeaderPhase, number>;
}

export function createInstruments(
  options: InstrumentsOptions,
): LeaderInstruments {
  const {token, log, metrics} = options;
  const startedMs = performance.now();
  const electedMs = options.electedMs ?? startedMs;
  const phaseTime: Latency = metrics.latency(
    'lentildrift_leader_phase_seconds',
    "Processor time of the parts of the leader's work.",
    LEADER_PHASES.length + 1,
  );
  const eventAge: Latency = metrics.latency(
    'lentildrift_oldest_event_seconds',
    'Age of the oldest event of a change when the change is proposed.',
    1,
  );
  const commitTime: Latency = metrics.latency(
    'lentildrift_commit_seconds',
    'Time from the proposal of a change until it is committed or rejected.',
    MAX_OUTCOME_SERIES,
  );
  const eventCount: Counter = metrics.counter(
    'lentildrift_change_events_total',
    'Events in the changes that were proposed.',
    1,
  );
  const reportCount: Counter = metrics.counter(
    'lentildrift_worker_reports_total',
    "Workers' reports by what they bring.",
    MAX_NEWS_SERIES,
  );
  const differenceCount: Counter = metrics.counter(
    'lentildrift_view_differences_total',
    'Jobs and workers that were updated in the views of the state.',
    1,
  );
  const moveCount: Counter = metrics.counter(
    'lentildrift_moves_total',
    'Moves of hosts between pools by stage and outcome.',
    MAX_MOVE_SERIES,
  );
  /** Time of the phases that ended within the current one. */
  let nestedMs = 0;
  let window = createWindow();
  let reportedMs = startedMs;
  let firstReportMs: number | undefined;
  let hasOrdered = false;
  /** Moving average of the lag of the event loop. */
  let lagMeanMs = 0;
  const probe = startLagProbe(({lagMs}) => {
    window.lagMaxMs = Math.max(window.lagMaxMs, lagMs);
    lagMeanMs += LAG_WEIGHT * (lagMs - lagMeanMs);
  });

  function time<T>(phase: LeaderPhase, work: () => T): T {
    const outerNestedMs = nestedMs;
    nestedMs = 0;
    const beganMs = performance.now();
    try {
      return work();
    } finally {
      const totalMs = performance.now() - beganMs;
      const ownMs = Math.max(0, totalMs - nestedMs);
      nestedMs = outerNestedMs + totalMs;
      phaseTime.record({phase}, ownMs);
      window.phaseMs.set(phase, (window.phaseMs.get(phase) ?? 0) + ownMs);
      if (phase === 'plan') window.rounds++;
    }
  }

  function recordProposal(events: number, oldestMs: number | undefined) {
    const proposedMs = performance.now();
    if (oldestMs !== undefined) {
      const ageMs = proposedMs - oldestMs;
      eventAge.record({}, ageMs);
      window.oldestMs = Math.max(window.oldestMs, ageMs);
    }
    eventCount.add({}, events);
    window.events += events;
    return (outcome: 'committed' | 'rejected') => {
      const tookMs = performance.now() - proposedMs;
      commitTime.record({outcome}, tookMs);
      window.commitMaxMs = Math.max(window.commitMaxMs, tookMs);
      if (outcome === 'committed') window.changes++;
      else window.rejected++;
    };
  }

  function recordOrders(count: number): void {
    if (hasOrdered || count === 0) return;
    hasOrdered = true;
    log.info('takeover', {
      token,
      leadingMs: Math.round(startedMs - electedMs),
      firstReportMs:
        firstReportMs === undefined
          ? undefined
          : Math.round(firstReportMs - electedMs),
      firstOrderMs: Math.round(performance.now() - electedMs),
    });
  }

  function report(
    {queued, oldestMs, isCurrent}: QueueView,
    census: () => LogFields | undefined,
  ): void {
    const nowMs = performance.now();
    if (nowMs - reportedMs < REPORT_INTERVAL_MS) return;
    const {phaseMs, ...sums} = window;
    const waitingMs = oldestMs === undefined ? 0 : nowMs - oldestMs;
    log.info('leader', {
      token,
      current: isCurrent,
      periodMs: Math.round(nowMs - reportedMs),
      queued,
      oldestMs: Math.round(Math.max(sums.oldestMs, waitingMs)),
      rounds: sums.rounds,
      holds: sums.holds,
      holdsInFlight: sums.holdsInFlight,
      reports: sums.reports,
      ends: sums.ends,
      startAnswers: sums.startAnswers,
      unchanged: sums.unchanged,
      changes: sums.changes,
      rejected: sums.rejected,
      events: sums.events,
      commitMaxMs: Math.round(sums.commitMaxMs),
      lagMaxMs: Math.round(sums.lagMaxMs),
      ...Object.fromEntries(
        [...phaseMs].map(([phase, ms]) => [`${phase}Ms`, Math.round(ms)]),
      ),
    });
    const fleet = census();
    if (fleet) log.info('fleet', fleet);
    reportedMs = nowMs;
    window = createWindow();
  }

  return {
    isBusy: () => lagMeanMs > BUSY_LAG_MS,
    time,
    recordProposal,
    recordHold(inFlight) {
      window.holds++;
      window.holdsInFlight = Math.max(window.holdsInFlight, inFlight);
    },
    recordReport(news, ends) {
      reportCount.add({news});
      window.reports++;
      window.ends += ends;
      if (news === 'none') window.unchanged++;
    },
    recordStartAnswer: () => void window.startAnswers++,
    recordDifferences: count => differenceCount.add({}, count),
    recordReconciled: () => void (firstReportMs ??= performance.now()),
    recordOrders,
    recordMove: (stage, outcome) => moveCount.add({stage, outcome}),
    report,
    stop: () => probe.stop(),
  };
}

function createWindow(): Window {
  return {
    rounds: 0,
    holds: 0,
    holdsInFlight: 0,
    reports: 0,
    ends: 0,
    startAnswers: 0,
    unchanged: 0,
    changes: 0,
    rejected: 0,
    events: 0,
    oldestMs: 0,
    commitMaxMs: 0,
    lagMaxMs: 0,
    phaseMs: new Map(),
  };
}
