/**
 * Tells a new leader since when nobody has accepted jobs, so that it does not
 * take the time of the change of leader for the end of a burst.
 */
import type {State} from '@lentildrift/queue';
import {NO_INTAKE_PAUSE, type IntakePause} from '@lentildrift/scheduling';
import {STALE_LEADER_MS} from './timing.js';

/**
 * The pause begins with the last job that was accepted, but no sooner than the
 * earlier leader can have stopped. `leaderlessMs` counts only from when the
 * members noticed the stop.
 */
export function measureIntakePause(
  {jobs}: Pick<State, 'jobs'>,
  leaderlessMs: number,
  nowMs: number,
): IntakePause {
  let lastAcceptedMs = -Infinity;
  for (const {acceptedAtMs} of jobs.values()) {
    if (acceptedAtMs > nowMs) continue;
    lastAcceptedMs = Math.max(lastAcceptedMs, acceptedAtMs);
  }
  if (lastAcceptedMs === -Infinity) return NO_INTAKE_PAUSE;
  const earliestMs = nowMs - leaderlessMs - STALE_LEADER_MS;
  return {fromMs: Math.max(lastAcceptedMs, earliestMs), untilMs: nowMs};
}
