/** Random numbers from a seed, also for code that asks the system for them. */
import crypto from 'node:crypto';
import {syncBuiltinESMExports} from 'node:module';
import prand, {type RandomGenerator} from 'pure-rand';

const MAX_INT = 0x7fffffff;

export class Random {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = prand.skipN(prand.xoroshiro128plus(seed), 64);
  }

  /** An integer from `from` to `to`, both included. */
  int(from: number, to: number): number {
    return prand.unsafeUniformIntDistribution(from, to, this.generator);
  }

  chance(percent: number): boolean {
    return this.int(1, 100) <= percent;
  }

  pick<T>(items: readonly T[]): T {
    return items[this.int(0, items.length - 1)]!;
  }
}

/**
 * Makes session IDs, keys and choices of upstreams follow the seed, so that a
 * run can be repeated. Returns what undoes it.
 */
export function seedSystemRandom(seed: number): () => void {
  const random = new Random(seed);
  const {randomUUID, randomInt} = crypto;
  const mathRandom = Math.random;
  const hex = (digits: number) =>
    Array.from({length: digits}, () => random.int(0, 15).toString(16)).join('');
  const groups = [8, 4, 4, 4, 12];
  const replaced = crypto as unknown as Record<string, unknown>;
  replaced['randomUUID'] = () => groups.map(hex).join('-');
  replaced['randomInt'] = (from: number, to: number) =>
    from + (random.int(0, MAX_INT) % (to - from));
  Math.random = () => random.int(0, MAX_INT - 1) / MAX_INT;
  syncBuiltinESMExports();
  return () => {
    Object.assign(crypto, {randomUUID, randomInt});
    Math.random = mathRandom;
    syncBuiltinESMExports();
  };
}
