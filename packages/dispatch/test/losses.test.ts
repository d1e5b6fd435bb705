/**
 * Tests control groups under random losses, of as many hosts at once as the
 * group tolerates. `LOSS_SEED` and `LOSS_RUNS` choose other seeds.
 */
import {
  array,
  constantFrom,
  integer,
  record,
  sample,
  tuple,
  type Arbitrary,
} from 'fast-check';
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {startGroup, type Group} from './group.js';

const FIRST_SEED = Number(process.env.LOSS_SEED ?? 1);
const RUNS = Number(process.env.LOSS_RUNS ?? 6);
/** Losses in one run. */
const STEPS = 12;
/** Time from the return of a host, or of its successor, to the next loss. */
const CATCH_UP_MS = 4000;
/** Longest time without a leader after a tolerated loss. */
const ELECTION_MS = 3000;

/** A loss of one host, which is chosen among the running ones. */
const LOSS = record({
  kind: constantFrom('crash', 'power', 'cut', 'replaced', 'wiped'),
  hostIndex: integer({min: 0, max: 1000}),
});
/** Hosts that are lost at the same moment, as many as the group tolerates. */
const STEP = record({
  losses: tuple(LOSS, LOSS),
  absenceMs: integer({min: 200, max: 9000}),
});
const RUN = record({
  voterCount: constantFrom(3, 5),
  spares: integer({min: 0, max: 2}),
  steps: array(STEP, {minLength: STEPS, maxLength: STEPS}),
});

type Step = typeof STEP extends Arbitrary<infer T> ? T : never;
type Run = typeof RUN extends Arbitrary<infer T> ? T : never;

let group: Group;

beforeEach(() => void vi.useFakeTimers());

afterEach(async () => {
  await group.stop();
  vi.useRealTimers();
});

/**
 * Loses up to `count` hosts for a while; resolves once they, or their successors,
 * run.
 */
async function loseForAWhile(step: Step, count: number): Promise<void> {
  const {losses, absenceMs} = step;
  const running = group.hosts.filter(({process}) => process);
  const lost = losses.slice(0, count).map(({kind, hostIndex}) => {
    const [host] = running.splice(hostIndex % running.length, 1);
    return {kind, host: host!};
  });
  for (const {kind, host} of lost) {
    if (kind === 'crash') group.crash(host);
    else if (kind === 'cut') group.cut(host);
    else group.powerOff(host);
  }
  await group.advance(Math.min(absenceMs, ELECTION_MS));
  if (absenceMs > ELECTION_MS) {
    expect(group.leader(), 'a leader during the loss').toBeDefined();
    await propose('during the loss');
    await group.advance(absenceMs - ELECTION_MS);
  }
  for (const {kind, host} of lost) {
    if (kind === 'wiped') group.wipe(host);
    if (kind === 'crash') await group.start(host);
    else if (kind === 'cut') group.heal(host);
    else if (kind === 'replaced') await group.addHost();
    else await group.powerOn(host);
  }
}

const acknowledged: string[] = [];

/** Proposes a change, which is acknowledged unless the leader is cut off. */
async function propose(name: string): Promise<void> {
  const value = `${acknowledged.length} ${name}`;
  const proposal = group.leader()!.process!.replica.propose(value);
  proposal.then(
    () => acknowledged.push(value),
    () => {},
  );
  await group.advance(500);
}

const seeds = Array.from({length: RUNS}, (_, run) => FIRST_SEED + run);

it.each(seeds)(
  'a control group keeps a leader and all changes through losses one after the other, seed %i',
  async seed => {
    acknowledged.length = 0;
    const [{voterCount, spares, steps}] = sample(RUN, {seed, numRuns: 1}) as [
      Run,
    ];
    group = await startGroup({voterCount, spares});
    for (const step of steps) {
      await loseForAWhile(step, (voterCount - 1) / 2);
      await group.advance(CATCH_UP_MS);
      expect(group.leader(), 'a leader after the loss').toBeDefined();
      await propose('after');
      expect(group.toleratesLoss(), 'another loss is tolerated').toBe(true);
    }
    expect(acknowledged.length).toBeGreaterThanOrEqual(STEPS);
    const values = group.leader()!.process!.replica.state();
    expect(values).toEqual(expect.arrayContaining(acknowledged));
  },
);
