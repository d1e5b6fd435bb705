/** Relays an upstream's response to the caller. */
import type {Verdict} from '@lentildrift/model';
import type {CachedResponse, Selected} from './exchange.js';
import {filterResponseHeaders, VERDICT_HEADER} from './header.js';

/** Longest response body that is cached for duplicates. */
export const MAX_CACHED_RESPONSE_BYTES = 64 * 1024;

/** How the relay of a response ended. */
export interface RelayResult {
  readonly verdict: Verdict;
  readonly status: number;
  /** Whether the complete response was sent to the caller. */
  readonly complete: boolean;
  /**
   * The response to cache for duplicates; absent for a call without a claim,
   * and for a response that is incomplete or too long.
   */
  readonly cachedResponse?: CachedResponse;
}

export interface Relay {
  onHeaders(status: number, headers: readonly (Buffer | string)[]): void;
  /**
   * Returns false when the caller reads too slowly; `resume` is called once the
   * caller has caught up.
   */
  onData(chunk: Buffer, resume: () => void): boolean;
  onEnd(): void;
  /** Whether the response has begun. */
  hasStarted(): boolean;
  /** Whether the upstream's response is complete. */
  hasEnded(): boolean;
  result(complete: boolean): RelayResult;
}

export function createRelay(exchange: Selected): Relay {
  const {response} = exchange;
  let status = 0;
  let ended = false;
  let headers: string[] = [];
  let cachedChunks: Buffer[] | undefined =
    exchange.claimedKey === undefined ? undefined : [];
  let cachedBytes = 0;
  let bodyStarted = false;

  function cacheChunk(chunk: Buffer): void {
    cachedBytes += chunk.length;
    if (cachedBytes > MAX_CACHED_RESPONSE_BYTES) cachedChunks = undefined;
    cachedChunks?.push(chunk);
  }

  return {
    onHeaders(code, raw) {
      status = code;
      headers = filterResponseHeaders(raw);
      headers.push(VERDICT_HEADER, 'ran');
      response.writeHead(code, headers);
      // The headers are usually sent in one packet with the body. If no body
      // has arrived by the next tick, the headers are sent alone.
      process.nextTick(() => {
        if (!bodyStarted && !ended && !response.destroyed)
          response.flushHeaders();
      });
    },
    onData(chunk, resume) {
      bodyStarted = true;
      if (cachedChunks) cacheChunk(chunk);
      if (response.write(chunk)) return true;
      response.once('drain', resume);
      return false;
    },
    onEnd() {
      ended = true;
      response.end();
    },
    hasStarted: () => status !== 0,
    hasEnded: () => ended,
    result(complete) {
      const cachedResponse =
        ended && cachedChunks
          ? {status, headers, body: Buffer.concat(cachedChunks)}
          : undefined;
      return {verdict: 'ran', status, complete, cachedResponse};
    },
  };
}
