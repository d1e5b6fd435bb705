/** Workers that may get new runs. */
import type {Size, Worker} from '@lentildrift/queue';

/** A worker that may get new runs, with its free resources. */
export interface Candidate {
  /** Key of the worker's incarnation. */
  readonly key: string;
  readonly worker: Worker;
  readonly free: Size;
  /**
   * Expected time until the worker is idle if it gets no new runs. May be
   * computed on the first read, from the runs on the worker.
   */
  readonly emptyInMs: number;
  /** Quarantined after failures: chosen only if no other worker fits. */
  readonly quarantined: boolean;
  /** A maintenance wave is going to empty the worker's host. */
  readonly isDue?: boolean;
  /**
   * Tasks last longer on the worker than elsewhere. May be computed on the first
   * read, from the runs on the worker.
   */
  readonly isSlow?: boolean;
}

/**
 * A number that is computed on the first read. Objects that share a prototype
 * are cheap to create; a getter in an object literal gives each object a layout
 * of its own, and all code that reads such objects becomes slow.
 */
export class LazyNumber {
  private value: number | undefined;

  constructor(private readonly compute: () => number) {}

  read(): number {
    return (this.value ??= this.compute());
  }
}

class LazyCandidate implements Candidate {
  constructor(
    readonly key: string,
    readonly worker: Worker,
    readonly free: Size,
    readonly quarantined: boolean,
    readonly isDue: boolean,
    private readonly emptyTimeMs: LazyNumber,
    private readonly isWorkerSlow: (worker: string) => boolean,
  ) {}

  get emptyInMs(): number {
    return this.emptyTimeMs.read();
  }

  get isSlow(): boolean {
    return this.isWorkerSlow(this.key);
  }

  withFree(free: Size, emptyTimeMs = this.emptyTimeMs): LazyCandidate {
    const {key, worker, quarantined, isDue, isWorkerSlow} = this;
    return new LazyCandidate(
      key,
      worker,
      free,
      quarantined,
      isDue,
      emptyTimeMs,
      isWorkerSlow,
    );
  }
}

/**
 * Creates a candidate some of whose fields take a walk of the runs on the
 * worker. No one asks for `emptyInMs` of a full worker, and few for `isSlow`,
 * which `isWorkerSlow` tells by worker key.
 */
export function createCandidate(
  fields: Omit<Required<Candidate>, 'emptyInMs' | 'isSlow'>,
  emptyInMs: () => number,
  isWorkerSlow: (worker: string) => boolean = () => false,
): Candidate {
  const {key, worker, free, quarantined, isDue} = fields;
  return new LazyCandidate(
    key,
    worker,
    free,
    quarantined,
    isDue,
    new LazyNumber(emptyInMs),
    isWorkerSlow,
  );
}

/** A copy with other free resources, which does not read `emptyInMs`. */
export function withFree(candidate: Candidate, free: Size): Candidate {
  if (candidate instanceof LazyCandidate) return candidate.withFree(free);
  return {...candidate, free};
}

/** A copy with one more run, which has been deducted from `free`. */
export function withRun(
  candidate: Candidate,
  free: Size,
  emptyInMs: number,
): Candidate {
  if (candidate instanceof LazyCandidate) {
    return candidate.withFree(free, new LazyNumber(() => emptyInMs));
  }
  return {...candidate, free, emptyInMs};
}
