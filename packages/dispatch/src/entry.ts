/**
 * An entry process of the queue system, which forwards requests to the leader.
 */
import type {Log} from '@lentildrift/observe';
import type {TaskSystem} from '@lentildrift/task';
import {createMesh} from './mesh.js';
import {RemoteService} from './remote.js';
import type {QueueService} from './request.js';

export interface QueueEntryOptions {
  /** Name of this process in its links to control processes. */
  readonly name: string;
  /** Addresses of control processes from the settings; they may change. */
  seeds(): readonly string[];
  readonly tasks: TaskSystem;
  readonly log: Log;
}

export interface QueueEntry {
  readonly service: QueueService;
  /** Whether a leader is known, or was until `READY_GRACE_MS` ago. */
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

export function startQueueEntry(options: QueueEntryOptions): QueueEntry {
  const {log} = options;
  /** Monotonic time at which a leader was last known. */
  let leaderKnownMs = -Infinity;
  const mesh = createMesh({
    ...options,
    onChange: () => {
      if (mesh.hasLeader()) leaderKnownMs = performance.now();
    },
  });

  return {
    service: new RemoteService({mesh, log}),
    isReady() {
      if (mesh.hasLeader()) leaderKnownMs = performance.now();
      return performance.now() - leaderKnownMs < READY_GRACE_MS;
    },
    refreshSeeds: () => mesh.refresh(),
    stop: () => mesh.stop(),
  };
}
