/** Calls that wait for their team's slice to grow. No I/O; times are arguments. */

/**
 * Longest wait. Slots that are free in the fleet arrive within one early sync
 * and one decision of the leader.
 */
export const SLICE_WAIT_MS = 500;
/** A team's calls that wait at one entry host; more are refused at once. */
const MAX_WAITING = 64;

export interface WaitQueue<T> {
  /** Returns false when the team's line is full. */
  add(team: string, item: T, nowMs: number): boolean;
  /** Takes items in order for as long as `accept` takes them. */
  serve(accept: (item: T) => boolean): void;
  /** Removes and returns what has waited too long. */
  expired(nowMs: number): readonly T[];
  /** When the next item expires; undefined when none waits. */
  nextExpiryMs(): number | undefined;
  size(): number;
}

interface Waiting<T> {
  readonly item: T;
  readonly untilMs: number;
}

export function createQueue<T>(): WaitQueue<T> {
  const lines = new Map<string, Waiting<T>[]>();

  function serveLine(line: Waiting<T>[], accept: (item: T) => boolean): void {
    while (line.length > 0 && accept(line[0]!.item)) line.shift();
  }

  return {
    add(team, item, nowMs) {
      const line = lines.get(team) ?? [];
      if (line.length >= MAX_WAITING) return false;
      line.push({item, untilMs: nowMs + SLICE_WAIT_MS});
      lines.set(team, line);
      return true;
    },
    serve(accept) {
      for (const [team, line] of lines) {
        serveLine(line, accept);
        if (line.length === 0) lines.delete(team);
      }
    },
    expired(nowMs) {
      const late: T[] = [];
      for (const [team, line] of lines) {
        // Items of one line expire in the order in which they came.
        while (line.length > 0 && line[0]!.untilMs <= nowMs) {
          late.push(line.shift()!.item);
        }
        if (line.length === 0) lines.delete(team);
      }
      return late;
    },
    nextExpiryMs() {
      const first = [...lines.values()].map(line => line[0]!.untilMs);
      return first.length > 0 ? Math.min(...first) : undefined;
    },
    size: () => [...lines.values()].reduce((sum, line) => sum + line.length, 0),
  };
}
