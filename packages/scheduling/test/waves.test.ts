import {describe, expect, it} from 'vitest';
import {
  SlotWaves,
  TimedWaves,
  type WaveHost,
  type WavePolicy,
  type WaveView,
} from '../src/index.js';

function idle(id: string): WaveHost {
  return {
    id,
    pool: undefined,
    idle: true,
    lastingTasks: new Map(),
    readyTasks: new Map(),
  };
}

function busy(id: string, pool = 'p'): WaveHost {
  return {
    id,
    pool,
    idle: false,
    lastingTasks: new Map(),
    readyTasks: new Map(),
  };
}

function lasting(
  id: string,
  tasks: Record<string, number>,
  ready = tasks,
): WaveHost {
  const lastingTasks = new Map(Object.entries(tasks));
  const readyTasks = new Map(Object.entries(ready));
  return {id, pool: 'p', idle: false, lastingTasks, readyTasks};
}

function view(due: readonly WaveHost[], more: Partial<WaveView> = {}) {
  return {
    remainingMs: 26_000,
    hostTimeMs: 6000,
    atOnce: 2,
    down: 0,
    emptying: 0,
    emptyingLasting: 0,
    due,
    pools: new Map([['p', {workers: 9, cordoned: 0}]]),
    budgets: new Map(
      ['s', 't'].map(step => [step, {limit: 1, free: 1}] as const),
    ),
    ...more,
  };
}

function selectIds(policy: WavePolicy, wave: WaveView): string[] {
  return policy.select(wave).selected.map(({id}) => id);
}

const policies = [new SlotWaves(), new TimedWaves()];

describe.each(policies)('a wave policy (%#)', policy => {
  it('selects no more idle hosts than may be down, and one in advance', () => {
    const due = ['a', 'b', 'c', 'd'].map(idle);
    expect(selectIds(policy, view(due))).toEqual(['a', 'b', 'c']);
    expect(selectIds(policy, view(due, {down: 2}))).toEqual(['a']);
    const decision = policy.select(view(due, {down: 2, emptying: 1}));
    expect(decision.selected).toEqual([]);
    expect([...decision.waiting.values()]).toEqual(Array(4).fill('no-slot'));
  });

  it('selects a second host with tasks of a step only if its budget allows', () => {
    const due = [lasting('a', {s: 2}), lasting('b', {s: 1})];
    const decision = policy.select(view(due));
    expect(decision.selected).toHaveLength(1);
    expect([...decision.waiting.values()]).toEqual(['budget']);
    const budgets = new Map([['s', {limit: 1, free: 0}]]);
    expect(selectIds(policy, view(due, {budgets}))).toEqual([]);
  });

  // A task that is never ready used up the budget of its own step, so that its
  // host waited for good.
  it('selects a host with a task that is not ready although the budget is used up', () => {
    const due = [lasting('a', {s: 1}, {}), lasting('b', {s: 1})];
    const budgets = new Map([['s', {limit: 1, free: 0}]]);
    const {selected, waiting} = policy.select(view(due, {budgets}));
    expect(selected.map(({id}) => id)).toEqual(['a']);
    expect(waiting.get('b')).toBe('budget');
  });

  it('charges only ready tasks to the budget of their step', () => {
    const due = [lasting('a', {s: 3}, {s: 1}), lasting('b', {s: 1})];
    const budgets = new Map([['s', {limit: 2, free: 2}]]);
    expect(selectIds(policy, view(due, {budgets}))).toEqual(['a', 'b']);
  });

  it('leaves hosts in use alone until time presses', () => {
    const {waiting} = policy.select(view([busy('a')]));
    expect(waiting.get('a')).toBe('in-use');
    const pressed = view([busy('a')], {remainingMs: 12_000});
    expect(selectIds(policy, pressed)).toEqual(['a']);
  });

  it('empties at most a third of a pool that is in use', () => {
    const due = ['a', 'b', 'c', 'd'].map(id => busy(id));
    const pools = new Map([['p', {workers: 9, cordoned: 1}]]);
    const wave = view(due, {remainingMs: 0, atOnce: 4, pools});
    const {selected, waiting} = policy.select(wave);
    expect(selected).toHaveLength(2);
    expect([...waiting.values()]).toEqual(['pool-share', 'pool-share']);
  });
});

describe('timed waves', () => {
  // Idle hosts held all slots for three seconds, while the budgets of the
  // long-running tasks, which decide how long a wave takes, were not used.
  it('select hosts with long-running tasks while all slots are taken', () => {
    const due = [idle('a'), lasting('b', {s: 1})];
    const full = view(due, {down: 2, emptying: 1});
    expect(selectIds(new SlotWaves(), full)).toEqual([]);
    expect(selectIds(new TimedWaves(), full)).toEqual(['b']);
    const many = {...full, emptyingLasting: 3};
    expect(selectIds(new TimedWaves(), many)).toEqual([]);
  });

  // Hosts whose last long-running task had stopped waited for a slot while
  // others were selected in their place: at the peak 50 of 60 were cordoned.
  it('do not cordon more hosts than twice those that may be down and one in advance', () => {
    const atOnce = 2;
    const downRounds = 5;
    const due = Array.from({length: 60}, (_, at) => `h${at}`);
    const budgets = new Map(due.map(id => [id, {limit: 1, free: 1}] as const));
    const emptyingLasting = new Set<string>();
    const emptied: string[] = [];
    const returnRounds: number[] = [];
    let most = 0;
    let done = 0;
    for (let round = 0; done < 60 && round < 1000; round++) {
      while (returnRounds[0] === round) {
        returnRounds.shift();
        done++;
      }
      while (returnRounds.length < atOnce && emptied.length > 0) {
        emptied.shift();
        returnRounds.push(round + downRounds);
      }
      const wave = view(
        due.map(id => lasting(id, {[id]: 1})),
        {
          atOnce,
          down: returnRounds.length,
          emptying: emptied.length,
          emptyingLasting: emptyingLasting.size,
          budgets,
        },
      );
      const selected = selectIds(new TimedWaves(), wave);
      emptied.push(...emptyingLasting);
      emptyingLasting.clear();
      for (const id of selected) {
        due.splice(due.indexOf(id), 1);
        emptyingLasting.add(id);
      }
      const cordoned =
        returnRounds.length + emptied.length + emptyingLasting.size;
      most = Math.max(most, cordoned);
    }
    expect(done).toBe(60);
    expect(most).toBeLessThanOrEqual(2 * (atOnce + 1));
  });

  it('do not count hosts with long-running tasks as taking a slot', () => {
    const due = ['a', 'b', 'c'].map(idle);
    const wave = view(due, {emptyingLasting: 3});
    expect(selectIds(new SlotWaves(), wave)).toEqual([]);
    expect(selectIds(new TimedWaves(), wave)).toEqual(['a', 'b', 'c']);
  });

  it('begin with the step that needs the most rounds of stops', () => {
    const due = [
      lasting('a', {t: 1}),
      lasting('b', {s: 2, t: 1}),
      lasting('c', {s: 2}),
    ];
    expect(selectIds(new TimedWaves(), view(due))).toEqual(['b']);
  });

  it('do not have a host with tasks of two steps wait for one of them forever', () => {
    const due = [lasting('a', {s: 1, t: 1})];
    const budgets = new Map([
      ['s', {limit: 1, free: 0}],
      ['t', {limit: 1, free: 1}],
    ]);
    const wave = view(due, {budgets});
    expect(selectIds(new TimedWaves(), wave)).toEqual([]);
    const pressed = {...wave, remainingMs: 14_000};
    expect(selectIds(new TimedWaves(), pressed)).toEqual(['a']);
  });

  it('begin earlier with the hosts in use of a pool that needs several rounds', () => {
    const due = ['a', 'b', 'c'].map(id => busy(id, 'small'));
    const pools = new Map([['small', {workers: 3, cordoned: 0}]]);
    const wave = view(due, {remainingMs: 25_000, atOnce: 3, pools});
    expect(selectIds(new SlotWaves(), wave)).toEqual([]);
    expect(selectIds(new TimedWaves(), wave)).toEqual(['a']);
  });

  // Idle hosts took all slots first, so that the early begin had no effect.
  it('begin one round of such a pool before the idle hosts', () => {
    const due = [
      ...['i', 'j', 'k', 'l'].map(idle),
      ...['a', 'b', 'c'].map(id => busy(id, 'small')),
    ];
    const pools = new Map([['small', {workers: 3, cordoned: 0}]]);
    const wave = view(due, {remainingMs: 26_500, atOnce: 3, pools});
    const decision = new TimedWaves().select(wave);
    const ids = decision.selected.map(({id}) => id).sort();
    expect(ids).toEqual(['a', 'i', 'j', 'k']);
    expect(decision.waiting.get('b')).toBe('pool-share');
    expect(decision.waiting.get('l')).toBe('no-slot');
  });

  it('count the hosts in progress of a pool in the rounds that it needs', () => {
    const due = ['a', 'b'].map(id => busy(id, 'small'));
    const waitingWith = (cordoned: number) => {
      const pools = new Map([['small', {workers: 3, cordoned}]]);
      const wave = view(due, {remainingMs: 25_000, atOnce: 3, pools});
      return new TimedWaves().select(wave).waiting.get('a');
    };
    expect(waitingWith(0)).toBe('in-use');
    expect(waitingWith(1)).toBe('pool-share');
  });
});
