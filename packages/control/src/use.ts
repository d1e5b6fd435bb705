/** Use reports of entry sessions. */
import type {UseByTeam} from '@lentildrift/protocol';

/**
 * Whether a report should not wait for the next interval: the session is new,
 * is short of slots as it was not before, or has given slots up.
 */
export function isUrgent(
  before: UseByTeam | undefined,
  after: UseByTeam,
): boolean {
  if (!before) return true;
  return Object.entries(after).some(([team, next]) => {
    const old = Object.hasOwn(before, team) ? before[team] : undefined;
    const short = next.demand > next.ceiling;
    if (!old) return short;
    const shorter = short && next.demand > old.demand;
    const gaveUp =
      next.generation === old.generation && next.ceiling < old.ceiling;
    return shorter || gaveUp;
  });
}
