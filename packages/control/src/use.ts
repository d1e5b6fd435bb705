/** Comparison of the use that entry sessions report. */
import type {Use} from '@lentildrift/protocol';

/**
 * Whether a report must be sent without waiting for the next interval: the
 * session is new, its shortage of slots has grown, or it has released slots.
 */
export function isUrgent(before: Use | undefined, after: Use): boolean {
  if (!before) return true;
  return Object.entries(after).some(([team, next]) => {
    const previous = Object.hasOwn(before, team) ? before[team] : undefined;
    const isShort = next.demand > next.ceiling;
    if (!previous) return isShort;
    const isShorter = isShort && next.demand > previous.demand;
    const hasLoweredCeiling =
      next.generation === previous.generation &&
      next.ceiling < previous.ceiling;
    return isShorter || hasLoweredCeiling;
  });
}
