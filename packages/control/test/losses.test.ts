/**
 * Tests control groups under random losses, of as many hosts at once as the
 * group tolerates: the group keeps a leader, all changes and its voters.
 * `LOSS_SEED` and `LOSS_RUNS` choose other seeds.
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
import {
  startMemberGroup,
  type MemberGroup,
  type MemberHost,
} from './member-group.js';

const FIRST_SEED = Number(process.env.LOSS_SEED ?? 1);
const RUNS = Number(process.env.LOSS_RUNS ?? 4);
/** Losses in one run. */
const STEPS = 10;
/** Time from the return of a host to the next loss. */
const CATCH_UP_MS = 4000;
/** Longest time without a leader: two elections of at most 3 s each. */
const ELECTION_MS = 6000;
const MAX_VOTERS = 5;

/** A loss of one host, which is chosen among the running ones. */
const LOSS = record({
  kind: constantFrom('crash', 'power', 'cut', 'wiped', 'gone'),
  hostIndex: integer({min: 0, max: 1000}),
});
const STEP = record({
  losses: tuple(LOSS, LOSS),
  absenceMs: integer({min: 200, max: 12_000}),
});
const RUN = record({
  size: constantFrom(3, 5, 6, 7),
  steps: array(STEP, {minLength: STEPS, maxLength: STEPS}),
});

type Loss = typeof LOSS extends Arbitrary<infer T> ? T : never;
type Step = typeof STEP extends Arbitrary<infer T> ? T : never;

let group: MemberGroup;
let acknowledged: string[];
/** Hosts that do not return. */
let gone: MemberHost[];

beforeEach(() => {
  vi.useFakeTimers();
  acknowledged = [];
  gone = [];
});

afterEach(async () => {
  await group.stop();
  vi.useRealTimers();
});

function lose(host: MemberHost, {kind}: Loss): void {
  if (kind === 'crash') group.crash(host);
  else if (kind === 'cut') group.cut(host);
  else group.powerOff(host);
}

async function bringBack(host: MemberHost, {kind}: Loss): Promise<void> {
  if (kind === 'gone' && group.hosts.length - gone.length > MAX_VOTERS) {
    gone.push(host);
    return;
  }
  if (kind === 'wiped') group.wipe(host);
  if (kind === 'crash') await group.start(host);
  else if (kind === 'cut') group.heal(host);
  else await group.powerOn(host);
}

/** Loses as many hosts as the group tolerates, until they run again. */
async function loseForAWhile({losses, absenceMs}: Step): Promise<void> {
  const count = (group.members().voters.length - 1) / 2;
  const running = group.hosts.filter(host => !gone.includes(host));
  const lost = losses.slice(0, count).map(loss => {
    const [host] = running.splice(loss.hostIndex % running.length, 1);
    return {loss, host: host!};
  });
  for (const {loss, host} of lost) lose(host, loss);
  await group.advance(Math.min(absenceMs, ELECTION_MS));
  if (absenceMs > ELECTION_MS) {
    expect(group.leader(), 'a leader during the loss').toBeDefined();
    await propose();
    await group.advance(absenceMs - ELECTION_MS);
  }
  for (const {loss, host} of lost) await bringBack(host, loss);
}

/** Proposes a change, which is acknowledged unless the leader is cut off. */
async function propose(): Promise<void> {
  const value = `v${acknowledged.length}`;
  const proposal = group.leader()!.process!.replica.propose(value);
  proposal.then(
    () => acknowledged.push(value),
    () => {},
  );
  await group.advance(500);
}

const seeds = Array.from({length: RUNS}, (_, run) => FIRST_SEED + run);

it.each(seeds)(
  'a group of named members keeps a leader, all changes and its voters through losses, seed %i',
  async seed => {
    const [run] = sample(RUN, {seed, numRuns: 1});
    const {size, steps} = run!;
    group = await startMemberGroup(size);
    for (const step of steps) {
      await loseForAWhile(step);
      // The group may have lost its leader at any moment of the absence.
      const hasLeader = () => group.leader() !== undefined;
      await group.timeUntil(hasLeader, ELECTION_MS);
      expect(hasLeader(), 'a leader after the loss').toBe(true);
      // Twice, since a host that does not return may be lost only now.
      await group.advance(2 * CATCH_UP_MS);
      await propose();
      const {voters} = group.members();
      const running = group.hosts.filter(
        host => voters.includes(host.member) && !gone.includes(host),
      );
      expect(running).toHaveLength(Math.min(size, MAX_VOTERS));
    }
    expect(acknowledged.length).toBeGreaterThanOrEqual(STEPS);
    const values = group.leader()!.process!.replica.state();
    expect(values).toEqual(expect.arrayContaining(acknowledged));
  },
);
