/** An exchange: one call, from the caller's request to its answer. */
import type {Route, RosterRecord, Team, View} from '@lentildrift/model';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** A call as it arrived. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly view: View;
  /** When the call arrived, on the monotonic clock, in milliseconds. */
  readonly arrivedMs: number;
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

export interface Selected extends Admitted {
  readonly upstream: RosterRecord;
}
