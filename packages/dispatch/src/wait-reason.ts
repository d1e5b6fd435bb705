/** Why a job waits, as replies and log lines name it. */
import {createEvacuationCheck} from '@lentildrift/scheduling';
import type {Job, State} from '@lentildrift/queue';
import {z} from 'zod';

export const WaitReason = z.enum([
  /** All workers that could run a step are in evacuated data centres. */
  'evacuated',
]);
export type WaitReason = z.infer<typeof WaitReason>;

/** Why the job waits; undefined if it waits for its turn or does not wait. */
export function findWaitReason(
  state: State,
  job: Job,
  nowMs: number,
): WaitReason | undefined {
  if (state.evacuated.size === 0) return undefined;
  return createEvacuationCheck(state)(job, nowMs) ? 'evacuated' : undefined;
}
