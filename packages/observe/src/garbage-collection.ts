/** Time that garbage collection takes from the process. */
import {PerformanceObserver} from 'node:perf_hooks';

export interface CollectionProbe {
  stop(): void;
}

/**
 * Calls `onCollection` with the duration of each garbage collection, in a later
 * turn of the event loop. The probe does not keep the process alive.
 */
export function startCollectionProbe(
  onCollection: (durationMs: number) => void,
): CollectionProbe {
  const observer = new PerformanceObserver(list => {
    for (const {duration} of list.getEntries()) onCollection(duration);
  });
  observer.observe({entryTypes: ['gc']});
  return {stop: () => observer.disconnect()};
}
