/** Use of the teams' slices, and its differences. */
import type {TeamUse} from './message.js';

/** Team to use. */
export type UseByTeam = Readonly<Record<string, TeamUse>>;

/** Rows of `next` that are not the same in `held`. */
export function diffUse(
  next: UseByTeam,
  held: UseByTeam,
): Record<string, TeamUse> {
  const changed = Object.entries(next).filter(
    ([team, use]) => !Object.hasOwn(held, team) || !isSame(held[team]!, use),
  );
  return Object.fromEntries(changed);
}

function isSame(a: TeamUse, b: TeamUse): boolean {
  return (
    a.running === b.running &&
    a.demand === b.demand &&
    a.generation === b.generation &&
    a.ceiling === b.ceiling
  );
}
