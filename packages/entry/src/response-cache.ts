/** Bounded memory of the first responses to claimed requests. */
import type {CachedResponse} from './exchange.js';

const MAX_TOTAL_BYTES = 16 * 1024 * 1024;
/** Counted for each response beside its body: headers and bookkeeping. */
const OVERHEAD_BYTES = 1024;

export interface ResponseCache {
  get(id: string, nowMs: number): CachedResponse | undefined;
  /** Evicts the oldest responses when the memory is full. */
  set(id: string, kept: CachedResponse, expiresMs: number): void;
}

export function createResponseCache(maxBytes = MAX_TOTAL_BYTES): ResponseCache {
  const held = new Map<string, {kept: CachedResponse; expiresMs: number}>();
  let total = 0;

  function remove(id: string): void {
    const entry = held.get(id);
    if (!entry) return;
    held.delete(id);
    total -= cost(entry.kept);
  }

  return {
    get(id, nowMs) {
      const entry = held.get(id);
      if (entry && entry.expiresMs <= nowMs) remove(id);
      return held.get(id)?.kept;
    },
    set(id, kept, expiresMs) {
      remove(id);
      held.set(id, {kept, expiresMs});
      total += cost(kept);
      for (const oldest of held.keys()) {
        if (total <= maxBytes) break;
        remove(oldest);
      }
    },
  };
}

function cost(kept: CachedResponse): number {
  return kept.body.length + OVERHEAD_BYTES;
}
