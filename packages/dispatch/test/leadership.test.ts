/** Tests that one leader at a time runs in a process. */
import {SoloReplica, type ReplicaStatus} from '@lentildrift/consensus';
import {createLog, createMetrics} from '@lentildrift/observe';
import type {Change, Outcome, State} from '@lentildrift/queue';
import {startTasks, type Reply} from '@lentildrift/task';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {createHostOrderGuard} from '../src/host-order-guard.js';
import {Adviser, queueMachine} from '../src/index.js';
import {
  followLeadership,
  type Leadership,
  type QueueRaft,
} from '../src/leadership.js';
import {FakeFleet, FakeHostProvider} from './fakes.js';

/** A member whose role and term the test sets, and that applies on request. */
class ScriptedReplica extends SoloReplica<State, Change, readonly Outcome[]> {
  private role: ReplicaStatus['role'] = 'follower';
  private term = 0;
  private leader: string | undefined;
  private voters: readonly string[] = ['a'];
  private readonly waiting: Reply<void>[] = [];

  setRole(role: ReplicaStatus['role'], term: number, leader?: string): void {
    this.role = role;
    this.term = term;
    this.leader = leader;
  }

  override status(): ReplicaStatus {
    const {role, term, leader, voters} = this;
    return {...super.status(), role, term, leader, voters};
  }

  setVoters(voters: readonly string[]): void {
    this.voters = voters;
  }

  override waitForRevision(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.waiting.push({resolve, reject});
    });
  }

  /** Ends the first `count` waits. */
  apply(count: number): void {
    for (const {resolve} of this.waiting.splice(0, count)) resolve();
  }

  /** Has all waits fail. */
  fail(): void {
    for (const {reject} of this.waiting.splice(0)) reject(new Error('stopped'));
  }

  waitCount(): number {
    return this.waiting.length;
  }
}

class NoAdviser extends Adviser {
  override readonly maxWorkersPerCall = 100;

  override async advise(): Promise<never> {
    throw new Error('no advice');
  }
}

let replica: ScriptedReplica;
let leadership: Leadership;
let logLines: string[];

beforeEach(() => {
  vi.useFakeTimers();
  replica = new ScriptedReplica(queueMachine);
  logLines = [];
  const fleet = new FakeFleet();
  leadership = followLeadership({
    replica: replica as unknown as QueueRaft,
    seeds: () => ['a:1'],
    toleratedDiskLosses: 1,
    holder: 'a',
    processId: 'a#1',
    hostOrderGuard: createHostOrderGuard({
      replica,
      processId: 'a#1',
      hasProcessEnded: () => false,
    }),
    driver: fleet,
    hosts: new FakeHostProvider(fleet, () => {}),
    adviser: new NoAdviser(),
    tasks: startTasks(error => expect(error).toBeUndefined()),
    log: createLog('info', {}, line => logLines.push(line)),
    metrics: createMetrics(),
  });
});

afterEach(async () => {
  await stop();
  vi.useRealTimers();
});

async function update(
  role: ReplicaStatus['role'],
  term: number,
  leader?: string,
): Promise<void> {
  replica.setRole(role, term, leader);
  leadership.update();
  await vi.advanceTimersByTimeAsync(1);
}

async function stop(): Promise<void> {
  const stopping = leadership.stop();
  await vi.advanceTimersByTimeAsync(100);
  await stopping;
}

function countLeaders(): number {
  return logLines.filter(line => line.includes('event=leading')).length;
}

it('starts one leader when the wait of an earlier term ends during a takeover', async () => {
  await update('leader', 1);
  await update('follower', 2);
  await update('leader', 3);
  // The first term read an earlier revision than this one.
  replica.apply(1);
  await vi.advanceTimersByTimeAsync(1);
  // The membership changes.
  await update('leader', 3);
  replica.apply(3);
  await vi.advanceTimersByTimeAsync(1);
  expect(countLeaders()).toBe(1);
});

// The timer of the next attempt kept the process from ending.
it('makes no further attempt to confirm the leadership after its stop', async () => {
  await update('leader', 1);
  await stop();
  replica.fail();
  await vi.advanceTimersByTimeAsync(1000);
  expect(vi.getTimerCount()).toBe(0);
  expect(replica.waitCount()).toBe(0);
});

it('cancels the next attempt to confirm the leadership when it stops', async () => {
  await update('leader', 1);
  replica.fail();
  await vi.advanceTimersByTimeAsync(1);
  await stop();
  await vi.advanceTimersByTimeAsync(1000);
  expect(replica.waitCount()).toBe(0);
});

it('starts no leader when its leadership is confirmed after its stop', async () => {
  await update('leader', 1);
  await stop();
  replica.apply(1);
  await vi.advanceTimersByTimeAsync(1000);
  expect(countLeaders()).toBe(0);
});

// A group of two, while the third host is away, may hold changes that a member
// has not applied yet when it is elected.
it('decides whether the group is new once the log is applied', async () => {
  replica.setVoters([]);
  await update('leader', 1);
  replica.apply(1);
  await vi.advanceTimersByTimeAsync(1);
  expect(countLeaders()).toBe(0);
  await update('follower', 1);
  await update('leader', 2);
  await replica.propose({events: []});
  replica.apply(1);
  await vi.advanceTimersByTimeAsync(1);
  expect(countLeaders()).toBe(1);
});

const takeoverPhases = () =>
  logLines
    .filter(line => line.includes('event=takeover-waits'))
    .map(line => /phase=(\S+)/.exec(line)![1]);

// A group had a leader by all signs, and no log line told that it did not act.
it('says each second what a process that was elected waits for', async () => {
  replica.setVoters([]);
  await update('leader', 1);
  await vi.advanceTimersByTimeAsync(900);
  expect(takeoverPhases()).toEqual([]);
  await vi.advanceTimersByTimeAsync(1500);
  expect(takeoverPhases()).toEqual(['apply', 'apply']);
  replica.apply(1);
  await vi.advanceTimersByTimeAsync(1000);
  expect(takeoverPhases()).toEqual(['apply', 'apply', 'voters']);
  replica.setVoters(['a']);
  await update('leader', 1);
  replica.apply(1);
  await vi.advanceTimersByTimeAsync(1);
  expect(countLeaders()).toBe(1);
  await vi.advanceTimersByTimeAsync(5000);
  expect(takeoverPhases()).toHaveLength(3);
});

it('says nothing of a takeover once another process leads', async () => {
  await update('leader', 1);
  await update('follower', 2, 'b');
  await vi.advanceTimersByTimeAsync(5000);
  expect(takeoverPhases()).toEqual([]);
});

/** The time without a leader that the last leader has logged. */
function loggedLeaderlessMs(): number {
  const line = logLines.findLast(each => each.includes('event=leading'))!;
  return Number(/leaderlessMs=(\S+)/.exec(line)![1]);
}

// A leader that took it for short would fill workers by outdated capacities.
describe('the time without a leader before a takeover', () => {
  it('counts from the loss of the last known leader', async () => {
    await update('follower', 1, 'b');
    await vi.advanceTimersByTimeAsync(3000);
    await update('follower', 1);
    await vi.advanceTimersByTimeAsync(4000);
    await update('candidate', 2);
    await update('leader', 2, 'a');
    replica.apply(1);
    await vi.advanceTimersByTimeAsync(1);
    expect(loggedLeaderlessMs()).toBeGreaterThanOrEqual(4000);
    expect(loggedLeaderlessMs()).toBeLessThan(4100);
  });

  it('is short when this process leads again after another', async () => {
    await update('leader', 1, 'a');
    replica.apply(1);
    await vi.advanceTimersByTimeAsync(5000);
    await update('follower', 2, 'b');
    await vi.advanceTimersByTimeAsync(5000);
    await update('leader', 3, 'a');
    replica.apply(1);
    await vi.advanceTimersByTimeAsync(1);
    expect(loggedLeaderlessMs()).toBeLessThan(100);
  });

  it('is unlimited for a process that has known no leader', async () => {
    await update('leader', 1, 'a');
    replica.apply(1);
    await vi.advanceTimersByTimeAsync(1);
    expect(loggedLeaderlessMs()).toBe(Infinity);
  });
});
