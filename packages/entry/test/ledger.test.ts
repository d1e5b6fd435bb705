import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createLedger, isGrant, type Grant} from '../src/ledger.js';

const step = fc.oneof(
  {weight: 6, arbitrary: fc.record({type: fc.constant('admit' as const)})},
  {weight: 5, arbitrary: fc.record({type: fc.constant('release' as const)})},
  fc.record({type: fc.constant('grow' as const), by: fc.nat(5)}),
  fc.record({type: fc.constant('target' as const), to: fc.nat(10)}),
  fc.record({type: fc.constant('shrink' as const)}),
  // Answers may be delivered again, late and out of order.
  fc.record({type: fc.constant('replay' as const), index: fc.nat(50)}),
);

describe('ledger', () => {
  it('never admits more than control holds for it, with replayed grants', () => {
    fc.assert(
      fc.property(fc.array(step, {maxLength: 80}), steps => {
        const ledger = createLedger();
        ledger.open('s');
        // What control has committed for this session, and what it was told.
        let slice = {amount: 5, generation: 1};
        const answers: Parameters<typeof ledger.renew>[0][] = [];
        const deliver = (targets: Record<string, number> = {}) => {
          const slices = {club: slice};
          answers.push({session: 's', sentMs: 0, slices, targets});
          ledger.renew(answers.at(-1)!);
        };
        deliver();
        const running: Grant[] = [];
        for (const each of steps) {
          if (each.type === 'admit') {
            const result = ledger.admit('club', 1);
            if (isGrant(result)) running.push(result);
          } else if (each.type === 'release') {
            const grant = running.pop();
            if (grant) ledger.release(grant);
          } else if (each.type === 'grow') {
            const {amount, generation} = slice;
            slice = {amount: amount + each.by, generation: generation + 1};
            deliver();
          } else if (each.type === 'target') {
            deliver({club: each.to});
          } else if (each.type === 'shrink') {
            const use = ledger.report()['club']!;
            expect(use.running).toBe(running.length);
            // Control takes back only what the entry reported as unused,
            // under the generation that control holds.
            if (use.generation === slice.generation) {
              const amount = Math.max(use.ceiling, use.running);
              slice = {amount, generation: slice.generation + 1};
            }
          } else {
            ledger.renew(answers[each.index % answers.length]!);
          }
          expect(running.length).toBeLessThanOrEqual(slice.amount);
        }
      }),
      {numRuns: 500},
    );
  });

  it('does not raise a lowered ceiling on the grant it was lowered under', () => {
    const ledger = createLedger();
    ledger.open('s');
    const slices = {club: {amount: 4, generation: 7}};
    const base = {session: 's', sentMs: 0, slices, targets: {}};
    ledger.renew(base);
    ledger.renew({...base, targets: {club: 1}});
    ledger.renew(base);
    expect(ledger.ceiling('club')).toBe(1);
    ledger.renew({...base, slices: {club: {amount: 3, generation: 8}}});
    expect(ledger.ceiling('club')).toBe(3);
  });

  it('does not mix the running calls of two sessions', () => {
    const ledger = createLedger();
    const slices = {club: {amount: 1, generation: 1}};
    ledger.open('old');
    ledger.renew({session: 'old', sentMs: 0, slices, targets: {}});
    const old = ledger.admit('club', 1) as Grant;
    ledger.open('new');
    expect(ledger.admit('club', 1)).toMatchObject({code: 'stale'});
    ledger.renew({session: 'old', sentMs: 0, slices, targets: {}});
    expect(ledger.admit('club', 1)).toMatchObject({code: 'stale'});
    ledger.renew({session: 'new', sentMs: 0, slices, targets: {}});
    expect(isGrant(ledger.admit('club', 1))).toBe(true);
    ledger.release(old);
    expect(ledger.admit('club', 1)).toMatchObject({code: 'over-limit'});
    expect(ledger.report()['club']).toMatchObject({running: 1, demand: 2});
  });

  it('refuses from the end of the lease on, counted from the send', () => {
    const ledger = createLedger();
    ledger.open('s');
    const slices = {club: {amount: 9, generation: 1}};
    ledger.renew({session: 's', sentMs: 100, slices, targets: {}});
    ledger.renew({session: 's', sentMs: 50, slices, targets: {}});
    expect(isGrant(ledger.admit('club', 3099))).toBe(true);
    expect(ledger.admit('club', 3100)).toMatchObject({
      code: 'stale',
      verdict: 'not-run',
    });
  });
});
