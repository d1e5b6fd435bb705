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
  // Reports reach control, and responses reach the entry host, late, twice and
  // out of order.
  fc.record({type: fc.constant('shrink' as const), entry, index: fc.nat(50)}),
  fc.record({type: fc.constant('replay' as const), entry, index: fc.nat(50)}),
);

/** A limiter of one entry host, with the slice that control has committed. */
function createEntryHost(name: string) {
  const limiter = createLimiter();
  limiter.openSession(name);
  const answers: Renewal[] = [];
  const reports: TeamUse[] = [];
  const running: Grant[] = [];
  const slice = {amount: LIMIT / 2, generation: 1};
  const deliver = (targets: Renewal['targets'] = {}) => {
    const slices = {club: {...slice}};
    answers.push({session: name, sentMs: 0, slices, targets});
    limiter.renew(answers.at(-1)!);
  };
  return {limiter, answers, reports, running, slice, deliver};
}

describe('the concurrency limiter', () => {
  it('never admits more calls than the slice of an entry host, nor more than the limit in total', () => {
    let refused = 0;
    let admitted = 0;
    fc.assert(
      fc.property(fc.array(step, {minLength: 40, maxLength: 200}), steps => {
        const entryHosts = [createEntryHost('a'), createEntryHost('b')];
        for (const each of entryHosts) each.deliver();
        const held = () =>
          entryHosts.reduce((sum, {slice}) => sum + slice.amount, 0);
        for (const each of steps) {
          const {limiter, answers, reports, running, slice, deliver} =
            entryHosts[each.entry]!;
          if (each.type === 'admit') {
            const result = limiter.admit('club', 1);
            if (isGrant(result)) running.push(result);
            if (isGrant(result)) admitted += 1;
            else refused += 1;
          } else if (each.type === 'release') {
            const grant = running.pop();
            if (grant) limiter.release(grant);
          } else if (each.type === 'grow') {
            slice.amount += Math.min(each.by, LIMIT - held());
            slice.generation += 1;
            deliver();
          } else if (each.type === 'target') {
            deliver({club: {ceiling: each.to, generation: slice.generation}});
          } else if (each.type === 'report') {
            const use = limiter.reportUse()['club'];
            if (use) reports.push(use);
          } else if (each.type === 'shrink' && reports.length > 0) {
            const use = reports[each.index % reports.length]!;
            // Control reclaims the slots that an entry host reported as
            // released, if the report is for the current generation.
            if (use.generation === slice.generation) {
              slice.amount = Math.max(use.ceiling, use.running);
              slice.generation += 1;
            }
          } else if (each.type === 'replay' && answers.length > 0) {
            limiter.renew(answers[each.index % answers.length]!);
          }
          for (const one of entryHosts) {
            expect(one.running.length).toBeLessThanOrEqual(one.slice.amount);
          }
          expect(held()).toBeLessThanOrEqual(LIMIT);
        }
      }),
      {numRuns: 300, seed: 20},
    );
    expect(Math.min(admitted, refused)).toBeGreaterThan(1000);
  });

  it('raises a lowered ceiling only on a newer generation of the slice', () => {
    const limiter = createLimiter();
    limiter.openSession('s');
    const slices = {club: {amount: 4, generation: 7}};
    const base = {session: 's', sentMs: 0, slices, targets: {}};
    limiter.renew(base);
    limiter.renew({...base, targets: {club: {ceiling: 1, generation: 7}}});
    limiter.renew(base);
    expect(limiter.ceiling('club')).toBe(1);
    limiter.renew({...base, slices: {club: {amount: 3, generation: 8}}});
    expect(limiter.ceiling('club')).toBe(3);
  });

  it('requests an early sync once when a lower ceiling releases idle slots', async () => {
    const tasks = startTasks(() => undefined);
    let requests = 0;
    const {task} = createAdmission(tasks, () => (requests += 1));
    task.post({type: 'open', session: 's'});
    const slices = {club: {amount: 4, generation: 7}};
    const base = {session: 's', sentMs: 0, slices, targets: {}};
    const lower = {...base, targets: {club: {ceiling: 1, generation: 7}}};
    const counts: number[] = [];
    for (const renewal of [base, lower, lower]) {
      task.post({type: 'renew', renewal});
      await task.ask<unknown>(reply => ({type: 'use', reply}), 1000);
      counts.push(requests);
    }
    // The repeated target lowers no ceiling and requests no further sync.
    expect(counts).toEqual([0, 1, 1]);
    tasks.stop();
  });

  it('counts the running calls of each session separately', () => {
    const limiter = createLimiter();
    const slices = {club: {amount: 1, generation: 1}};
    limiter.openSession('old');
    limiter.renew({session: 'old', sentMs: 0, slices, targets: {}});
    const old = limiter.admit('club', 1) as Grant;
    limiter.openSession('new');
    expect(limiter.admit('club', 1)).toMatchObject({code: 'stale'});
    limiter.renew({session: 'old', sentMs: 0, slices, targets: {}});
    expect(limiter.admit('club', 1)).toMatchObject({code: 'stale'});
    limiter.renew({session: 'new', sentMs: 0, slices, targets: {}});
    expect(isGrant(limiter.admit('club', 1))).toBe(true);
    limiter.release(old);
    expect(limiter.admit('club', 1)).toMatchObject({code: 'over-limit'});
    expect(limiter.reportUse()['club']).toMatchObject({running: 1, demand: 2});
  });

  it('refuses calls after the lease has expired, counted from the send of the latest sync', () => {
    const limiter = createLimiter();
    limiter.openSession('s');
    const slices = {club: {amount: 9, generation: 1}};
    limiter.renew({session: 's', sentMs: 100, slices, targets: {}});
    limiter.renew({session: 's', sentMs: 50, slices, targets: {}});
    expect(isGrant(limiter.admit('club', 3099))).toBe(true);
    expect(limiter.admit('club', 3100)).toMatchObject({
      code: 'stale',
      verdict: 'not-run',
    });
  });
});
