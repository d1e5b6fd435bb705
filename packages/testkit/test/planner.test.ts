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

/** Delays commands until `release`, as if the planner were paused. */
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

/**
 * Runs the planner on a virtual clock with one round per second. Guards against
 * broken availability budgets, jobs that run twice and jobs that never end, when
 * workers, data centres or the planner itself fail.
 */
describe('planner', () => {
  test('a wave grants no further permits while a whole data centre is lost', async () => {
    const harness = await startPlannerHarness();
    await harness.openWave();
    await harness.runUntil(s => s.waves['wave']!.finished.length > 3, 600);
    harness.platform.failDomain('dc-1');
    await harness.runUntil(() => true, 1);
    const lost = Object.values(harness.state().hosts).filter(
      h => h.phase === 'failed',
    );
    expect(lost.length).toBeGreaterThan(5);
    const countPermits = () =>
      Object.values(harness.state().hosts).filter(h => h.permit?.wave).length;
    const before = countPermits();
    await harness.runUntil(() => true, 1);
    await harness.runUntil(
      () => countPermits() <= before,
      50,
      () => {
        expect(countPermits()).toBeLessThanOrEqual(before);
      },
    );
    // The data centre recovers, and then the wave ends.
    await harness.runUntil(isDone, 3000);
    expect(harness.state().waves['wave']!.finished).toHaveLength(35);
    expect(harness.permits.maxConcurrent).toBeGreaterThan(5);
  });

  test('a planner that restarts before every round completes a wave and all jobs, each run once', async () => {
    const harness = await startPlannerHarness({restartEachRound: true});
    const jobs = [...Array(100).keys()].map(i => createJobSpec(`job-${i}`));
    await harness.submit('team-0', jobs);
    await harness.openWave();
    await harness.runUntil(
      s => isDone(s) && listUnfinishedJobs(s.jobs).length === 0,
      3000,
    );
    expect(harness.platform.doubleRuns).toBe(0);
    expect(listJobs(harness.state().jobs).every(j => j.phase === 'done')).toBe(
      true,
    );
  });

  test('a worker that fails every job is quarantined after a few starts, and a job that fails on every worker is parked', async () => {
    const harness = await startPlannerHarness();
    const faultyWorker = harness.state().tables.pools['pool-0']!.hosts[0]!;
    harness.platform.setFaulty(faultyWorker);
    const jobs = [...Array(200).keys()].map(i =>
      createJobSpec(`job-${i}`, {command: 'sleep 5000'}),
    );
    const broken = [...Array(5).keys()].map(i =>
      createJobSpec(`broken-${i}`, {command: 'fail'}),
    );
    const huge = {cores: 65, memoryMiB: 1024, accelerators: 0};
    await harness.submit('team-0', [
      ...broken,
      createJobSpec('huge', {declared: huge}),
      ...jobs,
    ]);
    await harness.runUntil(s => s.jobs.finished === jobs.length, 300);
    const {hosts} = harness.state();
    expect(Object.values(hosts).filter(h => h.quarantined)).toEqual([
      hosts[faultyWorker],
    ]);
    expect(harness.platform.starts.get(faultyWorker)).toBeLessThanOrEqual(
      STARTS_PER_ROUND + 3,
    );
    for (const {id} of broken) {
      expect(findJob(harness.state().jobs, id)).toMatchObject({
        phase: 'parked',
        reason: expect.stringContaining('failed on'),
      });
    }
    expect(findJob(harness.state().jobs, 'huge')).toMatchObject({
      phase: 'parked',
      reason: 'larger than any worker of its pool',
    });
  });

  test('commands of a planner that was frozen during a leader change have no effect', async () => {
    const harness = await startPlannerHarness();
    await harness.submit('team-0', [createJobSpec('job')]);
    const frozen = new FrozenPlatform(harness.platform);
    harness.clock.nowMs += 1000;
    const oldRound = harness.round(undefined, frozen);
    const outcome = expect(oldRound).rejects.toThrow(LeadershipLost);
    await expect.poll(() => frozen.held.length).toBe(1);
    const newToken = await harness.takeOver();
    const ids = ['job'];
    await harness.propose({type: 'cancel-jobs', team: 'team-0', jobs: ids});
    harness.clock.nowMs += 1000;
    await harness.round(newToken);
    frozen.release();
    await outcome;
    expect(harness.platform.runningTasks()).toBe(0);
    harness.clock.nowMs += 1000;
    await harness.round(newToken);
    expect(findJob(harness.state().jobs, 'job')!.phase).toBe('cancelled');
  });

  test('a planner on a replica that is no longer the leader proposes and commands nothing', async () => {
    const harness = await startPlannerHarness();
    await harness.submit('team-0', [createJobSpec('job')]);
    harness.replica.leads = false;
    const {revision} = harness.state();
    await expect(harness.round()).rejects.toThrow(LeadershipLost);
    expect(harness.state().revision).toBe(revision);
    expect(harness.platform.runningTasks()).toBe(0);
  });

  test('after a rack is lost during moves, every host ends in the pool that the tables name', async () => {
    const harness = await startPlannerHarness();
    const {pools} = harness.state().tables;
    const withBudget = Object.values(pools).map(pool => {
      if (pool.name === 'pool-0') return {...pool, minAvailable: 3};
      return pool;
    });
    const [first, second] = pools['pool-0']!.hosts;
    const moved = withBudget.map(pool => {
      const hosts = pool.hosts.filter(id => id !== first && id !== second);
      const target = pool.name === 'pool-1';
      return {...pool, hosts: target ? [...hosts, first!, second!] : hosts};
    });
    const edit = {basedOn: harness.state().tables.version, pools: moved};
    await harness.propose({
      type: 'command',
      requestId: 'move',
      command: {type: 'edit', edit},
    });
    await harness.runUntil(s => s.hosts[first!]!.phase !== 'serving', 5);
    const {dataCentre, rack} = harness.state().hosts[first!]!;
    harness.platform.failDomain(dataCentre, rack);
    await harness.runUntil(
      s =>
        Object.values(s.hosts).every(h => h.phase === 'serving' && !h.permit) &&
        s.hosts[second!]!.pool === 'pool-1',
      1200,
    );
    for (const pool of Object.values(harness.state().tables.pools)) {
      for (const id of pool.hosts) {
        expect(harness.state().hosts[id]!.pool).toBe(pool.name);
      }
    }
  });

  test('one change cancels 10,000 jobs, and all of them end with no task running', async () => {
    const harness = await startPlannerHarness();
    const jobs = [...Array(10_000).keys()].map(i => createJobSpec(`job-${i}`));
    await harness.submit('team-0', jobs);
    await harness.runUntil(s => listOccupyingJobs(s.jobs).length > 50, 10);
    const ids = jobs.map(({id}) => id);
    const {revision} = harness.state();
    await harness.propose({type: 'cancel-jobs', team: 'team-0', jobs: ids});
    expect(harness.state().revision).toBe(revision + 1);
    await harness.runUntil(s => s.jobs.unfinished === 0, 10);
    expect(harness.platform.runningTasks()).toBe(0);
  });

  test.each([
    {when: 'with full rounds', urgentRounds: false},
    {when: 'with rounds for urgent jobs only', urgentRounds: true},
  ])(
    'urgent jobs on a full fleet all run within 9.6 s $when',
    async ({urgentRounds}) => {
      const harness = await startPlannerHarness();
      // Two teams fill the pool with jobs whose memory only a checkpoint frees.
      const declared = {cores: 8, memoryMiB: 60_000, accelerators: 0};
      for (const team of ['team-0', 'team-1']) {
        const jobs = [...Array(60).keys()].map(i =>
          createJobSpec(`${team}-${i}`, {declared, command: 'sleep 9000000'}),
        );
        await harness.submit(team, jobs);
      }
      await harness.runUntil(() => false, 30).catch(() => undefined);
      harness.urgentOnly.enabled = urgentRounds;
      const urgent = [...Array(6).keys()].map(i =>
        createJobSpec(`urgent-${i}`, {declared, urgent: true}),
      );
      await harness.submit('team-2', urgent);
      const seconds = await harness.runUntil(
        s => urgent.every(({id}) => findJob(s.jobs, id)!.phase === 'running'),
        9,
      );
      expect(seconds).toBeLessThanOrEqual(9);
      expect(harness.platform.doubleRuns).toBe(0);
      // Afterwards no running task may still be throttled for the urgent jobs.
      harness.urgentOnly.enabled = false;
      await harness.runUntil(() => true, 1);
      await harness.runUntil(() => true, 1);
      const {tasks} = harness.platform.observeSync(0);
      expect(tasks.length).toBeGreaterThan(0);
      expect(
        tasks.filter(each => each.throttled && each.phase === 'running'),
      ).toEqual([]);
    },
  );

  test('no job runs twice when a worker is cut off from the platform', async () => {
    const harness = await startPlannerHarness();
    const jobs = [...Array(40).keys()].map(i => createJobSpec(`job-${i}`));
    await harness.submit('team-0', jobs);
    await harness.runUntil(s => listOccupyingJobs(s.jobs).length === 40, 10);
    const cut = listOccupyingJobs(harness.state().jobs)[0]!.host!;
    harness.platform.disconnect(cut, 300_000);
    await harness.runUntil(s => s.jobs.unfinished === 0, 400);
    expect(harness.platform.doubleRuns).toBe(0);
    expect(harness.state().jobs.finished).toBe(40);
  });
});
