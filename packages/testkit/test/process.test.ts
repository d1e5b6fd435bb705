import {
  CHECKERS,
  ofType,
  AT_MOST_ONCE_ROUTE,
  ROUTE,
  startServingCluster,
  TEAM,
  type Invariant,
  type ServingCluster,
} from '@lentildrift/testkit';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';

const LIMIT_MS = 60_000;
/** Lease of an entry host, with 1 % of clock drift. */
const LEASE_MS = 3030;
const ELECTION_MIN_MS = 1500;
/** Bound of an edit across one election. */
const EDIT_MS = 7000;

let stage: ServingCluster | undefined;
afterEach(() => stage?.stop());

function judge(...invariants: Invariant[]): void {
  for (const name of invariants) {
    const {violations, examined} = CHECKERS[name](stage!.history.events());
    expect({name, violations}).toEqual({name, violations: []});
    expect(examined, `events of ${name}`).toBeGreaterThan(0);
  }
}

describe('real processes under load', () => {
  it(
    'lose no accepted edit and repeat no request when the leader is killed',
    async () => {
      stage = await startServingCluster({entries: 2});
      const {operator, entries, controls, teamKey: key} = stage;
      let turn = 0;
      const stopLoad = stage.caller.startLoad(() => {
        const entry = entries[++turn % 2]!;
        const common = {entry, team: TEAM, key, workMs: 20};
        // Each identity is used twice, through both entry hosts.
        return turn % 4 < 2
          ? {...common, route: ROUTE}
          : {
              ...common,
              route: AT_MOST_ONCE_ROUTE,
              idempotencyKey: `score-${turn >> 2}`,
            };
      }, 8);
      await sleep(1000);
      const old = await operator.waitForLeader();
      const killedMs = performance.now();
      const killed = stage.daemon(old).kill();
      const racing = await Promise.all([
        stage.edit(1, 'odd', 'a'),
        stage.edit(1, 'odd', 'b'),
      ]);
      expect(performance.now() - killedMs).toBeLessThan(EDIT_MS);
      await killed;
      expect(racing.filter(({ok}) => ok)).toHaveLength(1);
      const next = await operator.waitForLeader();
      expect(next).not.toBe(old);
      await stage.start(old);
      expect(await stage.edit(1, 'odd', 'a')).toEqual(racing[0]);
      await sleep(3000);
      const results = await stopLoad();
      expect(results.slice(-20).every(({status}) => status > 0)).toBe(true);
      for (const entry of entries) await stage.waitUntilServing(entry, 'odd');
      await operator.recordTables(controls);
      const offices = ofType(stage.history.events(), 'led');
      const terms = offices.map(({term}) => term);
      expect(new Set(terms).size).toBe(terms.length);
      judge('whole-answer', 'true-refusal', 'at-most-once', 'limit');
      judge('keys', 'no-revert');
    },
    LIMIT_MS,
  );

  it(
    'run nothing under a key that was withdrawn while an entry was frozen',
    async () => {
      stage = await startServingCluster({entries: 2});
      const {operator, entries, caller, history} = stage;
      const [frozen, other] = [entries[0]!, entries[1]!];
      const key = await operator.issueKey({kind: 'team', team: TEAM});
      const keyId = key.split('_')[1]!;
      const options = {route: ROUTE, team: TEAM, key};
      await sleep(1500);
      const before = await caller.call({...options, entry: frozen});
      expect(before.status).toBe(200);

      stage.daemon(frozen.name).freeze();
      const withdrawn = await operator.command({type: 'withdraw-key', keyId});
      const withdrawnMs = performance.now();
      expect(withdrawn.ok).toBe(true);
      const stopLoad = caller.startLoad(() => ({...options, entry: other}), 2);
      await stage.edit(1, 'even');
      await stage.waitUntilServing(other, 'even');
      // Long enough that control closes the silent session.
      await sleep(6000);
      const waiting = Array.from({length: 5}, () =>
        caller.call({...options, entry: frozen}),
      );
      await sleep(100);
      stage.daemon(frozen.name).thaw();
      const late = await Promise.all(waiting);
      await stopLoad();
      expect(late.map(({verdict}) => verdict)).toEqual(
        Array(5).fill('not-run'),
      );
      await stage.waitUntilServing(frozen, 'even');
      await operator.recordTables(stage.controls);

      const ids = new Set(
        ofType(history.events(), 'call-sent')
          .filter(call => call.keyId === keyId)
          .map(({call}) => call),
      );
      const runs = ofType(history.events(), 'run-began').filter(
        ({call, atMs}) => ids.has(call) && atMs > withdrawnMs + LEASE_MS,
      );
      expect(runs).toEqual([]);
      judge('keys', 'true-refusal', 'no-revert', 'limit');
    },
    LIMIT_MS,
  );

  it(
    'interrupt no call when an entry and the leader stop gracefully',
    async () => {
      stage = await startServingCluster({entries: 2});
      const {operator, entries, caller, history, teamKey: key} = stage;
      const [ending, staying] = [entries[0]!, entries[1]!];
      const options = {route: ROUTE, team: TEAM, key, workMs: 2000};
      const calls = [ending, staying].flatMap(entry =>
        Array.from({length: 5}, () => caller.call({...options, entry})),
      );
      await sleep(500);
      const running = stage.upstreams[0]!.runningCalls();
      expect(running).toBe(10);
      const old = await operator.waitForLeader();
      const stoppedMs = performance.now();
      history.record({type: 'stop-began', entry: ending.name});
      const entryExit = stage.daemon(ending.name).stop();
      const leaderExit = stage.daemon(old).stop();
      expect(await leaderExit).toBe(0);
      expect((await Promise.all(calls)).map(({status}) => status)).toEqual(
        Array(10).fill(200),
      );
      expect(await entryExit).toBe(0);
      history.record({type: 'stop-ended', entry: ending.name});
      const next = await operator.waitForLeader();
      expect(next).not.toBe(old);
      // The leader hands over, so that no election timeout has to pass.
      const took = await stage.daemon(next).waitForLine(['role=leader'], 1000);
      expect(took.atMs - stoppedMs).toBeLessThan(ELECTION_MIN_MS);
      await stage.waitUntilServing(staying, 'odd');
      judge('graceful', 'whole-answer', 'limit');
    },
    LIMIT_MS,
  );

  it(
    'give no work to an upstream that left, also after an older announcement',
    async () => {
      stage = await startServingCluster({entries: 2});
      const {entries, caller, history, teamKey: key} = stage;
      const leaver = await stage.addUpstream('odd');
      let turn = 0;
      const stopLoad = caller.startLoad(
        () => ({
          entry: entries[++turn % 2]!,
          route: ROUTE,
          team: TEAM,
          key,
        }),
        4,
      );
      const runsOf = (sinceMs: number) =>
        ofType(history.events(), 'run-began').filter(
          ({upstream, atMs}) => upstream === leaver.host && atMs > sinceMs,
        );
      await expect
        .poll(() => runsOf(0).length, {timeout: 5000})
        .toBeGreaterThan(3);
      const older = leaver.lastAnnouncement();
      await leaver.leave();
      const leftMs = performance.now();
      for (const {port} of entries) await leaver.send('/announce', older, port);
      await sleep(5500);
      for (const {port} of entries) await leaver.send('/announce', older, port);
      await sleep(1500);
      await stopLoad();
      expect(runsOf(leftMs + 2000)).toEqual([]);
      judge('leaving', 'whole-answer', 'limit');
    },
    LIMIT_MS,
  );
});
