/** Workers that may get new runs. */
import {subtract, type Size, type Worker} from '@lentildrift/queue';

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
   * Cores of a cold worker that may still get runs, see `maxColdCpuMillis`;
   * infinite or absent for a warm one, or if the pool has no warm one.
   */
  readonly coldCpuMillisLeft?: number;
  /**
   * Tasks last longer on the worker than elsewhere. May be computed on the first
   * read, from the runs on the worker.
   */
  readonly isSlow?: boolean;
}

/** Whether the worker has just started and is slower than others of its pool. */
export function isCold({coldCpuMillisLeft = Infinity}: Candidate): boolean {
  return coldCpuMillisLeft < Infinity;
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
    readonly coldCpuMillisLeft: number,
    private readonly emptyTimeMs: LazyNumber,
    private readonly isWorkerSlow: (worker: string) => boolean,
  ) {}

  get emptyInMs(): number {
    return this.emptyTimeMs.read();
  }

  get isSlow(): boolean {
    return this.isWorkerSlow(this.key);
  }

  withFree(
    free: Size,
    emptyTimeMs = this.emptyTimeMs,
    coldCpuMillisLeft = this.coldCpuMillisLeft,
  ): LazyCandidate {
    const {key, worker, quarantined, isDue, isWorkerSlow} = this;
    return new LazyCandidate(
      key,
      worker,
      free,
      quarantined,
      isDue,
      coldCpuMillisLeft,
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
  fields: Omit<
    Required<Candidate>,
    'emptyInMs' | 'isSlow' | 'coldCpuMillisLeft'
  > &
    Pick<Candidate, 'coldCpuMillisLeft'>,
  emptyInMs: () => number,
  isWorkerSlow: (worker: string) => boolean = () => false,
): Candidate {
  const {key, worker, free, quarantined, isDue} = fields;
  const {coldCpuMillisLeft = Infinity} = fields;
  return new LazyCandidate(
    key,
    worker,
    free,
    quarantined,
    isDue,
    coldCpuMillisLeft,
    new LazyNumber(emptyInMs),
    isWorkerSlow,
  );
}

/** A copy with other free resources, which does not read `emptyInMs`. */
export function withFree(candidate: Candidate, free: Size): Candidate {
  if (candidate instanceof LazyCandidate) return candidate.withFree(free);
  return {...candidate, free};
}

/** A run that is placed in a round. */
export interface PlacedRun {
  readonly size: Size;
  readonly durationMs: number;
}

/** A copy with one more run. */
export function withRun(
  candidate: Candidate,
  {size, durationMs}: PlacedRun,
): Candidate {
  const free = subtract(candidate.free, size);
  const emptyInMs = Math.max(candidate.emptyInMs, durationMs);
  const coldCpuMillisLeft =
    (candidate.coldCpuMillisLeft ?? Infinity) - size.cpuMillis;
  if (candidate instanceof LazyCandidate) {
    const emptyTimeMs = new LazyNumber(() => emptyInMs);
    return candidate.withFree(free, emptyTimeMs, coldCpuMillisLeft);
  }
  return {...candidate, free, emptyInMs, coldCpuMillisLeft};
}
