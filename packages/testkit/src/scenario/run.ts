/** Runs a scenario with fake timers and checks invariants on its history. */
import {CHECKERS} from '../check/index.js';
import {Cluster} from '../cluster/cluster.js';
import {GreedyPolicy, type Mechanisms} from '../cluster/weakened.js';
import {performStep} from './perform-step.js';
import {SCENARIO_INVARIANTS} from './invariants.js';
import type {Scenario} from './schema.js';

export interface RunOptions {
  readonly seed: number;
  /** Weakened variants of mechanisms; none by default. */
  readonly mechanisms?: Mechanisms;
  /** Advances the fake timers. */
  advance(ms: number): Promise<unknown>;
}

export interface RunResult {
  /** Violations of any invariant, each prefixed by the name of the invariant. */
  readonly violations: readonly string[];
  /** Expectations of the scenario that were not met, and process failures. */
  readonly failures: readonly string[];
  /** Number of events that the checker of each invariant examined. */
  readonly examined: Readonly<Record<string, number>>;
  /** Number of calls answered by an upstream. */
  readonly answered: number;
}

/** Runs the scenario on a new cluster; the seed determines all random choices. */
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
    let nowMs = 0;
    for (const step of steps) {
      if (step.at > nowMs) await cluster.advance(step.at - nowMs);
      nowMs = Math.max(nowMs, step.at);
      const problem = performStep(cluster, step);
      if (problem) failures.push(problem);
    }
    await cluster.advance(lastsMs - nowMs);
  } finally {
    await cluster.stop();
  }
  return checkInvariants(cluster, failures);
}

function checkInvariants(
  cluster: Cluster,
  unmet: readonly string[],
): RunResult {
  const events = cluster.history.events();
  const violations: string[] = [];
  const examined: Record<string, number> = {};
  for (const name of SCENARIO_INVARIANTS) {
    const verdict = CHECKERS[name](events);
    examined[name] = verdict.examined;
    violations.push(...verdict.violations.map(text => `${name}: ${text}`));
  }
  const answered = cluster.callers.answeredCount();
  const failures = [...unmet, ...cluster.failures];
  return {violations, failures, examined, answered};
}
