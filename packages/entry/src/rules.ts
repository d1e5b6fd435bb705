/**
 * The safety mechanisms of an entry host. Each mechanism is one method, so that
 * a test can override it with a weaker one and show that a check fails without
 * the mechanism. No setting can disable a mechanism.
 */
import type {Route, Verdict} from '@lentildrift/model';

/** Time after the send of a sync for which its configuration may be used. */
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

  /** The verdict on a request that received no response. */
  verdictWithoutResponse(mayHaveRun: boolean): Verdict {
    return mayHaveRun ? 'may-have-run' : 'not-run';
  }

  /** Whether the caller's connection is closed when a response breaks off. */
  closesOnTruncatedResponse(): boolean {
    return true;
  }

  /** Whether the idempotency key is claimed before a request is forwarded. */
  claimsBeforeForwarding(route: Route): boolean {
    return route.repeat === 'once';
  }

  /**
   * Whether an upstream that left stays in the roster as a tombstone, so that a
   * delayed announcement does not add the upstream again.
   */
  keepsTombstones(): boolean {
    return true;
  }

  /** Whether a stop waits for calls in flight. */
  drainsOnStop(): boolean {
    return true;
  }

  /**
   * Whether lease and key are checked again before the first byte is written.
   */
  revalidatesBeforeSending(): boolean {
    return true;
  }
}
