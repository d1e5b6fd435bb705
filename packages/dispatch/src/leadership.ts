/**
 * Follows whether this process leads the group: runs the leader while it does,
 * and has requests wait while it takes over.
 */
import type {RaftReplica, ReplicaStatus} from '@lentildrift/consensus';
import type {Change, Outcome, State} from '@lentildrift/queue';
import {createElections} from './elections.js';
import type {LeaderOptions} from './leader-options.js';
import {startLeader, type Leader} from './leader.js';
import {createLocalQueues, type LocalQueues} from './local.js';
import {voterCountFor} from './membership.js';

/** The member of the control group that this process runs. */
export type QueueRaft = RaftReplica<State, Change, readonly Outcome[]>;

/** What each leader that this process runs needs, apart from its term. */
export interface LeadershipOptions extends Omit<
  LeaderOptions,
  'token' | 'electedMs' | 'knownElectionMs' | 'leaderlessMs' | 'isLeader'
> {
  readonly replica: QueueRaft;
  /** Link addresses of the seeds; they may change. */
  seeds(): readonly string[];
  /** Number of hosts that may lose their disks at the same time. */
  readonly toleratedDiskLosses: number;
}

/** Whether this process leads, and the request handler while it does. */
export interface Leadership {
  /**
   * Resolves with the request handler once this process leads and its state is
   * complete, and with undefined if it does not lead. A process that was just
   * elected is waited for up to `TAKEOVER_WAIT_MS`.
   */
  whenLeading(): Promise<LocalQueues | undefined>;
  /** Starts or stops the leader after a change of the member's status. */
  update(): void;
  stop(): Promise<void>;
}

/**
 * How long a request waits in a process that was elected and still applies its
 * log. Senders would otherwise repeat all their requests at once and without
 * pause, which delays the takeover that they wait for. Shorter than the time
 * limit of a relayed attempt, so that a sender learns that the request had no
 * effect.
 */
const TAKEOVER_WAIT_MS = 300;
/** Pause before another attempt to confirm this process's leadership. */
const CONFIRM_RETRY_MS = 50;
/** Longest takeover without a log line, and the interval of the lines after it. */
const TAKEOVER_LOG_INTERVAL_MS = 1000;

/** What an elected process waits for until it leads. */
type TakeoverPhase = 'read-index' | 'apply' | 'voters';

/**
 * Starts the leader when this process becomes the leader, and stops it after.
 */
export function followLeadership(options: LeadershipOptions): Leadership {
  const {replica, log} = options;
  let current: {term: number; leader: Leader; queues: LocalQueues} | undefined;
  /** Term whose leadership is being confirmed, if any. */
  let confirmingTerm: number | undefined;
  /** Term that this process was last elected for, and the monotonic time. */
  let elected = {term: 0, atMs: 0};
  const elections = createElections();
  /** Whether a leader was known at the last change of the member's status. */
  let wasLed = false;
  /** Monotonic time until which a leader was known. */
  let ledUntilMs = -Infinity;
  let retryTimer: NodeJS.Timeout | undefined;
  /** What the takeover of the current term waits for. */
  let phase: TakeoverPhase = 'read-index';
  /** Runs from the election until this process leads or is no longer elected. */
  let takeoverTimer: NodeJS.Timeout | undefined;
  let isStopped = false;
  /** Requests that wait for the end of the takeover. */
  const waiting = new Set<() => void>();

  function releaseWaiting(): void {
    for (const release of waiting) release();
  }

  async function whenLeading(): Promise<LocalQueues | undefined> {
    if (!current && replica.status().role === 'leader') {
      await new Promise<void>(resolve => {
        const release = () => {
          clearTimeout(timer);
          waiting.delete(release);
          resolve();
        };
        const timer = setTimeout(release, TAKEOVER_WAIT_MS);
        waiting.add(release);
      });
    }
    return current?.queues;
  }

  /**
   * Whether the group has enough voters to tolerate the loss of disks. A new
   * group accepts no request before that. Later the member of a lost disk is
   * removed before its successor votes, and meanwhile the group goes on. The
   * applied state must be complete.
   */
  function hasEnoughVoters({voters, revision}: ReplicaStatus): boolean {
    const {seeds, toleratedDiskLosses} = options;
    if (revision > 0) return true;
    return (
      voters.length >=
      Math.min(voterCountFor(toleratedDiskLosses), seeds().length)
    );
  }

  function update(): void {
    if (isStopped) return;
    const status = replica.status();
    const {role, term, leader: known} = status;
    if (wasLed) ledUntilMs = performance.now();
    const leads = role === 'leader';
    elections.note(status);
    if (!leads) {
      releaseWaiting();
      endTakeover();
    }
    if (current && (!leads || current.term !== term)) {
      const {leader} = current;
      current = undefined;
      log.info('not-leading', {term});
      void leader.stop();
    }
    const isLeading = current !== undefined;
    wasLed = leads ? isLeading : known !== undefined;
    if (leads && elected.term !== term) {
      elected = {term, atMs: performance.now()};
      watchTakeover();
    }
    if (!leads || current || confirmingTerm === term) return;
    confirmingTerm = term;
    void confirmLeadership(term);
  }

  /**
   * A wait that never ends rejects nothing, so that the process would lead and
   * answer no request without a word.
   */
  function watchTakeover(): void {
    clearTimeout(takeoverTimer);
    takeoverTimer = setTimeout(() => {
      const {term, voters, revision} = replica.status();
      log.warn('takeover-waits', {
        term,
        phase,
        electedMs: Math.round(performance.now() - elected.atMs),
        voters: voters.length,
        revision,
      });
      watchTakeover();
    }, TAKEOVER_LOG_INTERVAL_MS);
  }

  function endTakeover(): void {
    clearTimeout(takeoverTimer);
    takeoverTimer = undefined;
  }

  /**
   * Starts the leader once an entry of its own term is applied, since only then
   * does the state include everything that earlier leaders committed.
   */
  async function confirmLeadership(term: number): Promise<void> {
    try {
      phase = 'read-index';
      const revision = await replica.readIndex();
      if (confirmingTerm === term) phase = 'apply';
      await replica.waitForRevision(revision);
    } catch (error) {
      if (isStopped) return;
      log.info('leadership-unconfirmed', {
        term,
        reason: (error as Error).message,
      });
      endConfirming(term);
      clearTimeout(retryTimer);
      retryTimer = setTimeout(update, CONFIRM_RETRY_MS);
      return;
    }
    if (isStopped) return;
    endConfirming(term);
    const status = replica.status();
    if (status.role !== 'leader' || status.term !== term) return;
    // The next change of the membership calls `update` again.
    if (!hasEnoughVoters(status)) {
      phase = 'voters';
      return;
    }
    endTakeover();
    const leader = startLeader({
      ...options,
      token: term,
      electedMs: elected.atMs,
      knownElectionMs: token =>
        Math.min(elections.knownMs(token), elected.atMs),
      leaderlessMs: performance.now() - ledUntilMs,
      isLeader: () =>
        replica.status().term === term && replica.isConfirmedLeader(),
    });
    const queues = createLocalQueues({...options, leader});
    current = {term, leader, queues};
    wasLed = true;
    releaseWaiting();
  }

  /**
   * The wait of an earlier term may end while a later one is being confirmed,
   * whose own wait goes on.
   */
  function endConfirming(term: number): void {
    if (confirmingTerm === term) confirmingTerm = undefined;
  }

  return {
    whenLeading,
    update,
    async stop() {
      isStopped = true;
      clearTimeout(retryTimer);
      endTakeover();
      const leader = current?.leader;
      current = undefined;
      releaseWaiting();
      await leader?.stop();
    },
  };
}
