import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {bootstrapOperator, CLOSED_SESSION_HOLD_MS} from '@lentildrift/control';
import {createKey, type Command, type Result} from '@lentildrift/model';
import {FakeEntry} from './entry.js';
import {
  FakeGroup,
  advanceUntilSettled,
  startRoles,
  type Roles,
} from './group.js';

let group: FakeGroup;
let roles: Roles;
let entries: FakeEntry[] = [];

beforeEach(() => {
  vi.useFakeTimers();
  group = new FakeGroup();
  group.setLimit(40);
  for (const replica of group.members) replica.catchUp();
  roles = startRoles(group);
});

afterEach(async () => {
  entries.forEach(entry => entry.stopSyncing());
  entries = [];
  await roles.stop();
  vi.useRealTimers();
});

const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

async function openEntry(member: string): Promise<FakeEntry> {
  const entry = new FakeEntry(roles.at(member).control);
  entries.push(entry);
  await advanceUntilSettled(entry.open(`entry-${entries.length}`));
  return entry;
}

let sequence = 1_000_000;
const syncRequest = (session: string, rest: object = {}) => ({
  session,
  revision: 0,
  sequence: ++sequence,
  useSince: 0,
  use: {},
  roster: [],
  rosterVersion: 0,
  ...rest,
});

describe('limits', () => {
  const allRunning = () => entries.reduce((sum, e) => sum + e.running, 0);

  /** Advances the clock in steps of 20 ms and checks the limit after each step. */
  async function advanceCheckingLimit(
    ms: number,
    limit: number,
  ): Promise<void> {
    for (let elapsed = 0; elapsed < ms; elapsed += 20) {
      await advance(20);
      expect(allRunning()).toBeLessThanOrEqual(limit);
    }
  }

  it('a burst at one entry gets the slots that are idle at other entries within 2 s', async () => {
    for (const member of ['a', 'b', 'c', 'b']) await openEntry(member);
    const [first, second, third] = entries as [FakeEntry, FakeEntry, FakeEntry];
    await advanceCheckingLimit(3000, 40);
    // The first entry uses almost the whole limit, and then becomes idle.
    first.setDemand(100);
    await advanceCheckingLimit(4000, 40);
    expect(first.running).toBeGreaterThanOrEqual(30);
    first.setDemand(0);
    await advanceCheckingLimit(2000, 40);
    second.setDemand(100);
    await advanceCheckingLimit(2000, 40);
    // Each of the other three entries keeps an even reserve of two slots.
    expect(second.running).toBeGreaterThanOrEqual(30);
    third.setDemand(100);
    await advanceCheckingLimit(6000, 40);
    expect(Math.abs(second.running - third.running)).toBeLessThanOrEqual(4);
    expect(allRunning()).toBeGreaterThanOrEqual(32);
    expect(roles.failures).toEqual([]);
  });

  it('a steady demand with variations below 10 % causes no slice changes', async () => {
    for (const member of ['a', 'b', 'c']) await openEntry(member);
    entries.forEach(entry => entry.setDemand(30));
    await advanceCheckingLimit(6000, 40);
    const before = group.changesOfType('set-slices').length;
    for (let round = 0; round < 20; round++) {
      entries.forEach((entry, at) => entry.setDemand(30 + ((round + at) % 2)));
      await advanceCheckingLimit(500, 40);
    }
    expect(
      group.changesOfType('set-slices').length - before,
    ).toBeLessThanOrEqual(1);
    expect(allRunning()).toBeGreaterThanOrEqual(38);
  });

  it('a lowered limit takes effect once the calls above it have ended', async () => {
    for (const member of ['a', 'b']) await openEntry(member);
    entries.forEach(entry => entry.setDemand(30));
    await advanceCheckingLimit(4000, 40);
    group.setLimit(10);
    await advanceCheckingLimit(4000, 40);
    expect(allRunning()).toBeLessThanOrEqual(10);
    expect(allRunning()).toBeGreaterThanOrEqual(8);
    const {slices} = group.replica('a').state();
    const granted = Object.values(slices.juniors!).map(({amount}) => amount);
    expect(granted.reduce((x, y) => x + y)).toBeLessThanOrEqual(10);
  });

  it('slices of a silent session are not granted to others before its calls must have ended', async () => {
    const [silentEntry, liveEntry] = [
      await openEntry('b'),
      await openEntry('c'),
    ];
    silentEntry.setDemand(100);
    await advance(3000);
    expect(silentEntry.running).toBeGreaterThanOrEqual(30);
    silentEntry.stopSyncing();
    liveEntry.setDemand(100);
    const phase = () =>
      group.replica(group.leader!).state().sessions[silentEntry.session]?.phase;
    while (phase() === 'open') await advance(100);
    const closedMs = performance.now();
    // A new leader counts the hold time from its own start.
    await advance(CLOSED_SESSION_HOLD_MS - 5000);
    group.elect('b');
    await advance(CLOSED_SESSION_HOLD_MS - 1000);
    expect(phase()).toBe('closed');
    expect(liveEntry.running + silentEntry.running).toBeLessThanOrEqual(40);
    await advance(2500);
    expect(phase()).toBeUndefined();
    expect(performance.now() - closedMs).toBeGreaterThan(
      CLOSED_SESSION_HOLD_MS,
    );
    await advance(2000);
    expect(liveEntry.running).toBeGreaterThanOrEqual(38);
    const response = await advanceUntilSettled(silentEntry.sync());
    expect(response).toEqual({ok: false, code: 'session-closed'});
  });
});

describe('read barrier', () => {
  it('a partitioned replica renews no lease and refuses a sync with the verdict not-run', async () => {
    const entry = await openEntry('b');
    await advance(100);
    entry.stopSyncing();
    group.replica('b').partitioned = true;
    group.command({type: 'withdraw-key', keyId: 'x'});
    await expect(advanceUntilSettled(entry.sync())).rejects.toMatchObject({
      code: 'unavailable',
      verdict: 'not-run',
    });
    // The replica is connected again but behind the read index, so it must wait
    // instead of answering from an old state.
    group.replica('b').partitioned = false;
    const late = entry.sync();
    late.catch(() => undefined);
    await advance(200);
    const revision = group.log.length;
    group.replica('b').catchUp();
    const answer = await advanceUntilSettled(late);
    expect(answer.ok && answer.view.to).toBeGreaterThanOrEqual(revision);
  });

  it('a sync is not answered by a read-index round that began before the sync arrived', async () => {
    const entry = await openEntry('b');
    await advance(2000);
    entry.stopSyncing();
    await advance(2000);
    const leader = group.replica('a');
    const before = leader.readIndexRounds;
    const {control} = roles.at('b');
    const sync = () => control.sync(syncRequest(entry.session));
    const first = sync();
    await advance(2);
    const later = [sync(), sync(), sync()];
    await advanceUntilSettled(Promise.all([first, ...later]));
    expect(leader.readIndexRounds - before).toBe(2);
  });
});

describe('use in syncs', () => {
  const use = (demand: number, generation: number) => ({
    juniors: {running: 0, demand, generation, ceiling: 10},
  });

  it('a process that has not received earlier use does not acknowledge a partial report', async () => {
    const {session, control} = await openEntry('b');
    await advance(1000);
    entries[0]!.stopSyncing();
    const isUseHeld = async (at: typeof control, rest: object) => {
      const answer = await advanceUntilSettled(
        at.sync(syncRequest(session, rest)),
      );
      return answer.ok && answer.useHeld;
    };
    expect(await isUseHeld(control, {useSince: 0})).toBe(true);
    expect(await isUseHeld(control, {useSince: sequence})).toBe(true);
    const other = roles.at('c').control;
    expect(await isUseHeld(other, {useSince: sequence})).toBe(false);
    expect(await isUseHeld(other, {useSince: sequence})).toBe(false);
    expect(await isUseHeld(other, {useSince: 0})).toBe(true);
    // The entry synced with another process in between, so this process lacks
    // a part of the use.
    expect(await isUseHeld(control, {useSince: sequence})).toBe(false);
  });

  it('a sync that arrives after a later sync changes no slice', async () => {
    const {session, control} = await openEntry('b');
    await advance(1000);
    entries[0]!.stopSyncing();
    const slice = () => group.replica('a').state().slices['juniors']![session]!;
    const {generation} = slice();
    const send = (rest: object) =>
      advanceUntilSettled(
        control.sync(syncRequest(session, {...rest, revision: 0})),
      );
    await send({sequence: 3_000_000, use: use(1, generation)});
    await advance(1000);
    const before = slice();
    await send({sequence: 2_000_000, use: use(30, generation)});
    await advance(1000);
    expect(slice()).toEqual(before);
    await send({sequence: 3_000_001, use: use(30, slice().generation)});
    await advance(1000);
    expect(slice().amount).toBeGreaterThan(before.amount);
  });
});

describe('the burn report', () => {
  it('counts no call twice when syncs are repeated, arrive late or belong to a new session', async () => {
    const key = group.createOperatorKey();
    const {session, control} = await openEntry('b');
    await advance(1000);
    entries[0]!.stopSyncing();
    const startMs = Math.floor(Date.now() / 30_000) * 30_000;
    const send = async (to: string, number: number, bad: number) => {
      const buckets = [{startMs, good: 1, bad}];
      const series = [{route: 'lanes', team: 'juniors', buckets}];
      const burn = {source: 'process-1', series};
      const request = syncRequest(to, {sequence: number, burn});
      await advanceUntilSettled(control.sync(request));
    };
    await send(session, 2_000_001, 2);
    await send(session, 2_000_003, 5);
    const next = await openEntry('b');
    entries[1]!.stopSyncing();
    await send(next.session, 2_000_004, 6);
    await send(next.session, 2_000_003, 5);
    const {body} = await advanceUntilSettled(
      control.read({key, topic: 'report'}),
    );
    expect(body).toMatchObject({
      burn: [{team: 'juniors', short: {calls: 7, bad: 6}}],
    });
  });
});

describe('claims', () => {
  const claim = (session: string, key: string) => ({
    session,
    claims: [{team: 'juniors', key, attempt: session}],
  });

  it('of two entries that claim the same key at once, only one gets the claim', async () => {
    const {control} = roles.at('b');
    const keys = Array.from({length: 20}, (_, n) => `k${n}`);
    const answers = await advanceUntilSettled(
      Promise.all([
        ...keys.map(key => control.claim(claim('s1', key))),
        ...keys.map(key => control.claim(claim('s2', key))),
      ]),
    );
    expect(answers.filter(({taken}) => taken.length === 0)).toHaveLength(20);
    expect(group.changesOfType('claim')).toHaveLength(1);
    await advanceUntilSettled(
      control.settle({
        session: 's1',
        claims: [
          {
            team: 'juniors',
            key: 'k0',
            attempt: 's1',
            verdict: 'ran',
            status: 201,
          },
        ],
      }),
    );
    const repeated = await advanceUntilSettled(
      roles.at('c').control.claim(claim('s3', 'k0')),
    );
    expect(repeated.taken).toMatchObject([{phase: 'ran', status: 201}]);
  });

  it('a claim whose outcome is unknown is not proposed again', async () => {
    group.replica('a').loseOutcome = true;
    const lost = roles.at('b').control.claim(claim('s1', 'k'));
    await expect(advanceUntilSettled(lost)).rejects.toMatchObject({
      verdict: 'may-have-run',
    });
    expect(group.changesOfType('claim')).toHaveLength(1);
    // Without a leader the claim was certainly not committed.
    group.elect(undefined);
    const refused = roles.at('b').control.claim(claim('s1', 'k2'));
    await expect(advanceUntilSettled(refused)).rejects.toMatchObject({
      verdict: 'not-run',
    });
    expect(group.changesOfType('claim')).toHaveLength(1);
  });
});

describe('operators', () => {
  const drain: Command = {type: 'drain', host: 'nowhere'};

  it('a command that is sent again after an unknown outcome and a change of leader gets the first answer', async () => {
    const key = group.createOperatorKey();
    const request = {key, requestId: 'r1', command: drain};
    group.replica('a').loseOutcome = true;
    const first = await advanceUntilSettled(
      roles.at('c').control.command(request),
    );
    group.elect('b');
    const repeated = await advanceUntilSettled(
      roles.at('a').control.command(request),
    );
    expect(repeated).toEqual(first);
    expect(first).toMatchObject({ok: false, code: 'unknown'});
  });

  it('a lagging follower refuses a key that was just withdrawn', async () => {
    const key = group.createOperatorKey();
    group.replica('c').lagMs = 500;
    const keyId = key.split('_')[1]!;
    group.command({type: 'withdraw-key', keyId});
    const {control} = roles.at('c');
    const read = control.read({key, topic: 'tables'});
    await expect(advanceUntilSettled(read)).rejects.toMatchObject({
      code: 'unauthorised',
    });
    const sent = control.command({key, requestId: 'r', command: drain});
    await expect(advanceUntilSettled(sent)).rejects.toMatchObject({
      code: 'unauthorised',
    });
  });

  it('reads return limits and members, but no secret hashes', async () => {
    const {text} = createKey();
    const bootstrapped = bootstrapOperator(roles.at('b').proposer, text);
    const first: Result['answer'] = await advanceUntilSettled(bootstrapped);
    const repeated = await advanceUntilSettled(
      bootstrapOperator(roles.at('c').proposer, text),
    );
    expect(repeated).toEqual(first);
    await openEntry('a');
    await advance(1000);
    const {control} = roles.at('c');
    const read = async (topic: 'keys' | 'limits' | 'status') =>
      (await advanceUntilSettled(control.read({key: text, topic}))).body;
    expect(JSON.stringify(await read('keys'))).not.toContain('secretHash');
    expect(await read('keys')).toMatchObject([{subject: {operator: 'first'}}]);
    expect(await read('limits')).toMatchObject([
      {team: 'juniors', limit: 40, slices: [{entryHost: 'entry-1'}]},
    ]);
    expect(await read('status')).toMatchObject({
      leader: 'a',
      role: 'follower',
      voters: ['a', 'b', 'c'],
    });
  });
});

describe('roster', () => {
  const item = (sequence: number, left = false) => ({
    announcement: {
      pool: 'p',
      service: 's',
      host: 'h',
      address: '127.0.0.1:9000',
      incarnation: 1,
      sequence,
      leaseMs: 30_000,
    },
    left,
    ageMs: 0,
  });

  it('an announcement reaches the entries of every process in time, even if gossip was lost', async () => {
    const localEntry = await openEntry('b');
    const remoteEntry = await openEntry('c');
    await advance(500);
    [localEntry, remoteEntry].forEach(entry => entry.stopSyncing());
    const announce = (sequence: number, left: boolean) => {
      const roster = [item(sequence, left)];
      const request = syncRequest(localEntry.session, {roster});
      return advanceUntilSettled(localEntry.control.sync(request));
    };
    await announce(1, false);
    await advance(200);
    const received = await advanceUntilSettled(remoteEntry.sync());
    expect(received.ok && received.roster).toMatchObject([{left: false}]);
    const unchanged = await advanceUntilSettled(remoteEntry.sync());
    expect(unchanged.ok && unchanged.roster).toEqual([]);
    group.replica('c').partitioned = true;
    await announce(2, true);
    await advance(200);
    group.replica('c').partitioned = false;
    group.replica('c').catchUp();
    await advance(10_000);
    // The session was closed as silent in the meantime, but the roster versions
    // of the process still apply to a new session.
    const {session} = await advanceUntilSettled(
      remoteEntry.control.openSession({entryHost: 'entry-3'}),
    );
    const request = syncRequest(session, {
      rosterVersion: remoteEntry.rosterVersion,
    });
    const repaired = await advanceUntilSettled(
      remoteEntry.control.sync(request),
    );
    expect(repaired.ok && repaired.roster).toMatchObject([{left: true}]);
    // A version of another process is unknown here, so all items are sent.
    const answerElsewhere = await advanceUntilSettled(
      localEntry.control.sync(request),
    );
    expect(answerElsewhere.ok && answerElsewhere.roster).toHaveLength(1);
  });
});
