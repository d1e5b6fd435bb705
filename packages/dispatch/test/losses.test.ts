/**
 * Tests control groups under random losses, of as many hosts at once as the
 * group tolerates, and under a loss of power of all hosts in which as many lose
 * their disks. `LOSS_SEED` and `LOSS_RUNS` choose other seeds.
 */
import {
  array,
  boolean,
  constantFrom,
  integer,
  record,
  sample,
  tuple,
  type Arbitrary,
} from 'fast-check';
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {startGroup, type Group, type GroupHost} from './group.js';

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
/** How a host of the group fails when all hosts lose power. */
const OUTAGE = record({
  /** Duration of its syncs before the loss, also longer than the shortest wait. */
  syncMs: integer({min: 4, max: 40}),
  keepsUnsynced: boolean(),
  /** Time from the loss of power to the return of the host. */
  returnMs: integer({min: 200, max: 6000}),
});
const MAX_HOSTS = 8;
const POWER_RUN = record({
  voterCount: constantFrom(3, 5),
  spares: integer({min: 0, max: 2}),
  /** What happens to one voter just before the loss of power. */
  before: constantFrom('nothing', 'cut', 'crash', 'replaced'),
  /** Time from that until the change, which the loss of power follows. */
  beforeMs: integer({min: 0, max: 6000}),
  /** Time from the acknowledgement of a change to the loss of power. */
  afterChangeMs: integer({min: 5, max: 400}),
  outages: array(OUTAGE, {minLength: MAX_HOSTS, maxLength: MAX_HOSTS}),
  wipedIndexes: array(integer({min: 0, max: 1000}), {
    minLength: 2,
    maxLength: 2,
  }),
  /** Whether the hosts without their disks are back before all others. */
  areWipedFirst: boolean(),
});
const RUN = record({
  voterCount: constantFrom(3, 5),
  spares: integer({min: 0, max: 2}),
  steps: array(STEP, {minLength: STEPS, maxLength: STEPS}),
});

type Step = typeof STEP extends Arbitrary<infer T> ? T : never;
type Run = typeof RUN extends Arbitrary<infer T> ? T : never;

type PowerRun = typeof POWER_RUN extends Arbitrary<infer T> ? T : never;

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

/**
 * Time after the return of the last host within which a leader must be known
 * and the group must tolerate the next loss.
 */
const RECOVERY_MS = 12_000;
/** Rounds of changes and losses of power in one run. */
const OUTAGES = 3;

/** Waits until the group has a leader; resolves with the time it took. */
async function waitForLeader(): Promise<number> {
  let waitedMs = 0;
  for (; !group.leader() && waitedMs < RECOVERY_MS; waitedMs += 50) {
    await group.advance(50);
  }
  expect(group.leader(), 'a leader once all hosts are back').toBeDefined();
  return waitedMs;
}

/**
 * Fails one voter as `before` says; resolves with the number of disks that still
 * count as lost after it.
 */
async function disturb({before, beforeMs}: PowerRun): Promise<number> {
  const leader = group.leader()!;
  const {voters} = group.status();
  const host = group.hosts.find(
    ({member}) => member !== leader.member && voters.includes(member),
  )!;
  if (before === 'cut') group.cut(host);
  else if (before === 'crash') group.crash(host);
  else if (before === 'replaced') {
    group.powerOff(host);
    await group.addHost();
  }
  await group.advance(beforeMs);
  return before === 'replaced' && beforeMs < CATCH_UP_MS ? 1 : 0;
}

/** Powers all hosts off at once and on again, some of them without their disk. */
async function losePowerOfAll(
  {outages, wipedIndexes, areWipedFirst}: PowerRun,
  wipedCount: number,
  gone: ReadonlySet<GroupHost>,
): Promise<void> {
  const hosts = group.hosts.filter(host => !gone.has(host));
  for (const [index, host] of hosts.entries()) {
    group.powerOff(host, outages[index % MAX_HOSTS]!);
  }
  const remaining = [...hosts];
  const wiped = wipedIndexes
    .slice(0, wipedCount)
    .map(index => remaining.splice(index % remaining.length, 1)[0]!);
  for (const host of wiped) group.wipe(host);
  const returns = hosts
    .map((host, index) => {
      const {returnMs} = outages[index % MAX_HOSTS]!;
      const isFirst = areWipedFirst && wiped.includes(host);
      return {host, atMs: isFirst ? returnMs / 100 : returnMs};
    })
    .sort((a, b) => a.atMs - b.atMs);
  let nowMs = 0;
  for (const {host, atMs} of returns) {
    await group.advance(atMs - nowMs);
    nowMs = atMs;
    await group.powerOn(host);
  }
}

it.each(seeds)(
  'a control group keeps all acknowledged changes when all hosts lose power and some their disk, seed %i',
  async seed => {
    acknowledged.length = 0;
    const runs = sample(POWER_RUN, {seed, numRuns: OUTAGES}) as PowerRun[];
    const {voterCount, spares} = runs[0]!;
    const tolerated = (voterCount - 1) / 2;
    const gone = new Set<GroupHost>();
    group = await startGroup({voterCount, spares});
    for (const run of runs) {
      const lostDisks = await disturb(run);
      for (const host of group.hosts) {
        if (!host.process && run.before === 'replaced') gone.add(host);
      }
      await waitForLeader();
      for (const [index, host] of group.hosts.entries()) {
        host.syncMs = run.outages[index % MAX_HOSTS]!.syncMs;
      }
      const count = acknowledged.length;
      void propose('before the loss of power');
      while (acknowledged.length === count) await group.advance(1);
      await group.advance(run.afterChangeMs);
      await losePowerOfAll(run, tolerated - lostDisks, gone);
      await waitForLeader();
      await group.advance(RECOVERY_MS);
      await propose('after the loss of power');
      const values = group.leader()!.process!.replica.state();
      expect(values).toEqual(expect.arrayContaining(acknowledged));
      const running = group.hosts.filter(host => !gone.has(host));
      const members = running.map(({member}) => member);
      expect(members).toEqual(
        expect.arrayContaining([...group.status().voters]),
      );
      for (const {process} of running) {
        expect(process!.replica.state(), process!.member).toEqual(values);
      }
      expect(group.toleratesLoss(), 'another loss is tolerated').toBe(true);
    }
  },
);
