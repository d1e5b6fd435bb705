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

const LIMIT_MS = 60_000;
/** Each round makes three changes: an edit, one that loses to it, a key. */
const ROUNDS = 100;

let stage: ServingCluster | undefined;
afterEach(() => stage?.stop());

async function voters(control: string): Promise<readonly string[]> {
  return (await stage!.operator.status(control))?.voters ?? [];
}

function expectNoRevert(): void {
  const verdict = CHECKERS['no-revert'](stage!.history.events());
  expect(verdict.violations).toEqual([]);
  expect(verdict.examined).toBeGreaterThan(0);
}

describe('real processes that lose hosts, disks or everything', () => {
  it(
    'keep every edit when a host is lost right after a disk was repaired',
    async () => {
      stage = await startServingCluster({entries: 1});
      const {operator, controls, entries} = stage;
      const leader = await operator.waitForLeader();
      const [wiped, second] = controls.filter(name => name !== leader);
      const old = (await operator.status(wiped!))!.member;
      await stage.daemon(wiped!).kill();
      await stage.wipeDataFolder(wiped!);
      await stage.edit(1, 'even');
      await stage.start(wiped!);
      const repaired = async () => {
        const now = await voters(leader);
        const anew = now.some(id => id.startsWith(`${wiped}~`) && id !== old);
        return now.length === 3 && anew && !now.includes(old);
      };
      await expect.poll(repaired, {timeout: 20_000}).toBe(true);

      await stage.daemon(second!).kill();
      expect(await stage.edit(2, 'odd')).toMatchObject({ok: true, version: 3});
      await stage.waitUntilServing(entries[0]!, 'odd');
      await operator.recordTables([leader, wiped!]);
      expectNoRevert();
    },
    LIMIT_MS,
  );

  it(
    'hold the same tables and first answers when all restart after 300 changes',
    async () => {
      stage = await startServingCluster({entries: 2});
      const {operator, controls, entries} = stage;
      const answers = new Map<string, Answer>();
      for (let base = 1; base <= ROUNDS; base++) {
        const service = base % 2 === 0 ? 'odd' : 'even';
        const {id: keyId, secretHash} = createKey();
        const subject = {kind: 'team' as const, team: TEAM};
        const key = {type: 'give-key' as const, keyId, subject, secretHash};
        const all = await Promise.all([
          stage.edit(base, service, `a-${base}`),
          stage.edit(base, service, `b-${base}`),
          operator.command(key, `key-${base}`),
        ]);
        ['a', 'b', 'key'].forEach((name, i) =>
          answers.set(`${name}-${base}`, all[i]!),
        );
        expect(all.filter(({ok}) => ok)).toHaveLength(2);
      }
      const lost = await stage.edit(5, 'odd', 'too-late');
      expect(lost).toMatchObject({ok: false, code: 'conflict'});
      const before = await operator.recordTables(controls);
      expect(new Set(before).size).toBe(1);

      const all = [...controls, ...entries.map(({name}) => name)];
      await Promise.all(all.map(name => stage!.daemon(name).kill()));
      await Promise.all(all.map(name => stage!.start(name)));
      await operator.waitForLeader();
      expect(await operator.recordTables(controls)).toEqual(before);
      for (let base = 1; base <= ROUNDS; base += 11) {
        for (const id of [`a-${base}`, `b-${base}`]) {
          expect(await stage.edit(base, 'odd', id)).toEqual(answers.get(id));
        }
      }
      expect(await stage.edit(5, 'odd', 'too-late')).toEqual(lost);
      expect(await operator.recordTables(controls)).toEqual(before);
      // Version 101 sends calls to `odd`.
      for (const entry of entries) await stage.waitUntilServing(entry, 'odd');
      expectNoRevert();
    },
    LIMIT_MS,
  );

  it(
    'refuse a folder in use or damaged, with one clear line, and go on',
    async () => {
      stage = await startServingCluster({entries: 1});
      const {operator, controls} = stage;
      const leader = await operator.waitForLeader();
      const hurt = controls.find(name => name !== leader)!;
      const twin = startDaemon('twin', stage.flags(hurt));
      expect((await twin.exit)[0]).toBe(1);
      expect(twin.lines).toHaveLength(1);
      expect(twin.lines[0]!.text).toContain('in use by another process');

      await stage.daemon(hurt).kill();
      const path = join(stage.dataFolder(hurt), 'log');
      const bytes = await readFile(path);
      bytes[bytes.length >> 2]! ^= 0xff;
      await writeFile(path, bytes);
      const damaged = startDaemon('damaged', stage.flags(hurt));
      expect((await damaged.exit)[0]).toBe(1);
      expect(damaged.lines).toHaveLength(1);
      expect(damaged.lines[0]!.text).toContain(path);
      expect(await readFile(path)).toEqual(bytes);

      expect(await stage.edit(1, 'even')).toMatchObject({ok: true});
      await stage.wipeDataFolder(hurt);
      await stage.start(hurt);
      await expect
        .poll(() => stage!.operator.status(hurt), {timeout: 20_000})
        .toMatchObject({role: 'follower', version: 2});
      await operator.recordTables(controls);
      expectNoRevert();
    },
    LIMIT_MS,
  );
});
