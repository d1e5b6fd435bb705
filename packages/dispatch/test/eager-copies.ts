/** Copies each run that this leader has seen for 250 ms, whatever the pool does. */
import {
  CopyPolicy,
  createPriorRatios,
  LateCopies,
  recordRatio,
  type Copy,
  type CopyInput,
} from '@lentildrift/scheduling';

const EXPECTED_MS = 250;
const LONG_TAIL = Array.from({length: 400}, (_, nth) => (nth % 10 ? 1 : 30));
const RATIOS = LONG_TAIL.reduce(recordRatio, createPriorRatios(0.1));

/** `LateCopies`, with a queue that has a long tail and a budget without limit. */
export class EagerCopies extends CopyPolicy {
  private readonly late = new LateCopies();

  override choose(input: CopyInput): readonly Copy[] {
    const {speculative, byQueue} = input.load;
    const reserved = [...byQueue.keys()].map(
      queue => [queue, {cpuMillis: 1e9, memoryMb: 0, gpus: 0}] as const,
    );
    return this.late.choose({
      ...input,
      load: {speculative, byQueue: new Map(reserved)},
      assess(live) {
        const known = input.assess(live);
        return known && {...known, expectedMs: EXPECTED_MS, ratios: RATIOS};
      },
      independence: () => 1,
    });
  }
}
