import {PassThrough} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {gatherBody, type BodyOutcome} from '../src/index.js';

interface Case {
  readonly maxBytes?: number;
  readonly announcedBytes?: number;
  readonly budgetBytes?: number;
}

function startGathering(options: Case = {}) {
  const source = new PassThrough();
  const {maxBytes = 100_000, budgetBytes = Infinity} = options;
  let heldBytes = 0;
  let peakBytes = 0;
  const outcomes: BodyOutcome[] = [];
  const gathering = gatherBody(source, {
    maxBytes,
    announcedBytes: options.announcedBytes,
    reserve(bytes) {
      if (heldBytes + bytes > budgetBytes) return false;
      heldBytes += bytes;
      peakBytes = Math.max(peakBytes, heldBytes);
      return true;
    },
    release: bytes => (heldBytes -= bytes),
    onProgress: () => undefined,
    onOutcome: outcome => outcomes.push(outcome),
  });
  const settle = () => new Promise(resolve => setImmediate(resolve));
  return {
    source,
    outcomes,
    gathering,
    settle,
    held: () => heldBytes,
    peak: () => peakBytes,
  };
}

describe('a body', () => {
  it('in chunks of one byte takes no more than twice its size', async () => {
    const {source, outcomes, settle, peak} = startGathering();
    for (let i = 0; i < 50_000; i++) source.write('x');
    source.end();
    await settle();
    await settle();
    expect(outcomes).toEqual([{type: 'complete', text: 'x'.repeat(50_000)}]);
    expect(peak()).toBeLessThanOrEqual(100_000);
  });

  it('is decoded right when a character is split between chunks', async () => {
    const {source, outcomes, settle} = startGathering();
    const bytes = Buffer.from('a€b');
    source.write(bytes.subarray(0, 2));
    source.end(bytes.subarray(2));
    await settle();
    expect(outcomes).toEqual([{type: 'complete', text: 'a€b'}]);
  });

  it('is refused before its first byte when its announced length is too large', () => {
    const {outcomes, held} = startGathering({announcedBytes: 100_001});
    expect(outcomes).toEqual([{type: 'refused', reason: 'body-too-large'}]);
    expect(held()).toBe(0);
  });

  it('of exactly the largest size is taken, and one byte more is refused', async () => {
    for (const [bytes, type] of [
      [10_000, 'complete'],
      [10_001, 'refused'],
    ] as const) {
      const {source, outcomes, settle} = startGathering({maxBytes: 10_000});
      source.end(Buffer.alloc(bytes));
      await settle();
      expect(outcomes).toMatchObject([{type}]);
    }
  });

  it('reserves no more than arrived for an announced length that does not come', async () => {
    const {source, settle, held} = startGathering({announcedBytes: 90_000});
    source.write(Buffer.alloc(10));
    await settle();
    expect(held()).toBe(4096);
  });

  it('is refused without room, and gives back what it held', async () => {
    const {source, outcomes, settle, held} = startGathering({
      budgetBytes: 20_000,
    });
    for (let i = 0; i < 30; i++) source.write(Buffer.alloc(1000));
    await settle();
    expect(outcomes).toEqual([{type: 'refused', reason: 'budget'}]);
    expect(held()).toBe(0);
  });

  it('that is given up is refused once, and its late end changes nothing', async () => {
    const {source, outcomes, gathering, settle, held} = startGathering();
    source.write('abc');
    await settle();
    gathering.refuse('body-slow');
    source.end('def');
    await settle();
    expect(outcomes).toEqual([{type: 'refused', reason: 'body-slow'}]);
    expect(held()).toBe(0);
  });

  it('whose connection closes is aborted and gives back what it held', async () => {
    const {source, outcomes, settle, held} = startGathering();
    source.write('abc');
    await settle();
    source.destroy();
    await settle();
    expect(outcomes).toEqual([{type: 'aborted'}]);
    expect(held()).toBe(0);
  });
});
