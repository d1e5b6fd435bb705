/** Cache of bounded size for the first responses to claimed requests. */
import type {CachedResponse} from './exchange.js';

const MAX_TOTAL_BYTES = 16 * 1024 * 1024;
/** Counted for the headers and bookkeeping of each response. */
const OVERHEAD_BYTES = 1024;

export interface ResponseCache {
  /** Returns the response of a claim ID, unless it has expired. */
  get(id: string, nowMs: number): CachedResponse | undefined;
  /** Adds a response; evicts the oldest ones when the cache is full. */
  set(id: string, response: CachedResponse, expiresMs: number): void;
}

export function createResponseCache(maxBytes = MAX_TOTAL_BYTES): ResponseCache {
  const entries = new Map<
    string,
    {response: CachedResponse; expiresMs: number}
  >();
  let totalBytes = 0;

  function remove(id: string): void {
    const entry = entries.get(id);
    if (!entry) return;
    entries.delete(id);
    totalBytes -= sizeOf(entry.response);
  }

  return {
    get(id, nowMs) {
      const entry = entries.get(id);
      if (entry && entry.expiresMs <= nowMs) remove(id);
      return entries.get(id)?.response;
    },
    set(id, response, expiresMs) {
      remove(id);
      entries.set(id, {response, expiresMs});
      totalBytes += sizeOf(response);
      for (const oldest of entries.keys()) {
        if (totalBytes <= maxBytes) break;
        remove(oldest);
      }
    },
  };
}

function sizeOf(response: CachedResponse): number {
  return response.body.length + OVERHEAD_BYTES;
}
