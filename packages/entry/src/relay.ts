/** Passes an upstream's response on to the caller. */
import type {Verdict} from '@lentildrift/model';
import type {CachedResponse, Selected} from './exchange.js';
import {filterResponseHeaders, VERDICT_HEADER} from './header.js';

/** Longest response that is kept for duplicates of a claimed request. */
export const MAX_CACHED_RESPONSE_BYTES = 64 * 1024;

export interface RelayResult {
  readonly verdict: Verdict;
  readonly status: number;
  readonly complete: boolean;
  readonly cachedResponse?: CachedResponse;
}

export interface Relay {
  onHeaders(status: number, headers: readonly (Buffer | string)[]): void;
  /** Returns false when the caller reads too slowly; `resume` follows. */
  onData(chunk: Buffer, resume: () => void): boolean;
  onEnd(): void;
  /** Whether the response has begun. */
  hasStarted(): boolean;
  /** Whether the upstream's response has come to its end. */
  hasEnded(): boolean;
  result(complete: boolean): RelayResult;
}

export function createRelay(exchange: Selected): Relay {
  const {response} = exchange;
  let status = 0;
  let ended = false;
  let headers: string[] = [];
  let chunks: Buffer[] | undefined =
    exchange.claimedKey === undefined ? undefined : [];
  let keptBytes = 0;
  let flowing = false;

  function keep(chunk: Buffer): void {
    keptBytes += chunk.length;
    if (keptBytes > MAX_CACHED_RESPONSE_BYTES) chunks = undefined;
    chunks?.push(chunk);
  }

  return {
    onHeaders(code, raw) {
      status = code;
      headers = filterResponseHeaders(raw);
      headers.push(VERDICT_HEADER, 'ran');
      response.writeHead(code, headers);
      // Usually the body follows in the same packet; otherwise the caller
      // gets the head without waiting for the body.
      process.nextTick(() => {
        if (!flowing && !ended && !response.destroyed) response.flushHeaders();
      });
    },
    onData(chunk, resume) {
      flowing = true;
      if (chunks) keep(chunk);
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
        ended && chunks
          ? {status, headers, body: Buffer.concat(chunks)}
          : undefined;
      return {verdict: 'ran', status, complete, cachedResponse};
    },
  };
}
