/** An entry process of the queues: passes requests on to the leader. */
import type {Log} from '@lentildrift/observe';
import type {TaskSystem} from '@lentildrift/task';
import {createMesh} from './mesh.js';
import {RemoteService} from './remote.js';
import type {QueueService} from './request.js';

export interface QueueEntryOptions {
  readonly name: string;
  seeds(): readonly string[];
  readonly tasks: TaskSystem;
  readonly log: Log;
}

export interface QueueEntry {
  readonly service: QueueService;
  /** Whether requests can be expected to be answered. */
  isReady(): boolean;
  refreshSeeds(): void;
  stop(): Promise<void>;
}

/** A change of leader is no reason to send callers elsewhere. */
const READY_GRACE_MS = 2500;

export function startQueueEntry(options: QueueEntryOptions): QueueEntry {
  const {log} = options;
  let leaderMs = -Infinity;
  const mesh = createMesh({
    ...options,
    onChange: () => {
      if (mesh.hasLeader()) leaderMs = performance.now();
    },
  });

  return {
    service: new RemoteService({mesh, log}),
    isReady() {
      if (mesh.hasLeader()) leaderMs = performance.now();
      return performance.now() - leaderMs < READY_GRACE_MS;
    },
    refreshSeeds: () => mesh.refresh(),
    stop: () => mesh.stop(),
  };
}
