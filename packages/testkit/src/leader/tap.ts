/** Times the messages that tasks handle, and counts their work. */
import type {TaskSystem} from '@lentildrift/task';

/** Times of the messages of one kind, in milliseconds. */
export interface MessageTimes {
  readonly count: number;
  readonly totalMs: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
  /** Median of the work for one message. */
  readonly p50Work: number;
}

export interface TaskTap {
  readonly tasks: TaskSystem;
  /** Times since the last call of `clear`, by kind of message. */
  times(kind: string): MessageTimes;
  kinds(): string[];
  clear(): void;
}

/**
 * Wraps `tasks` so that the synchronous part of each handler is timed. The time
 * is that of the clock, so it includes what other processes took from this one.
 * `kindOf` names the kind of a message; messages without one are not timed.
 * `workDone` is a counter of work done so far.
 */
export function tapTasks(
  tasks: TaskSystem,
  kindOf: (task: string, message: object) => string | undefined,
  workDone: () => number = () => 0,
): TaskTap {
  const samplesByKind = new Map<string, Sample[]>();

  function record(task: string, message: object, sample: Sample): void {
    const kind = kindOf(task, message);
    if (kind === undefined) return;
    const samples = samplesByKind.get(kind);
    if (samples) samples.push(sample);
    else samplesByKind.set(kind, [sample]);
  }

  return {
    tasks: {
      spawn: spec =>
        tasks.spawn({
          ...spec,
          handle(state, message, self) {
            const beganMs = performance.now();
            const workBefore = workDone();
            try {
              return spec.handle(state, message, self);
            } finally {
              record(spec.name, message, {
                ms: performance.now() - beganMs,
                work: workDone() - workBefore,
              });
            }
          },
        }),
      stop: () => tasks.stop(),
    },
    times: kind => summarize(samplesByKind.get(kind) ?? []),
    kinds: () => [...samplesByKind.keys()].sort(),
    clear: () => samplesByKind.clear(),
  };
}

interface Sample {
  readonly ms: number;
  readonly work: number;
}

function summarize(samples: readonly Sample[]): MessageTimes {
  const times = samples.map(({ms}) => ms).sort((a, b) => a - b);
  const works = samples.map(({work}) => work).sort((a, b) => a - b);
  const totalMs = times.reduce((sum, ms) => sum + ms, 0);
  const count = samples.length;
  const at = (sorted: readonly number[], quantile: number) =>
    sorted[Math.floor(count * quantile)] ?? 0;
  return {
    count,
    totalMs,
    meanMs: count === 0 ? 0 : totalMs / count,
    p50Ms: at(times, 0.5),
    p99Ms: at(times, 0.99),
    maxMs: times.at(-1) ?? 0,
    p50Work: at(works, 0.5),
  };
}
