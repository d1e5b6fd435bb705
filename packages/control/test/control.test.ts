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

const pass = (ms: number) => vi.advanceTimersByTimeAsync(ms);

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

  /** Lets time pass and checks the limit at each step. */
  async function passChecked(ms: number, limit: number): Promise<void> {
    for (let elapsed = 0; elapsed < ms; elapsed += 20) {
      await pass(20);
      expect(allRunning()).toBeLessThanOrEqual(limit);
    }
  }

  it('a burst at one entry is not refused what lies idle at the others for over 2 s', async () => {
    for (const member of ['a', 'b', 'c', 'b']) await openEntry(member);
    const [first, second, third] = entries as [FakeEntry, FakeEntry, FakeEntry];
    await passChecked(3000, 40);
    // The whole limit is in use elsewhere, and then falls idle.
    first.setDemand(100);
    await passChecked(4000, 40);
    expect(first.running).toBeGreaterThanOrEqual(30);
    first.setDemand(0);
    await passChecked(2000, 40);
    second.setDemand(100);
    await passChecked(2000, 40);
    // An even reserve of two slots stays with each of the other three.
    expect(second.running).toBeGreaterThanOrEqual(30);
    third.setDemand(100);
    await passChecked(6000, 40);
    expect(Math.abs(second.running - third.running)).toBeLessThanOrEqual(4);
    expect(allRunning()).toBeGreaterThanOrEqual(32);
    expect(roles.failures).toEqual([]);
  });

  it('steady demand with noise below 10 % causes no changes', async () => {
    for (const member of ['a', 'b', 'c']) await openEntry(member);
    entries.forEach(entry => entry.setDemand(30));
    await passChecked(6000, 40);
    const before = group.changesOfType('set-slices').length;
    for (let round = 0; round < 20; round++) {
      entries.forEach((entry, at) => entry.setDemand(30 + ((round + at) % 2)));
      await passChecked(500, 40);
    }
    expect(
      group.changesOfType('set-slices').length - before,
    ).toBeLessThanOrEqual(1);
    expect(allRunning()).toBeGreaterThanOrEqual(38);
  });

  it('a lowered limit is in force once the work above it has ended', async () => {
    for (const member of ['a', 'b']) await openEntry(member);
    entries.forEach(entry => entry.setDemand(30));
    await passChecked(4000, 40);
    group.setLimit(10);
    await passChecked(4000, 40);
    expect(allRunning()).toBeLessThanOrEqual(10);
    expect(allRunning()).toBeGreaterThanOrEqual(8);
    const {slices} = group.replica('a').state();
    const given = Object.values(slices.juniors!).map(({amount}) => amount);
    expect(given.reduce((x, y) => x + y)).toBeLessThanOrEqual(10);
  });

  it('slices of a silent session are not given away before its work has surely ended', async () => {
    const [silent, live] = [await openEntry('b'), await openEntry('c')];
    silent.setDemand(100);
    await pass(3000);
    expect(silent.running).toBeGreaterThanOrEqual(30);
    silent.stopSyncing();
    live.setDemand(100);
    const phase = () =>
      group.replica(group.leader!).state().sessions[silent.session]?.phase;
    while (phase() === 'open') await pass(100);
    const closedMs = performance.now();
    // The new leader counts the whole time from its own start.
    await pass(CLOSED_SESSION_HOLD_MS - 5000);
    group.elect('b');
    await pass(CLOSED_SESSION_HOLD_MS - 1000);
    expect(phase()).toBe('closed');
    expect(live.running + silent.running).toBeLessThanOrEqual(40);
    await pass(2500);
    expect(phase()).toBeUndefined();
    expect(performance.now() - closedMs).toBeGreaterThan(
      CLOSED_SESSION_HOLD_MS,
    );
    await pass(2000);
    expect(live.running).toBeGreaterThanOrEqual(38);
    const told = await advanceUntilSettled(silent.sync());
    expect(told).toEqual({ok: false, code: 'session-closed'});
  });
});

describe('freshness', () => {
  it('a cut-off replica renews no lease, and says not-run', async () => {
    const entry = await openEntry('b');
    await pass(100);
    entry.stopSyncing();
    group.replica('b').partitioned = true;
    group.command({type: 'withdraw-key', keyId: 'x'});
    await expect(advanceUntilSettled(entry.sync())).rejects.toMatchObject({
      code: 'unavailable',
      verdict: 'not-run',
    });
    // Connected but behind the read index: it must wait, not answer.
    group.replica('b').partitioned = false;
    const late = entry.sync();
    late.catch(() => undefined);
    await pass(200);
    const revision = group.log.length;
    group.replica('b').catchUp();
    const answer = await advanceUntilSettled(late);
    expect(answer.ok && answer.view.to).toBeGreaterThanOrEqual(revision);
  });

  it('a sync is not served by a round that began before it arrived', async () => {
    const entry = await openEntry('b');
    await pass(2000);
    entry.stopSyncing();
    await pass(2000);
    const leader = group.replica('a');
    const before = leader.readIndexRounds;
    const {control} = roles.at('b');
    const sync = () => control.sync(syncRequest(entry.session));
    const first = sync();
    await pass(2);
    const later = [sync(), sync(), sync()];
    await advanceUntilSettled(Promise.all([first, ...later]));
    expect(leader.readIndexRounds - before).toBe(2);
  });
});

describe('use in syncs', () => {
  const use = (demand: number, generation: number) => ({
    juniors: {running: 0, demand, generation, ceiling: 10},
  });

  it('a process that lacks earlier use does not acknowledge a difference', async () => {
    const {session, control} = await openEntry('b');
    await pass(1000);
    entries[0]!.stopSyncing();
    const held = async (at: typeof control, rest: object) => {
      const answer = await advanceUntilSettled(
        at.sync(syncRequest(session, rest)),
      );
      return answer.ok && answer.useHeld;
    };
    expect(await held(control, {useSince: 0})).toBe(true);
    expect(await held(control, {useSince: sequence})).toBe(true);
    const other = roles.at('c').control;
    expect(await held(other, {useSince: sequence})).toBe(false);
    expect(await held(other, {useSince: sequence})).toBe(false);
    expect(await held(other, {useSince: 0})).toBe(true);
    // The entry came back after a sync that this process has not seen.
    expect(await held(control, {useSince: sequence})).toBe(false);
  });

  it('a late sync changes no slice', async () => {
    const {session, control} = await openEntry('b');
    await pass(1000);
    entries[0]!.stopSyncing();
    const slice = () => group.replica('a').state().slices['juniors']![session]!;
    const {generation} = slice();
    const send = (rest: object) =>
      advanceUntilSettled(
        control.sync(syncRequest(session, {...rest, revision: 0})),
      );
    await send({sequence: 3_000_000, use: use(1, generation)});
    await pass(1000);
    const before = slice();
    await send({sequence: 2_000_000, use: use(30, generation)});
    await pass(1000);
    expect(slice()).toEqual(before);
    await send({sequence: 3_000_001, use: use(30, slice().generation)});
    await pass(1000);
    expect(slice().amount).toBeGreaterThan(before.amount);
  });
});

describe('the burn report', () => {
  it('counts no call twice when syncs are repeated, late or of a new session', async () => {
    const key = group.createOperatorKey();
    const {session, control} = await openEntry('b');
    await pass(1000);
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

  it('two entries that claim one key at once do not both win', async () => {
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
    const again = await advanceUntilSettled(
      roles.at('c').control.claim(claim('s3', 'k0')),
    );
    expect(again.taken).toMatchObject([{phase: 'ran', status: 201}]);
  });

  it('a claim whose outcome is unknown is not proposed again', async () => {
    group.replica('a').loseOutcome = true;
    const lost = roles.at('b').control.claim(claim('s1', 'k'));
    await expect(advanceUntilSettled(lost)).rejects.toMatchObject({
      verdict: 'may-have-run',
    });
    expect(group.changesOfType('claim')).toHaveLength(1);
    // Without a leader it was certainly not made.
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

  it('a resend gets the first answer after a lost outcome and a new leader', async () => {
    const key = group.createOperatorKey();
    const request = {key, requestId: 'r1', command: drain};
    group.replica('a').loseOutcome = true;
    const first = await advanceUntilSettled(
      roles.at('c').control.command(request),
    );
    group.elect('b');
    const again = await advanceUntilSettled(
      roles.at('a').control.command(request),
    );
    expect(again).toEqual(first);
    expect(first).toMatchObject({ok: false, code: 'unknown'});
  });

  it('a key that was just withdrawn is refused at a follower that lags', async () => {
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

  it('reads show limits, members and no secret hashes', async () => {
    const {text} = createKey();
    const given = bootstrapOperator(roles.at('b').proposer, text);
    const first: Result['answer'] = await advanceUntilSettled(given);
    const again = await advanceUntilSettled(
      bootstrapOperator(roles.at('c').proposer, text),
    );
    expect(again).toEqual(first);
    await openEntry('a');
    await pass(1000);
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

  it('an announcement reaches entries of every process in time, and lost gossip is repaired', async () => {
    const near = await openEntry('b');
    const far = await openEntry('c');
    await pass(500);
    [near, far].forEach(entry => entry.stopSyncing());
    const announce = (sequence: number, left: boolean) => {
      const roster = [item(sequence, left)];
      const request = syncRequest(near.session, {roster});
      return advanceUntilSettled(near.control.sync(request));
    };
    await announce(1, false);
    await pass(200);
    const heard = await advanceUntilSettled(far.sync());
    expect(heard.ok && heard.roster).toMatchObject([{left: false}]);
    const nothingNew = await advanceUntilSettled(far.sync());
    expect(nothingNew.ok && nothingNew.roster).toEqual([]);
    group.replica('c').partitioned = true;
    await announce(2, true);
    await pass(200);
    group.replica('c').partitioned = false;
    group.replica('c').catchUp();
    await pass(10_000);
    // The session fell silent meanwhile; the process keeps its versions.
    const {session} = await advanceUntilSettled(
      far.control.openSession({entryHost: 'entry-3'}),
    );
    const request = syncRequest(session, {rosterVersion: far.rosterVersion});
    const repaired = await advanceUntilSettled(far.control.sync(request));
    expect(repaired.ok && repaired.roster).toMatchObject([{left: true}]);
    // A version of another process asks for everything.
    const moved = await advanceUntilSettled(near.control.sync(request));
    expect(moved.ok && moved.roster).toHaveLength(1);
  });
});
