import type {Holder, Budget} from '../src/index.js';

/** A holder that waits for its client since `sinceMs`. */
export function createHolder(
  budget: Budget,
  sinceMs?: number,
): Holder & {evicted: number} {
  const holder = {
    heldBytes: 0,
    evicted: 0,
    waitsSinceMs: () => sinceMs,
    evict() {
      holder.evicted += 1;
      budget.release(holder, holder.heldBytes);
    },
  };
  return holder;
}
