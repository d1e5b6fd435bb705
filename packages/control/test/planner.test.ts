import {SoloReplica} from '@lentildrift/consensus';
import {startPlanner, stateMachine} from '@lentildrift/control';
import {
  apply,
  EMPTY_STATE,
  jobSpecSchema,
  tableEditSchema,
  type Answer,
  type Change,
  type State,
} from '@lentildrift/model';
import {createLog} from '@lentildrift/observe';
import {Platform} from '@lentildrift/platform';
import {startTasks} from '@lentildrift/task';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, test} from 'vitest';

/** Keeps the CPU core busy for 200 ms at each observation. */
class CostlyPlatform extends Platform {
  observations = 0;

  override async observe() {
    this.observations++;
    const until = performance.now() + 200;
    while (performance.now() < until);
    return {hosts: [], tasks: [], drained: [], rebooted: []};
  }

  override async command() {
    return [];
  }
}

test('costly rounds stay within their fraction of a CPU core and do not delay urgent jobs', async () => {
  const routes = [{name: 'work', pool: 'workers', service: 'work'}];
  const pools = [{name: 'workers', kind: 'jobs', hosts: [], minAvailable: 0}];
  const edit = tableEditSchema.parse({basedOn: 0, pools, routes});
  const command = {type: 'edit' as const, edit};
  const tables = {type: 'command' as const, requestId: 'edit', command};
  const first = apply(EMPTY_STATE, {atMs: 0, body: tables});
  expect(first.answer.ok).toBe(true);
  const initial: State = first.state;
  const replica = new SoloReplica<State, Change, Answer>({
    ...stateMachine,
    initial,
  });
  const platform = new CostlyPlatform();
  const tasks = startTasks(() => undefined);
  const log = createLog('error', {}, () => undefined);
  const planner = startPlanner({replica, platform, tasks, log});
  // 200 ms are 4.5 % of 4.4 s, so the second full round must not start earlier.
  await sleep(3500);
  expect(platform.observations).toBe(1);
  const job = {
    id: 'urgent',
    queue: 'work',
    declared: {cores: 1, memoryMiB: 1},
    runTimeMs: 1000,
    urgent: true,
  };
  const jobs = [jobSpecSchema.parse(job)];
  const body = {type: 'submit-jobs' as const, team: 'team', jobs};
  await replica.propose({atMs: Date.now(), body});
  await sleep(2300);
  expect(platform.observations).toBeGreaterThanOrEqual(2);
  await planner.stop();
  tasks.stop();
}, 10_000);
