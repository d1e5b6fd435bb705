import {
  CHECKERS,
  startDaemon,
  startServingCluster,
  TEAM,
  type ServingCluster,
} from '@lentildrift/testkit';
import {createKey, type Answer} from '@lentildrift/model';
import {readFile, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {afterEach, describe, expect, it} from 'vitest';

const TEST_TIMEOUT_MS = 60_000;
/** Each round makes three changes: an edit, an edit that conflicts, a new key. */
const ROUNDS = 100;

let cluster: ServingCluster | undefined;
afterEach(() => cluster?.stop());

async function fetchVoters(control: string): Promise<readonly string[]> {
  return (await cluster!.operator.status(control))?.voters ?? [];
}

function expectNoRevert(): void {
  const verdict = CHECKERS['no-revert'](cluster!.history.events());
  expect(verdict.violations).toEqual([]);
  expect(verdict.examined).toBeGreaterThan(0);
}

/**
 * Runs the daemon as separate processes. Guards against accepted edits and
 * recorded answers that are lost when disks are lost or damaged, or when every
 * process is killed and restarted.
 */
describe('real processes that lose hosts, disks or all processes', () => {
  it(
    'keep every edit when a host is lost right after a disk was repaired',
    async () => {
      cluster = await startServingCluster({entries: 1});
      const {operator, controls, entries} = cluster;
      const leader = await operator.waitForLeader();
      const [wiped, lostHost] = controls.filter(name => name !== leader);
      const oldMember = (await operator.status(wiped!))!.member;
      await cluster.daemon(wiped!).kill();
      await cluster.wipeDataFolder(wiped!);
      await cluster.edit(1, 'even');
      await cluster.start(wiped!);
      const repaired = async () => {
        const voters = await fetchVoters(leader);
        const hasNewMember = voters.some(
          id => id.startsWith(`${wiped}~`) && id !== oldMember,
        );
        return (
          voters.length === 3 && hasNewMember && !voters.includes(oldMember)
        );
      };
      await expect.poll(repaired, {timeout: 20_000}).toBe(true);

      await cluster.daemon(lostHost!).kill();
      expect(await cluster.edit(2, 'odd')).toMatchObject({
        ok: true,
        version: 3,
      });
      await cluster.waitUntilServing(entries[0]!, 'odd');
      await operator.recordTables([leader, wiped!]);
      expectNoRevert();
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'have the same tables and answers after all processes restart after 300 changes',
    async () => {
      cluster = await startServingCluster({entries: 2});
      const {operator, controls, entries} = cluster;
      const answers = new Map<string, Answer>();
      for (let base = 1; base <= ROUNDS; base++) {
        const service = base % 2 === 0 ? 'odd' : 'even';
        const {id: keyId, secretHash} = createKey();
        const subject = {kind: 'team' as const, team: TEAM};
        const key = {type: 'give-key' as const, keyId, subject, secretHash};
        const all = await Promise.all([
          cluster.edit(base, service, `a-${base}`),
          cluster.edit(base, service, `b-${base}`),
          operator.command(key, `key-${base}`),
        ]);
        ['a', 'b', 'key'].forEach((name, i) =>
          answers.set(`${name}-${base}`, all[i]!),
        );
        expect(all.filter(({ok}) => ok)).toHaveLength(2);
      }
      const lateEdit = await cluster.edit(5, 'odd', 'too-late');
      expect(lateEdit).toMatchObject({ok: false, code: 'conflict'});
      const digests = await operator.recordTables(controls);
      expect(new Set(digests).size).toBe(1);

      const all = [...controls, ...entries.map(({name}) => name)];
      await Promise.all(all.map(name => cluster!.daemon(name).kill()));
      await Promise.all(all.map(name => cluster!.start(name)));
      await operator.waitForLeader();
      expect(await operator.recordTables(controls)).toEqual(digests);
      for (let base = 1; base <= ROUNDS; base += 11) {
        for (const id of [`a-${base}`, `b-${base}`]) {
          expect(await cluster.edit(base, 'odd', id)).toEqual(answers.get(id));
        }
      }
      expect(await cluster.edit(5, 'odd', 'too-late')).toEqual(lateEdit);
      expect(await operator.recordTables(controls)).toEqual(digests);
      // Version 101 sends calls to `odd`.
      for (const entry of entries) await cluster.waitUntilServing(entry, 'odd');
      expectNoRevert();
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'refuse a data folder that is in use or damaged, with one log line, while the cluster continues to work',
    async () => {
      cluster = await startServingCluster({entries: 1});
      const {operator, controls} = cluster;
      const leader = await operator.waitForLeader();
      const damagedHost = controls.find(name => name !== leader)!;
      const twin = startDaemon('twin', cluster.flags(damagedHost));
      expect((await twin.exit)[0]).toBe(1);
      expect(twin.lines).toHaveLength(1);
      expect(twin.lines[0]!.text).toContain('in use by another process');

      await cluster.daemon(damagedHost).kill();
      const path = join(cluster.dataFolder(damagedHost), 'log');
      const bytes = await readFile(path);
      bytes[bytes.length >> 2]! ^= 0xff;
      await writeFile(path, bytes);
      const damaged = startDaemon('damaged', cluster.flags(damagedHost));
      expect((await damaged.exit)[0]).toBe(1);
      expect(damaged.lines).toHaveLength(1);
      expect(damaged.lines[0]!.text).toContain(path);
      expect(await readFile(path)).toEqual(bytes);

      expect(await cluster.edit(1, 'even')).toMatchObject({ok: true});
      await cluster.wipeDataFolder(damagedHost);
      await cluster.start(damagedHost);
      await expect
        .poll(() => cluster!.operator.status(damagedHost), {timeout: 20_000})
        .toMatchObject({role: 'follower', version: 2});
      await operator.recordTables(controls);
      expectNoRevert();
    },
    TEST_TIMEOUT_MS,
  );
});
