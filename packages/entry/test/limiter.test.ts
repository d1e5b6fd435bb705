import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {TeamUse} from '@lentildrift/protocol';
import {startTasks} from '@lentildrift/task';
import {createAdmission} from '../src/admission.js';
import {
  createLimiter,
  isGrant,
  type Grant,
  type Renewal,
} from '../src/limiter.js';

const LIMIT = 12;
const entry = fc.nat(1);
const step = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({type: fc.constant('admit' as const), entry}),
  },
  {
    weight: 5,
    arbitrary: fc.record({type: fc.constant('release' as const), entry}),
  },
  fc.record({type: fc.constant('grow' as const), entry, by: fc.nat(6)}),
  fc.record({type: fc.constant('target' as const), entry, to: fc.nat(8)}),
  fc.record({type: fc.constant('report' as const), entry}),
  // Reports reach control, and answers the entry, late, twice and out of order.
  fc.record({type: fc.constant('shrink' as const), entry, index: fc.nat(50)}),
  fc.record({type: fc.constant('replay' as const), entry, index: fc.nat(50)}),
);

/** An entry's ledger with what control has committed for it. */
function member(name: string) {
  const ledger = createLimiter();
  ledger.openSession(name);
  const answers: Renewal[] = [];
  const reports: TeamUse[] = [];
  const running: Grant[] = [];
  const slice = {amount: LIMIT / 2, generation: 1};
  const deliver = (targets: Renewal['targets'] = {}) => {
    const slices = {club: {...slice}};
    answers.push({session: name, sentMs: 0, slices, targets});
    ledger.renew(answers.at(-1)!);
  };
  return {ledger, answers, reports, running, slice, deliver};
}

describe('ledger', () => {
  it('never runs more than the slices, nor all together more than the limit', () => {
    let refused = 0;
    let admitted = 0;
    fc.assert(
      fc.property(fc.array(step, {minLength: 40, maxLength: 200}), steps => {
        const members = [member('a'), member('b')];
        for (const each of members) each.deliver();
        const held = () =>
          members.reduce((sum, {slice}) => sum + slice.amount, 0);
        for (const each of steps) {
          const {ledger, answers, reports, running, slice, deliver} =
            members[each.entry]!;
          if (each.type === 'admit') {
            const result = ledger.admit('club', 1);
            if (isGrant(result)) running.push(result);
            if (isGrant(result)) admitted += 1;
            else refused += 1;
          } else if (each.type === 'release') {
            const grant = running.pop();
            if (grant) ledger.release(grant);
          } else if (each.type === 'grow') {
            slice.amount += Math.min(each.by, LIMIT - held());
            slice.generation += 1;
            deliver();
          } else if (each.type === 'target') {
            deliver({club: {ceiling: each.to, generation: slice.generation}});
          } else if (each.type === 'report') {
            const use = ledger.reportUse()['club'];
            if (use) reports.push(use);
          } else if (each.type === 'shrink' && reports.length > 0) {
            const use = reports[each.index % reports.length]!;
            // Control takes back what an entry reported as given up under the
            // generation that control still holds.
            if (use.generation === slice.generation) {
              slice.amount = Math.max(use.ceiling, use.running);
              slice.generation += 1;
            }
          } else if (each.type === 'replay' && answers.length > 0) {
            ledger.renew(answers[each.index % answers.length]!);
          }
          for (const one of members) {
            expect(one.running.length).toBeLessThanOrEqual(one.slice.amount);
          }
          expect(held()).toBeLessThanOrEqual(LIMIT);
        }
      }),
      {numRuns: 300, seed: 20},
    );
    expect(Math.min(admitted, refused)).toBeGreaterThan(1000);
  });

  it('does not raise a lowered ceiling on the grant it was lowered under', () => {
    const ledger = createLimiter();
    ledger.openSession('s');
    const slices = {club: {amount: 4, generation: 7}};
    const base = {session: 's', sentMs: 0, slices, targets: {}};
    ledger.renew(base);
    ledger.renew({...base, targets: {club: {ceiling: 1, generation: 7}}});
    ledger.renew(base);
    expect(ledger.ceiling('club')).toBe(1);
    ledger.renew({...base, slices: {club: {amount: 3, generation: 8}}});
    expect(ledger.ceiling('club')).toBe(3);
  });

  it('does not keep idle slots until the next regular sync when it is asked for them', async () => {
    const tasks = startTasks(() => undefined);
    let news = 0;
    const {task} = createAdmission(tasks, () => (news += 1));
    task.post({type: 'open', session: 's'});
    const slices = {club: {amount: 4, generation: 7}};
    const base = {session: 's', sentMs: 0, slices, targets: {}};
    const lower = {...base, targets: {club: {ceiling: 1, generation: 7}}};
    const counts: number[] = [];
    for (const renewal of [base, lower, lower]) {
      task.post({type: 'renew', renewal});
      await task.ask<unknown>(reply => ({type: 'use', reply}), 1000);
      counts.push(news);
    }
    // Told once: the same target again is no news.
    expect(counts).toEqual([0, 1, 1]);
    tasks.stop();
  });

  it('does not mix the running calls of two sessions', () => {
    const ledger = createLimiter();
    const slices = {club: {amount: 1, generation: 1}};
    ledger.openSession('old');
    ledger.renew({session: 'old', sentMs: 0, slices, targets: {}});
    const old = ledger.admit('club', 1) as Grant;
    ledger.openSession('new');
    expect(ledger.admit('club', 1)).toMatchObject({code: 'stale'});
    ledger.renew({session: 'old', sentMs: 0, slices, targets: {}});
    expect(ledger.admit('club', 1)).toMatchObject({code: 'stale'});
    ledger.renew({session: 'new', sentMs: 0, slices, targets: {}});
    expect(isGrant(ledger.admit('club', 1))).toBe(true);
    ledger.release(old);
    expect(ledger.admit('club', 1)).toMatchObject({code: 'over-limit'});
    expect(ledger.reportUse()['club']).toMatchObject({running: 1, demand: 2});
  });

  it('refuses from the end of the lease on, counted from the send', () => {
    const ledger = createLimiter();
    ledger.openSession('s');
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
