/** Seeded random numbers, also for code that uses the random functions of Node. */
import crypto from 'node:crypto';
import {syncBuiltinESMExports} from 'node:module';
import prand, {type RandomGenerator} from 'pure-rand';

const MAX_INT = 0x7fffffff;

export class Random {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = prand.skipN(prand.xoroshiro128plus(seed), 64);
  }

  /** Returns a random integer from `from` to `to`, both inclusive. */
  int(from: number, to: number): number {
    return prand.unsafeUniformIntDistribution(from, to, this.generator);
  }

  /** Returns true with a probability of `percent`. */
  chance(percent: number): boolean {
    return this.int(1, 100) <= percent;
  }

  pick<T>(items: readonly T[]): T {
    return items[this.int(0, items.length - 1)]!;
  }
}

/**
 * Replaces `Math.random`, `randomUUID` and `randomInt` by seeded versions, so that
 * session IDs, keys and upstream selection are reproducible. Returns a function
 * that restores the original ones.
 */
export function seedSystemRandom(seed: number): () => void {
  const random = new Random(seed);
  const {randomUUID, randomInt} = crypto;
  const mathRandom = Math.random;
  const hex = (digits: number) =>
    Array.from({length: digits}, () => random.int(0, 15).toString(16)).join('');
  const uuidGroupLengths = [8, 4, 4, 4, 12];
  const mutableCrypto = crypto as unknown as Record<string, unknown>;
  mutableCrypto['randomUUID'] = () => uuidGroupLengths.map(hex).join('-');
  mutableCrypto['randomInt'] = (from: number, to: number) =>
    from + (random.int(0, MAX_INT) % (to - from));
  Math.random = () => random.int(0, MAX_INT - 1) / MAX_INT;
  syncBuiltinESMExports();
  return () => {
    Object.assign(crypto, {randomUUID, randomInt});
    Math.random = mathRandom;
    syncBuiltinESMExports();
  };
}
