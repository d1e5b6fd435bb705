import {
  listJobs,
  findJob,
  listOccupyingJobs,
  listUnfinishedJobs,
  type State,
} from '@lentildrift/model';
import {Platform, type PlatformCommand} from '@lentildrift/platform';
import {STARTS_PER_ROUND} from '@lentildrift/policy';
import type {FakePlatform} from '@lentildrift/sample';
import {describe, expect, test} from 'vitest';
import {
  createJobSpec,
  LeadershipLost,
  startPlannerHarness,
} from './planner-harness.js';

const isDone = (state: State) => state.waves['wave']?.phase === 'done';

/** Holds each command back until it is let through. */
class FrozenPlatform extends Platform {
  private thaw: (() => void) | undefined;
  held: PlatformCommand[] = [];

  constructor(private readonly inner: FakePlatform) {
    super();
  }

  override observe(leader: number) {
    return this.inner.observe(leader);
  }

  override async command(commands: readonly PlatformCommand[]) {
    this.held = [...commands];
    await new Promise<void>(resolve => (this.thaw = resolve));
    return this.inner.command(commands);
  }

  release(): void {
    this.thaw!();
  }
}

describe('planner', () => {
  test('a correlated loss during a wave lets it take no further host there', async () => {
    const rig = await startPlannerHarness();
    await rig.openWave();
    await rig.runUntil(s => s.waves['wave']!.finished.length > 3, 600);
    rig.platform.failDomain('dc-1');
    await rig.runUntil(() => true, 1);
    const lost = Object.values(rig.state().hosts).filter(
      h => h.phase === 'failed',
    );
    expect(lost.length).toBeGreaterThan(5);
    const under = () =>
      Object.values(rig.state().hosts).filter(h => h.permit?.wave).length;
    const before = under();
    await rig.runUntil(() => true, 1);
    await rig.runUntil(
      () => under() <= before,
      50,
      () => {
        expect(under()).toBeLessThanOrEqual(before);
      },
    );
    // Repairs bring the data centre back, and the wave then ends.
    await rig.runUntil(isDone, 3000);
    expect(rig.state().waves['wave']!.finished).toHaveLength(35);
    expect(rig.maxAway.maxAway).toBeGreaterThan(5);
  });

  test('a planner restarted at every round loses no step of a wave or a job', async () => {
    const rig = await startPlannerHarness({restartEachRound: true});
    const jobs = [...Array(100).keys()].map(i => createJobSpec(`job-${i}`));
    await rig.submit('team-0', jobs);
    await rig.openWave();
    await rig.runUntil(
      s => isDone(s) && listUnfinishedJobs(s.jobs).length === 0,
      3000,
    );
    expect(rig.platform.doubleRuns).toBe(0);
    expect(listJobs(rig.state().jobs).every(j => j.phase === 'done')).toBe(
      true,
    );
  });

  test('a worker that fails everything is quarantined after few starts, a job that fails everywhere is parked', async () => {
    const rig = await startPlannerHarness();
    const bad = rig.state().tables.pools['pool-0']!.hosts[0]!;
    rig.platform.setFaulty(bad);
    const jobs = [...Array(200).keys()].map(i =>
      createJobSpec(`job-${i}`, {command: 'sleep 5000'}),
    );
    const broken = [...Array(5).keys()].map(i =>
      createJobSpec(`broken-${i}`, {command: 'fail'}),
    );
    const huge = {cores: 65, memoryMiB: 1024, accelerators: 0};
    await rig.submit('team-0', [
      ...broken,
      createJobSpec('huge', {declared: huge}),
      ...jobs,
    ]);
    await rig.runUntil(s => s.jobs.finished === jobs.length, 300);
    const {hosts} = rig.state();
    expect(Object.values(hosts).filter(h => h.quarantined)).toEqual([
      hosts[bad],
    ]);
    expect(rig.platform.starts.get(bad)).toBeLessThanOrEqual(
      STARTS_PER_ROUND + 3,
    );
    for (const {id} of broken) {
      expect(findJob(rig.state().jobs, id)).toMatchObject({
        phase: 'parked',
        reason: expect.stringContaining('failed on'),
      });
    }
    expect(findJob(rig.state().jobs, 'huge')).toMatchObject({
      phase: 'parked',
      reason: 'larger than any worker of its pool',
    });
  });

  test('commands of a planner that was frozen while another took over have no effect', async () => {
    const rig = await startPlannerHarness();
    await rig.submit('team-0', [createJobSpec('job')]);
    const frozen = new FrozenPlatform(rig.platform);
    rig.clock.nowMs += 1000;
    const old = rig.round(undefined, frozen);
    const outcome = expect(old).rejects.toThrow(LeadershipLost);
    await expect.poll(() => frozen.held.length).toBe(1);
    const next = await rig.takeOver();
    const ids = ['job'];
    await rig.propose({type: 'cancel-jobs', team: 'team-0', jobs: ids});
    rig.clock.nowMs += 1000;
    await rig.round(next);
    frozen.release();
    await outcome;
    expect(rig.platform.runningTasks()).toBe(0);
    rig.clock.nowMs += 1000;
    await rig.round(next);
    expect(findJob(rig.state().jobs, 'job')!.phase).toBe('cancelled');
  });

  test('a planner that no longer leads proposes and commands nothing', async () => {
    const rig = await startPlannerHarness();
    await rig.submit('team-0', [createJobSpec('job')]);
    rig.replica.leads = false;
    const {revision} = rig.state();
    await expect(rig.round()).rejects.toThrow(LeadershipLost);
    expect(rig.state().revision).toBe(revision);
    expect(rig.platform.runningTasks()).toBe(0);
  });

  test('a rack lost during moves leaves every host in the pool that the tables name', async () => {
    const rig = await startPlannerHarness();
    const {pools} = rig.state().tables;
    const swapped = Object.values(pools).map(pool => {
      if (pool.name === 'pool-0') return {...pool, minAvailable: 3};
      return pool;
    });
    const [first, second] = pools['pool-0']!.hosts;
    const moved = swapped.map(pool => {
      const hosts = pool.hosts.filter(id => id !== first && id !== second);
      const target = pool.name === 'pool-1';
      return {...pool, hosts: target ? [...hosts, first!, second!] : hosts};
    });
    const edit = {basedOn: rig.state().tables.version, pools: moved};
    await rig.propose({
      type: 'command',
      requestId: 'move',
      command: {type: 'edit', edit},
    });
    await rig.runUntil(s => s.hosts[first!]!.phase !== 'serving', 5);
    const {dataCentre, rack} = rig.state().hosts[first!]!;
    rig.platform.failDomain(dataCentre, rack);
    await rig.runUntil(
      s =>
        Object.values(s.hosts).every(h => h.phase === 'serving' && !h.permit) &&
        s.hosts[second!]!.pool === 'pool-1',
      1200,
    );
    for (const pool of Object.values(rig.state().tables.pools)) {
      for (const id of pool.hosts) {
        expect(rig.state().hosts[id]!.pool).toBe(pool.name);
      }
    }
  });

  test('a wave of 10,000 cancellations ends in one outcome for each job', async () => {
    const rig = await startPlannerHarness();
    const jobs = [...Array(10_000).keys()].map(i => createJobSpec(`job-${i}`));
    await rig.submit('team-0', jobs);
    await rig.runUntil(s => listOccupyingJobs(s.jobs).length > 50, 10);
    const ids = jobs.map(({id}) => id);
    const {revision} = rig.state();
    await rig.propose({type: 'cancel-jobs', team: 'team-0', jobs: ids});
    expect(rig.state().revision).toBe(revision + 1);
    await rig.runUntil(s => s.jobs.unfinished === 0, 10);
    expect(rig.platform.runningTasks()).toBe(0);
  });

  test.each([
    {when: 'in whole rounds', paused: false},
    {when: 'in rounds between them', paused: true},
  ])('urgent work on a full fleet waits over 9.6 s $when', async ({paused}) => {
    const rig = await startPlannerHarness();
    // Teams fill the pool with work whose memory only a checkpoint frees.
    const declared = {cores: 8, memoryMiB: 60_000, accelerators: 0};
    for (const team of ['team-0', 'team-1']) {
      const jobs = [...Array(60).keys()].map(i =>
        createJobSpec(`${team}-${i}`, {declared, command: 'sleep 9000000'}),
      );
      await rig.submit(team, jobs);
    }
    await rig.runUntil(() => false, 30).catch(() => undefined);
    rig.pause.on = paused;
    const urgent = [...Array(6).keys()].map(i =>
      createJobSpec(`urgent-${i}`, {declared, urgent: true}),
    );
    await rig.submit('team-2', urgent);
    const seconds = await rig.runUntil(
      s => urgent.every(({id}) => findJob(s.jobs, id)!.phase === 'running'),
      9,
    );
    expect(seconds).toBeLessThanOrEqual(9);
    expect(rig.platform.doubleRuns).toBe(0);
    // Work that was held back for it goes on at full speed in the end.
    rig.pause.on = false;
    await rig.runUntil(() => true, 1);
    await rig.runUntil(() => true, 1);
    const {tasks} = rig.platform.observeSync(0);
    expect(tasks.length).toBeGreaterThan(0);
    expect(
      tasks.filter(each => each.throttled && each.phase === 'running'),
    ).toEqual([]);
  });

  test('a worker that is cut off does not run a job a second time', async () => {
    const rig = await startPlannerHarness();
    const jobs = [...Array(40).keys()].map(i => createJobSpec(`job-${i}`));
    await rig.submit('team-0', jobs);
    await rig.runUntil(s => listOccupyingJobs(s.jobs).length === 40, 10);
    const cut = listOccupyingJobs(rig.state().jobs)[0]!.host!;
    rig.platform.disconnect(cut, 300_000);
    await rig.runUntil(s => s.jobs.unfinished === 0, 400);
    expect(rig.platform.doubleRuns).toBe(0);
    expect(rig.state().jobs.finished).toBe(40);
  });
});
