/** Tests that edits recorded as differences lead to the same tables. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  apply,
  applyDifference,
  Change,
  EMPTY_STATE,
  EMPTY_TABLES,
  findDifference,
  type Event,
  type Pool,
  type Queue,
  type State,
  type Tables,
  type Team,
} from '../src/index.js';

function queue(name: string, more: Partial<Queue> = {}): Queue {
  return {
    name,
    host: 'h',
    prefix: `/${name}/`,
    pool: 'p',
    timeoutMs: 1000,
    targetMs: 100,
    stretch: 2,
    maxAttempts: 2,
    priority: 0,
    open: true,
    ...more,
  };
}

/** The document of the rows, with a field that the schema does not have. */
function tablesOf(version: number, queues: Queue[]): Tables {
  const rows = queues.map(row => ({...row, note: {text: '} { "é 🚚'}}));
  const document = JSON.stringify({version, rows, later: [{a: {}}]});
  return {...EMPTY_TABLES, version, queues, document};
}

/** The event as members of the group decode it from the log. */
function recorded(event: Event): Event {
  const change: unknown = JSON.parse(JSON.stringify({events: [event]}));
  return Change.parse(change).events[0]!;
}

function editEvent(tables: Tables): Event {
  return {type: 'tables', tables};
}

function differenceEvent(base: Tables, tables: Tables): Event {
  const difference = findDifference(base, tables);
  return recorded({type: 'tables-difference', difference});
}

function applyEvent(state: State, event: Event) {
  const {state: next, outcomes} = apply(state, {events: [event]});
  return {next, outcome: outcomes[0]};
}

function stateOf(tables: Tables): State {
  return applyEvent(EMPTY_STATE, editEvent(tables)).next;
}

const ROWS = Array.from({length: 100}, (_, at) => queue(`q${at}`));

describe('a difference of tables', () => {
  const base = tablesOf(3, ROWS);
  const alterations: [string, Queue[]][] = [
    ['changes', ROWS.with(50, queue('q50', {timeoutMs: 9}))],
    ['adds', ROWS.toSpliced(50, 0, queue('new'))],
    ['removes', ROWS.toSpliced(50, 1)],
    ['moves', [...ROWS.slice(1), ROWS[0]!]],
    ['renames', ROWS.with(50, queue('renamed'))],
  ];

  it.each(alterations)(
    'that %s one row among many does not grow with the others',
    (_name, queues) => {
      const tables = tablesOf(4, queues);
      const event = differenceEvent(base, tables);
      // Two rows of text, the changed one and the first with the version.
      expect(JSON.stringify(event).length).toBeLessThan(1500);
      const {next, outcome} = applyEvent(stateOf(base), event);
      expect(outcome).toBe('applied');
      expect(next.tables).toEqual(tables);
    },
  );

  it('does not copy the rows that it leaves unchanged', () => {
    const tables = tablesOf(4, ROWS.with(7, queue('q7', {priority: 1})));
    const {next} = applyEvent(stateOf(base), differenceEvent(base, tables));
    expect(next.tables.queues[6]).toBe(base.queues[6]);
    expect(next.tables.queues[99]).toBe(base.queues[99]);
  });

  it('is not applied to another version than the one that it is based on', () => {
    const event = differenceEvent(base, tablesOf(6, ROWS.slice(1)));
    const older = stateOf(tablesOf(2, ROWS));
    const newer = stateOf(tablesOf(5, ROWS.slice(2)));
    for (const state of [older, newer]) {
      const {next, outcome} = applyEvent(state, event);
      expect(outcome).toBe('outdated');
      expect(next.tables).toBe(state.tables);
    }
  });

  it('does not undo a higher version, nor replace the same one', () => {
    const event = differenceEvent(base, tablesOf(4, ROWS.slice(1)));
    const outcomes = [4, 5].map(version => {
      const state = stateOf(tablesOf(version, ROWS));
      const {next, outcome} = applyEvent(state, event);
      expect(next.tables).toBe(state.tables);
      return outcome;
    });
    expect(outcomes).toEqual(['outdated', 'overtaken']);
  });

  // Damaged ranges would otherwise shorten the tables without a trace.
  it('is not applied if its ranges exceed the base', () => {
    const difference = findDifference(base, tablesOf(4, ROWS.slice(1)));
    const queues = [{from: 0, to: ROWS.length + 1}];
    expect(applyDifference(base, {...difference, queues})).toBeUndefined();
    const document = [{from: 5, to: 4}];
    expect(applyDifference(base, {...difference, document})).toBeUndefined();
  });
});

const name = fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f');

const queueRow: fc.Arbitrary<Queue> = fc
  .record({
    name,
    open: fc.boolean(),
    priority: fc.nat(2),
    advice: fc.option(
      fc.record({
        decideMs: fc.nat(2),
        perWorkerMs: fc.nat(2),
        validMs: fc.nat(2),
      }),
      {nil: undefined},
    ),
  })
  .map(({name: id, advice, ...more}) =>
    queue(id, {...more, ...(advice && {advice})}),
  );

const poolRow: fc.Arbitrary<Pool> = fc.record({
  name,
  guardsCapacity: fc.boolean(),
  standby: fc.boolean(),
});

const teamRow: fc.Arbitrary<Team> = fc.record({
  name,
  keys: fc.array(name, {maxLength: 3}),
  weight: fc.nat(3),
  cap: fc.constant({cpuMillis: 0, memoryMb: 0, gpus: 0}),
});

const documentText = fc
  .array(
    fc.oneof(fc.constantFrom('{', '}', ',{"a":1}', '"é🚚}"'), fc.string()),
    {maxLength: 12},
  )
  .map(parts => parts.join(''));

const anyTables: fc.Arbitrary<Tables> = fc.record({
  version: fc.integer({min: 1, max: 12}),
  queues: fc.array(queueRow, {maxLength: 8}),
  pools: fc.array(poolRow, {maxLength: 4}),
  teams: fc.array(teamRow, {maxLength: 4}),
  document: documentText,
});

describe('random edits', () => {
  it('lead to the same tables as differences and as a whole', () => {
    fc.assert(
      fc.property(fc.array(anyTables, {maxLength: 12}), edits => {
        let whole = EMPTY_STATE;
        let byDifference = EMPTY_STATE;
        for (const tables of edits) {
          whole = applyEvent(whole, editEvent(tables)).next;
          const event = differenceEvent(byDifference.tables, tables);
          byDifference = applyEvent(byDifference, event).next;
          expect(byDifference.tables).toEqual(whole.tables);
        }
      }),
      {numRuns: 500, seed: 20261204},
    );
  });

  // Leader and members apply the same differences, some to another base.
  it('have the same effect when their differences are applied again', () => {
    fc.assert(
      fc.property(fc.array(anyTables, {maxLength: 12}), edits => {
        const log: Event[] = [];
        let state = EMPTY_STATE;
        for (const [at, tables] of edits.entries()) {
          // Every third difference is based on tables that were not recorded.
          const base = at % 3 === 2 ? edits[at - 1]! : state.tables;
          log.push(differenceEvent(base, tables));
          state = applyEvent(state, log.at(-1)!).next;
        }
        const replayed = apply(EMPTY_STATE, {events: log.map(recorded)});
        expect(replayed.state.tables).toEqual(state.tables);
      }),
      {numRuns: 300, seed: 20261204},
    );
  });
});
