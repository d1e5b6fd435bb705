/** An exchange: one call, from the caller's request to its answer. */
import type {Route, Team, Verdict, View} from '@lentildrift/model';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Lease} from './upstream.js';

/** What becomes known on the way, for the answer and the observer. */
export interface CallFacts {
  route?: string;
  team?: string;
  /** Set when the caller went away before its response was complete. */
  callerLeft?: boolean;
  /** First response to the same claimed request. */
  cachedResponse?: CachedResponse;
}

/**
 * Adds what a filter found out. The exchange belongs to its call alone, so it
 * grows in place: copying it at each filter took a tenth of the time of a call.
 */
export function extend<T extends object, F extends object>(
  exchange: T,
  found: F,
): T & F {
  return Object.assign(exchange, found);
}

/** A call as it arrived. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly view: View;
  /** When the call arrived, on the monotonic clock, in milliseconds. */
  readonly arrivedMs: number;
  readonly facts: CallFacts;
}

/** The call's key has been checked. */
export interface Identified extends Exchange {
  /** Absent when no key was shown. */
  readonly callerTeam?: string;
}

export interface Routed extends Identified {
  readonly route: Route;
  /** Path and query that the upstream gets. */
  readonly path: string;
}

export interface Authorised extends Routed {
  readonly team: Team;
}

export interface Admitted extends Authorised {
  /** Gives the slot back; only the first call counts. */
  readonly release: () => void;
}

export interface Claimed extends Admitted {
  /** The idempotency key that was claimed; absent when none was needed. */
  readonly claimedKey?: string;
}

export interface Selected extends Claimed {
  readonly lease: Lease;
}

/** Response that is kept for duplicates of a claimed request. */
export interface CachedResponse {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** How forwarding ended. */
export interface Forwarded extends Claimed {
  readonly verdict: Verdict;
  readonly status: number;
  /** Whether the caller was sent the complete response. */
  readonly complete: boolean;
  readonly cachedResponse?: CachedResponse;
}
