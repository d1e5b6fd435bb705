import {describe, expect, it} from 'vitest';
import fc from 'fast-check';
import {
  DemandPolicy,
  StaticPolicy,
  type SliceHolder,
} from '@lentildrift/control';
import {
  apply,
  EMPTY_STATE,
  sliceTotal,
  teamSchema,
  type BodyOf,
  type ChangeBody,
  type State,
} from '@lentildrift/model';
import type {TeamUse} from '@lentildrift/protocol';
import {FakeAdmission} from './entry.js';

const TEAM = 'juniors';
const SESSIONS = ['s0', 's1', 's2', 's3'];

const pick = fc.nat({max: 1000});
/**
 * Random steps of a simulation. `at` selects the session; `by` is an amount, or
 * selects a message or a state.
 */
const stepArbitrary = fc.oneof(
  fc.record({
    kind: fc.constant('demand' as const),
    at: pick,
    by: fc.nat({max: 40}),
  }),
  fc.record({
    kind: fc.constant('finish' as const),
    at: pick,
    by: fc.nat({max: 20}),
  }),
  fc.record({kind: fc.constant('send' as const), at: pick, by: pick}),
  // Reports, slices and changes may be lost, delayed, repeated or reordered.
  fc.record({kind: fc.constant('report' as const), at: pick, by: pick}),
  fc.record({kind: fc.constant('decide' as const), at: pick, by: pick}),
  fc.record({kind: fc.constant('commit' as const), at: pick, by: pick}),
  fc.record({kind: fc.constant('sync' as const), at: pick, by: pick}),
  fc.record({
    kind: fc.constant('limit' as const),
    at: pick,
    by: fc.nat({max: 60}),
  }),
  fc.record({kind: fc.constant('close' as const), at: pick, by: pick}),
);
type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

/**
 * Returns the newest item in two of three cases, so that a run makes progress,
 * otherwise an item of any age.
 */
function pickMessage<T>(items: readonly T[], by: number): T | undefined {
  return by % 3 === 0 ? items[by % items.length] : items.at(-1);
}

/**
 * Simulates the entry hosts, the policy and the state that exchange limit
 * messages.
 */
function createSimulation(policy: DemandPolicy | StaticPolicy) {
  const entries = new Map<string, FakeAdmission>();
  const ended = new Set<string>();
  const reports: {session: string; use: TeamUse}[] = [];
  const received = new Map<string, TeamUse>();
  const changes: BodyOf<'set-slices'>[] = [];
  const states: State[] = [];
  let targets: ReadonlyMap<string, number> = new Map();
  let state = EMPTY_STATE;

  function applyChange(body: ChangeBody): void {
    const before = sliceTotal(state.slices, TEAM);
    state = apply(state, {atMs: 1, body}).state;
    states.push(state);
    const limit = state.tables.teams[TEAM]?.limit ?? 0;
    expect(sliceTotal(state.slices, TEAM)).toBeLessThanOrEqual(
      Math.max(limit, before),
    );
  }

  function setLimit(limit: number): void {
    const teams = [teamSchema.parse({name: TEAM, share: 1, limit})];
    const basedOn = state.tables.version;
    const command = {type: 'edit' as const, edit: {basedOn, teams}};
    applyChange({type: 'command', requestId: `r${basedOn}`, command});
  }

  function decide(): void {
    const holders: SliceHolder[] = Object.values(state.sessions).map(each => ({
      session: each.id,
      phase: each.phase,
      slice: state.slices[TEAM]?.[each.id],
      use: received.get(each.id),
    }));
    const limit = state.tables.teams[TEAM]!.limit;
    const decision = policy.decide({limit, holders});
    targets = decision.targets;
    const slices = decision.slices.map(each => ({team: TEAM, ...each}));
    changes.push({type: 'set-slices', slices});
  }

  function close(session: string, entry: FakeAdmission): void {
    applyChange({type: 'close-session', session});
    // The lease and the calls of an entry host end before its session ends.
    entry.demand = 0;
    entry.ceiling = 0;
    entry.running = 0;
    applyChange({type: 'end-session', session});
    ended.add(session);
  }

  function step({kind, at, by}: Step): void {
    const session = SESSIONS[at % SESSIONS.length]!;
    const entry = entries.get(session)!;
    if (kind === 'limit') return setLimit(by);
    if (kind === 'decide') return decide();
    if (kind === 'commit') {
      const change = pickMessage(changes, by);
      if (change) applyChange(change);
      return;
    }
    if (kind === 'report') {
      const report = pickMessage(reports, by);
      if (report) received.set(report.session, report.use);
      return;
    }
    if (ended.has(session)) return;
    if (kind === 'demand') {
      entry.demand = by;
      entry.startCalls();
    } else if (kind === 'finish') {
      entry.finishCalls(by);
    } else if (kind === 'send') {
      reports.push({session, use: entry.use()});
    } else if (kind === 'sync') {
      // A replica may answer from a state that lags by a few changes.
      const seen =
        states[states.length - 1 - (by % Math.min(states.length, 5))]!;
      const slice = seen.slices[TEAM]?.[session];
      const ceiling = targets.get(session);
      const {generation = 0} = slice ?? {};
      const target = ceiling === undefined ? ceiling : {ceiling, generation};
      entry.applySlice(slice, target);
    } else if (by % 10 === 0) {
      close(session, entry);
    }
  }

  function check(): void {
    for (const [session, entry] of entries) {
      const amount = state.slices[TEAM]?.[session]?.amount ?? 0;
      expect(Math.max(entry.running, entry.ceiling)).toBeLessThanOrEqual(
        amount,
      );
    }
  }

  setLimit(30);
  for (const session of SESSIONS) {
    entries.set(session, new FakeAdmission());
    applyChange({type: 'open-session', session, entryHost: session});
  }
  return {step, check, total: () => sliceTotal(state.slices, TEAM)};
}

describe('division of a limit', () => {
  it.each([
    ['demand', new DemandPolicy()],
    ['static', new StaticPolicy()],
  ])(
    'never lets entry hosts run more calls than their slices allow when messages are lost, delayed or repeated (%s policy)',
    (_name, policy) => {
      let totalGranted = 0;
      fc.assert(
        fc.property(
          fc.array(stepArbitrary, {minLength: 30, maxLength: 300, size: 'max'}),
          steps => {
            const {step, check, total} = createSimulation(policy);
            for (const each of steps) {
              step(each);
              check();
            }
            totalGranted += total();
          },
        ),
        {numRuns: 150, seed: 7},
      );
      // A policy that grants no slots would pass the checks above.
      expect(totalGranted).toBeGreaterThan(150);
    },
  );

  it('does not reclaim slots that were released under another generation or that still run calls', () => {
    const use = {running: 0, demand: 0, ceiling: 0, generation: 1};
    const holder: SliceHolder = {
      session: 's',
      phase: 'open',
      slice: {amount: 20, generation: 2},
      use,
    };
    const policy = new DemandPolicy();
    const stale = policy.decide({limit: 20, holders: [holder]});
    expect(stale.slices).toEqual([]);
    expect(stale.targets.get('s')).toBe(5);
    const current = {...holder, use: {...use, generation: 2}};
    const busy = {...current, use: {...current.use, running: 9}};
    const kept = policy.decide({limit: 6, holders: [busy]});
    expect(kept.slices).toMatchObject([{amount: 9}]);
    const {slices} = policy.decide({limit: 20, holders: [current]});
    expect(slices).toEqual([{session: 's', basedOn: 2, amount: 5}]);
  });
});
