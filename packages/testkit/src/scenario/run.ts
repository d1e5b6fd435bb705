/** Runs a scenario on the paused clock and judges its history. */
import {CHECKERS} from '../check/index.js';
import {Cluster} from '../cluster/cluster.js';
import {GreedyPolicy, type Mechanisms} from '../cluster/weak.js';
import {performStep} from './perform-step.js';
import {SCENARIO_INVARIANTS} from './invariants.js';
import type {Scenario} from './schema.js';

export interface RunOptions {
  readonly seed: number;
  readonly mechanisms?: Mechanisms;
  advance(ms: number): Promise<unknown>;
}

export interface RunResult {
  /** Violations of any invariant, each after the invariant's name. */
  readonly violations: readonly string[];
  /** Expectations of the scenario that were not met, and process failures. */
  readonly failures: readonly string[];
  /** Events that each invariant speaks of. */
  readonly examined: Readonly<Record<string, number>>;
  /** Calls that were answered by an upstream. */
  readonly answered: number;
}

export async function runScenario(
  scenario: Scenario,
  options: RunOptions,
): Promise<RunResult> {
  const {controls, entries, upstreams, slots, teams, lastsMs} = scenario;
  const policy = scenario.policy === 'greedy' ? new GreedyPolicy() : undefined;
  const cluster = new Cluster({
    ...options,
    mechanisms: {policy, ...options.mechanisms},
    teams,
    size: {controls, entries, upstreams, slots},
  });
  const failures: string[] = [];
  try {
    await cluster.start();
    cluster.network.faults = scenario.faults;
    const steps = [...scenario.steps].sort((a, b) => a.at - b.at);
    let now = 0;
    for (const step of steps) {
      if (step.at > now) await cluster.advance(step.at - now);
      now = Math.max(now, step.at);
      const problem = performStep(cluster, step);
      if (problem) failures.push(problem);
    }
    await cluster.advance(lastsMs - now);
  } finally {
    await cluster.stop();
  }
  return judge(cluster, failures);
}

function judge(cluster: Cluster, unmet: readonly string[]): RunResult {
  const events = cluster.history.events();
  const violations: string[] = [];
  const examined: Record<string, number> = {};
  for (const name of SCENARIO_INVARIANTS) {
    const verdict = CHECKERS[name](events);
    examined[name] = verdict.examined;
    violations.push(...verdict.violations.map(text => `${name}: ${text}`));
  }
  const answered = cluster.callers.answered();
  const failures = [...unmet, ...cluster.failures];
  return {violations, failures, examined, answered};
}
