/** One budget of bytes that all holders of a process share. */

/** A holding up to this size may use the part that is kept for small ones. */
export const SMALL_HOLDING_BYTES = 64 * 1024;
/** Part of the budget that only small holdings may use. */
const SMALL_PART = 1 / 4;
/** A holder may pause this long before its bytes are given to another. */
const STALL_GRACE_MS = 1000;

/** Something that holds bytes on behalf of a client, such as a connection. */
export interface Holder {
  /** Bytes that it holds; only the budget writes it. */
  heldBytes: number;
  /**
   * Time on the clock of the budget since which the client has kept it waiting;
   * undefined if it does not wait for its client.
   */
  waitsSinceMs(): number | undefined;
  /** Gives up what it waits for. Releases bytes before it returns. */
  evict(): void;
}

export interface Budget {
  /**
   * Reserves bytes before they are used, and evicts holders that wait for their
   * clients if there is no room. Returns false if there is none all the same.
   */
  reserve(holder: Holder, bytes: number): boolean;
  release(holder: Holder, bytes: number): void;
  usedBytes(): number;
  /**
   * Most that is reserved for one parsed value, so that the largest body is
   * served when nothing else is in flight.
   */
  largestValueBytes(): number;
}

export function createBudget(
  limitBytes: number,
  nowMs: () => number = () => performance.now(),
): Budget {
  const commonBytes = limitBytes - Math.floor(limitBytes * SMALL_PART);
  const holders = new Set<Holder>();
  let usedBytes = 0;

  function release(holder: Holder, bytes: number): void {
    const released = Math.min(bytes, holder.heldBytes);
    holder.heldBytes -= released;
    usedBytes -= released;
    if (holder.heldBytes === 0) holders.delete(holder);
  }

  /** Evicts the longest waiting first until `isEnough`. */
  function evictWaiting(except: Holder, isEnough: () => boolean): boolean {
    const latestMs = nowMs() - STALL_GRACE_MS;
    const waiting: {holder: Holder; sinceMs: number}[] = [];
    for (const holder of holders) {
      const sinceMs = holder.waitsSinceMs();
      if (holder === except || sinceMs === undefined) continue;
      if (sinceMs <= latestMs) waiting.push({holder, sinceMs});
    }
    waiting.sort((a, b) => a.sinceMs - b.sinceMs);
    for (const {holder} of waiting) {
      if (isEnough()) break;
      holder.evict();
    }
    return isEnough();
  }

  return {
    reserve(holder, bytes) {
      const isSmall = holder.heldBytes + bytes <= SMALL_HOLDING_BYTES;
      const allowedBytes = isSmall ? limitBytes : commonBytes;
      const fits = () => usedBytes + bytes <= allowedBytes;
      if (!fits() && !evictWaiting(holder, fits)) return false;
      if (holder.heldBytes === 0) holders.add(holder);
      holder.heldBytes += bytes;
      usedBytes += bytes;
      return true;
    },
    release,
    usedBytes: () => usedBytes,
    largestValueBytes: () => Math.floor(commonBytes / 2),
  };
}
