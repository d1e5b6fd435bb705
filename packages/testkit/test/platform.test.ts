import {SoloReplica} from '@lentildrift/consensus';
import {stateMachine, startPlanner} from '@lentildrift/control';
import {
  findJob,
  type Answer,
  type Change,
  type State,
} from '@lentildrift/model';
import {createLog} from '@lentildrift/observe';
import {HttpPlatform} from '@lentildrift/platform';
import {FakePlatform, startPlatformServer} from '@lentildrift/sample';
import {startTasks} from '@lentildrift/task';
import {ARCHERS_SIZE, buildFleet} from '@lentildrift/testkit';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {createJobSpec} from './planner-harness.js';

const cleanups: (() => Promise<unknown>)[] = [];
afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

function connect(url: string, timeoutMs?: number): HttpPlatform {
  const client = new HttpPlatform({
    url,
    ...(timeoutMs === undefined ? {} : {timeoutMs}),
  });
  cleanups.push(() => client.close());
  return client;
}

async function listen(server: Server): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  cleanups.push(async () => {
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function servePlatform() {
  const fleet = buildFleet(ARCHERS_SIZE);
  const clock = {nowMs: 0};
  const platform = new FakePlatform({
    hosts: fleet.hosts,
    now: () => clock.nowMs,
  });
  const server = await startPlatformServer(platform);
  cleanups.push(() => server.stop());
  return {fleet, clock, platform, url: server.url};
}

const START = {
  type: 'start' as const,
  host: 'worker-0',
  job: 'job',
  command: 'sleep 9000',
  size: {cores: 1, memoryMiB: 1, accelerators: 0},
  leaseMs: 10_000,
};

/**
 * Guards the HTTP client and server of the platform against missing, malformed,
 * repeated and outdated messages.
 */
describe('platform over HTTP', () => {
  test('a request to a platform that never answers fails after its timeout', async () => {
    const url = await listen(createServer(() => undefined));
    const started = performance.now();
    await expect(connect(url, 200).observe(1)).rejects.toThrow();
    expect(performance.now() - started).toBeLessThan(2000);
  });

  test('a malformed answer is an error, not an empty observation', async () => {
    const bodies = ['{"hosts": 3}', 'no json'];
    const url = await listen(
      createServer((_, response) => response.end(bodies.shift())),
    );
    const client = connect(url);
    await expect(client.observe(1)).rejects.toThrow('malformed answer');
    await expect(client.observe(1)).rejects.toThrow('malformed answer');
  });

  test('the platform fences older leaders and older attempts, and runs a repeated command only once', async () => {
    const {url, platform, clock} = await servePlatform();
    const client = connect(url);
    const run = async (leader: number, token: number, type = 'start') => {
      const command = {...START, type, leader, token} as typeof START & {
        leader: number;
        token: number;
      };
      const [answer] = await client.command([command]);
      return answer;
    };
    expect(await run(5, 7)).toBe('done');
    expect(await run(5, 7)).toBe('done');
    expect(platform.starts.get('worker-0')).toBe(1);
    expect(await run(4, 9)).toBe('fenced');
    expect(await run(5, 6, 'stop')).toBe('fenced');
    // After a stop of an attempt that has not started, its start has no effect.
    expect(await run(5, 8, 'stop')).toBe('done');
    expect(await run(5, 8)).toBe('done');
    expect(platform.starts.get('worker-0')).toBe(1);
    await client.observe(6);
    expect(await run(5, 10)).toBe('fenced');
    clock.nowMs = 60_000;
    expect((await client.observe(6)).tasks).toMatchObject([{job: 'job'}]);
  });

  test('the planner task runs a job from submission to completion', async () => {
    const {url, fleet, clock} = await servePlatform();
    const replica = new SoloReplica<State, Change, Answer>({
      ...stateMachine,
      initial: fleet.state,
    });
    const failures: Error[] = [];
    const tasks = startTasks((_, error) => failures.push(error));
    const planner = startPlanner({
      replica,
      tasks,
      platform: connect(url),
      log: createLog('error'),
      now: () => clock.nowMs,
    });
    cleanups.push(() => planner.stop());
    const jobs = [createJobSpec('job', {command: 'sleep 5000'})];
    const body = {type: 'submit-jobs' as const, team: 'team-0', jobs};
    await replica.propose({atMs: 0, body});
    const phases = new Set<string>();
    for (let round = 0; round < 10; round++) {
      clock.nowMs += 1000;
      await planner.runRound();
      phases.add(findJob(replica.state().jobs, 'job')!.phase);
    }
    expect([...phases]).toEqual(['starting', 'running', 'done']);
    expect(failures).toEqual([]);
  });
});
