/** What is told of each finished call, for metrics and reports. */
import type {RefusalCode, Verdict} from '@lentildrift/model';

export interface FinishedCall {
  /** Absent when the call matched no route. */
  readonly route?: string;
  /** Absent when the call was refused before its team was known. */
  readonly team?: string;
  readonly verdict: Verdict;
  /** Why the call was refused or failed; absent for an answered call. */
  readonly code?: RefusalCode;
  /** HTTP status that the caller was sent; 0 when none was. */
  readonly status: number;
  /** Whether the caller was sent the complete response. */
  readonly complete: boolean;
  /** Whether the caller went away before that. */
  readonly callerLeft?: boolean;
  readonly durationMs: number;
}

export abstract class CallObserver {
  abstract onCallFinished(call: FinishedCall): void;
}

/** Takes no notice. */
export class NullObserver extends CallObserver {
  override onCallFinished(): void {}
}
