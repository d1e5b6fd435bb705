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
   * Cores of a cold worker that may still get runs, see `maxColdCpuMillis`;
   * infinite or absent for a warm one, or if the pool has no warm one.
   */
  readonly coldCpuMillisLeft?: number;
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
  ) {}

  get emptyInMs(): number {
    return this.emptyTimeMs.read();
  }

  withFree(free: Size): LazyCandidate {
    const {key, worker, quarantined, isDue, coldCpuMillisLeft, emptyTimeMs} =
      this;
    return new LazyCandidate(
      key,
      worker,
      free,
      quarantined,
      isDue,
      coldCpuMillisLeft,
      emptyTimeMs,
    );
  }
}

/**
 * Creates a candidate whose `emptyInMs` takes a walk of the runs on the worker,
 * which no one asks for of a full worker.
 */
export function createCandidate(
  fields: Omit<Required<Candidate>, 'emptyInMs' | 'coldCpuMillisLeft'> &
    Pick<Candidate, 'coldCpuMillisLeft'>,
  emptyInMs: () => number,
): Candidate {
  const {key, worker, free, quarantined, isDue} = fields;
  const {coldCpuMillisLeft = Infinity} = fields;
  const emptyTimeMs = new LazyNumber(emptyInMs);
  return new LazyCandidate(
    key,
    worker,
    free,
    quarantined,
    isDue,
    coldCpuMillisLeft,
    emptyTimeMs,
  );
}

/** A copy with other free resources, which does not read `emptyInMs`. */
export function withFree(candidate: Candidate, free: Size): Candidate {
  if (candidate instanceof LazyCandidate) return candidate.withFree(free);
  return {...candidate, free};
}
