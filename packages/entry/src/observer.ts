/** Observation of finished calls, for metrics and reports. */
import type {RefusalCode, Verdict} from '@lentildrift/model';

export interface FinishedCall {
  /** Absent when the call matched no route. */
  readonly route?: string;
  /** Absent when the call was refused before its team was known. */
  readonly team?: string;
  readonly verdict: Verdict;
  /** Why the call was refused or failed; absent for an answered call. */
  readonly code?: RefusalCode;
  /** HTTP status sent to the caller; 0 when none was sent. */
  readonly status: number;
  /** Whether the complete response was sent to the caller. */
  readonly complete: boolean;
  /** Whether the caller disconnected before the response was complete. */
  readonly callerLeft?: boolean;
  readonly durationMs: number;
}

export abstract class CallObserver {
  abstract onCallFinished(call: FinishedCall): void;
}

/** Ignores all calls. */
export class NullObserver extends CallObserver {
  override onCallFinished(): void {}
}
