/** Executes one shard of the runs as a `vitest` test, with fake timers. */
import {appendFileSync} from 'node:fs';
import {join} from 'node:path';
import {expect, inject, it, vi} from 'vitest';
import {WEAKENED_MECHANISMS} from '../cluster/weakened.js';
import {loadScenarios} from '../scenario/load.js';
import {createRandomScenario} from '../scenario/random.js';
import {runScenario, type RunResult} from '../scenario/run.js';
import {SHARD_COUNT, type Run} from './run-report.js';

const scenarios = new Map(loadScenarios().map(each => [each.name, each]));

/** Runs every `SHARD_COUNT`th requested run, starting at `index`. */
export function runShard(index: number): void {
  const file = join(inject('folder'), `${index}.jsonl`);
  const assigned = inject('runs').filter((_, n) => n % SHARD_COUNT === index);
  it('executes the runs of the shard', {timeout: 0}, async () => {
    for (const run of assigned) {
      const report = {run, ...(await runOne(run))};
      appendFileSync(file, JSON.stringify(report) + '\n');
    }
    expect(assigned.length).toBeGreaterThanOrEqual(0);
  });
}

async function runOne({scenario, seed, without}: Run): Promise<RunResult> {
  const chosen = scenario
    ? scenarios.get(scenario)!
    : createRandomScenario(seed);
  const mechanisms = without ? WEAKENED_MECHANISMS[without] : undefined;
  vi.useFakeTimers();
  try {
    const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);
    return await runScenario(chosen, {seed, mechanisms, advance});
  } catch (error) {
    const failures = [String((error as Error).stack)];
    return {violations: [], failures, examined: {}, answered: 0};
  } finally {
    vi.useRealTimers();
  }
}
