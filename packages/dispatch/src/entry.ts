/**
 * An entry process of the queue system, which forwards requests to the leader.
 */
import {RELAXED_PING_INTERVAL_MS} from '@lentildrift/link';
import type {Log, Metrics} from '@lentildrift/observe';
import type {TaskSystem} from '@lentildrift/task';
import {createMesh} from './mesh.js';
import {RemoteService} from './remote.js';
import type {QueueService} from './request.js';
import {z} from 'zod';

export interface QueueEntryOptions {
  /** Name of this process in its links to control processes. */
  readonly name: string;
  /** Addresses of control processes from the settings; they may change. */
  seeds(): readonly string[];
  readonly tasks: TaskSystem;
  readonly log: Log;
  readonly metrics?: Metrics;
}

export interface QueueEntry {
  readonly service: QueueService;
  /**
   * Whether a leader that serves is known, or was until `READY_GRACE_MS` ago, by
   * a process that was heard from within `CONFIRMATION_LIMIT_MS`.
   */
  isReady(): boolean;
  /** Reads `seeds` again and opens or closes links accordingly. */
  refreshSeeds(): void;
  stop(): Promise<void>;
}

/**
 * The entry stays ready for this long without a known leader, so that callers
 * are not sent elsewhere during a change of leader.
 */
const READY_GRACE_MS = 2500;
/**
 * A process that names a leader answers each ping, so that one that has been
 * silent for this long may be frozen or cut off, and the leader another one or
 * none. The link closes later, unless a request waits for its answer.
 */
const CONFIRMATION_LIMIT_MS = RELAXED_PING_INTERVAL_MS + READY_GRACE_MS;

/** Why an entry process is not ready. */
const UnreadyReason = z.enum([
  /** No process names a leader. */
  'no-leader',
  /** The leader has been elected and has not taken over yet. */
  'takeover',
  /** No process that names a leader has been heard from lately. */
  'unconfirmed',
]);
type UnreadyReason = z.infer<typeof UnreadyReason>;

export function startQueueEntry(options: QueueEntryOptions): QueueEntry {
  const {log, metrics} = options;
  const unready = metrics?.gauge(
    'lentildrift_entry_unready',
    'Whether the entry process is not ready, by reason.',
    UnreadyReason.options.length,
  );
  /** Monotonic time at which a leader that serves was last known. */
  let leaderKnownMs = -Infinity;
  let loggedReason: UnreadyReason | 'ready' | undefined;
  const mesh = createMesh({...options, onChange: noteLeader});

  function noteLeader(): void {
    if (!mesh.hasLeader() || mesh.isTakeoverPending()) return;
    leaderKnownMs = performance.now();
  }

  function unreadyReason(): UnreadyReason | undefined {
    noteLeader();
    const nowMs = performance.now();
    if (nowMs - leaderKnownMs >= READY_GRACE_MS) {
      return mesh.hasLeader() ? 'takeover' : 'no-leader';
    }
    const isConfirmed =
      !mesh.hasLeader() ||
      nowMs - mesh.leaderConfirmedMs() < CONFIRMATION_LIMIT_MS;
    return isConfirmed ? undefined : 'unconfirmed';
  }

  return {
    service: new RemoteService({mesh, log}),
    isReady() {
      const reason = unreadyReason();
      if ((reason ?? 'ready') !== loggedReason) {
        loggedReason = reason ?? 'ready';
        for (const each of UnreadyReason.options) {
          unready?.set({reason: each}, each === reason ? 1 : 0);
        }
        if (reason) log.warn('entry-unready', {reason});
        else log.info('entry-ready');
      }
      return reason === undefined;
    },
    refreshSeeds: () => mesh.refresh(),
    stop: () => mesh.stop(),
  };
}
