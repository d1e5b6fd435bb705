/**
 * The safety mechanisms of an entry host. Each is one overridable method, so
 * that a test can replace it by a weaker one and show that a check fails
 * without it; no setting reaches them.
 */
import type {Route, Verdict} from '@lentildrift/model';

export const FRESHNESS_LEASE_MS = 3000;

const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

export class EntryRules {
  /** End of the freshness lease that a sync sent at `sentMs` renews. */
  leaseEndMs(sentMs: number): number {
    return sentMs + FRESHNESS_LEASE_MS;
  }

  /** Whether one more call of a team may run. */
  canAdmit(running: number, ceiling: number): boolean {
    return running < ceiling;
  }

  /** Whether a request that may have run may be sent again. */
  canRetry(route: Route, method: string): boolean {
    if (route.repeat === 'once') return false;
    return route.repeat === 'idempotent' || SAFE_METHODS.has(method);
  }

  /** The verdict of a request without an answer. */
  verdictWithoutResponse(mayHaveRun: boolean): Verdict {
    return mayHaveRun ? 'may-have-run' : 'not-run';
  }

  /** Whether a response that broke off breaks the caller's connection. */
  closesOnTruncatedResponse(): boolean {
    return true;
  }

  /** Whether an idempotency key is claimed before the request is sent. */
  claimsBeforeForwarding(route: Route): boolean {
    return route.repeat === 'once';
  }

  /** Whether an upstream that left is remembered against late announcements. */
  keepsTombstones(): boolean {
    return true;
  }

  /** Whether a stop waits for the calls in flight. */
  drainsOnStop(): boolean {
    return true;
  }

  /** Whether lease and key are checked again before the first byte is sent. */
  revalidatesBeforeSending(): boolean {
    return true;
  }
}
