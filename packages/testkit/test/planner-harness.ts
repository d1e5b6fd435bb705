/** Test harness: a planner with a fake platform and an in-memory replica. */
import {SoloReplica, type ReplicaStatus} from '@lentildrift/consensus';
import {
  LeadershipLost,
  runRound,
  stateMachine,
  poolsWithUrgentJobs,
  type RoundResult,
} from '@lentildrift/control';
import {
  failureDomain,
  isAvailable,
  type Answer,
  type Change,
  type ChangeBody,
  type JobSpec,
  type State,
} from '@lentildrift/model';
import type {Platform} from '@lentildrift/platform';
import {
  createDefaultPolicies,
  EMPTY_SOFT_STATE,
  weightsSchema,
  type SoftState,
  type Policies,
} from '@lentildrift/policy';
import {FakePlatform} from '@lentildrift/sample';
import {ARCHERS_SIZE, buildFleet, type FleetSize} from '@lentildrift/testkit';
import {expect} from 'vitest';

const STEP_MS = 1000;

export interface PlannerHarnessOptions {
  readonly size?: FleetSize;
  readonly policies?: Policies;
  /** Starts the planner anew, without its soft state, before each round. */
  readonly restartEachRound?: boolean;
}

/** A single replica that reports itself as the leader while `leads` is set. */
class TestReplica extends SoloReplica<State, Change, Answer> {
  leads = true;

  override status(): ReplicaStatus {
    const role = this.leads ? 'leader' : 'follower';
    return {...super.status(), role};
  }
}

/** Starts the harness; checks budgets and failure domains at every change. */
export async function startPlannerHarness(options: PlannerHarnessOptions = {}) {
  const {size = ARCHERS_SIZE, policies = createDefaultPolicies()} = options;
  const fleet = buildFleet(size);
  const clock = {nowMs: 0};
  /** While enabled, rounds decide only about pools with urgent jobs. */
  const urgentOnly = {enabled: false};
  const platform = new FakePlatform({
    hosts: fleet.hosts,
    now: () => clock.nowMs,
  });
  const replica = new TestReplica({...stateMachine, initial: fleet.state});
  const permits = checkBudgets(replica);
  let softState: SoftState = EMPTY_SOFT_STATE;
  let leaderToken = await takeOver();

  async function propose(body: ChangeBody): Promise<Answer> {
    const {answer} = await replica.propose({atMs: clock.nowMs, body});
    return answer;
  }

  async function takeOver(): Promise<number> {
    const answer = await propose({type: 'start-planner'});
    return Number(answer.ok && answer.detail);
  }

  /** Runs one planner round with the given leader token and platform. */
  async function round(
    token = leaderToken,
    platformOverride: Platform = platform,
  ): Promise<RoundResult> {
    return runRound({
      replica,
      platform: platformOverride,
      policies,
      weights: weightsSchema.parse({}),
      softState,
      leaderToken: token,
      term: 1,
      callDemand: {},
      scope: urgentOnly.enabled
        ? poolsWithUrgentJobs(replica.state())
        : undefined,
      now: () => clock.nowMs,
    });
  }

  /**
   * Runs one round per second until `done` holds; returns the number of rounds.
   * Throws after `maxRounds`. `each` runs before every round.
   */
  async function runUntil(
    done: (state: State) => boolean,
    maxRounds: number,
    each?: (second: number) => Promise<void> | void,
  ): Promise<number> {
    for (let i = 1; i <= maxRounds; i++) {
      clock.nowMs += STEP_MS;
      await each?.(i);
      if (options.restartEachRound) {
        softState = EMPTY_SOFT_STATE;
        leaderToken = await takeOver();
      }
      ({softState} = await round());
      if (done(replica.state())) return i;
    }
    throw new Error(`condition not met within ${maxRounds} rounds`);
  }

  async function submit(team: string, jobs: readonly JobSpec[]): Promise<void> {
    const answer = await propose({type: 'submit-jobs', team, jobs: [...jobs]});
    expect(answer.ok).toBe(true);
  }

  async function openWave(): Promise<void> {
    const deadlineMs = 60 * 24 * 3600_000;
    const command = {type: 'open-wave' as const, wave: 'wave', deadlineMs};
    await propose({type: 'command', requestId: 'wave', command});
  }

  return {
    fleet,
    clock,
    urgentOnly,
    platform,
    replica,
    permits,
    propose,
    takeOver,
    round,
    runUntil,
    submit,
    openWave,
    state: () => replica.state(),
  };
}

export function createJobSpec(
  id: string,
  overrides: Partial<JobSpec> = {},
): JobSpec {
  return {
    id,
    queue: 'queue-0',
    declared: {cores: 4, memoryMiB: 1024, accelerators: 0},
    runTimeMs: 60_000,
    urgent: false,
    command: 'sleep 60000',
    ...overrides,
  };
}

/**
 * Fails the test at the first change that takes a host out of service although
 * this breaks the availability budget of its pool, or although a host of the
 * pool in another failure domain is out of service. The returned object holds
 * the largest number of hosts with a permit at one time.
 */
function checkBudgets(replica: TestReplica) {
  const seen = {maxConcurrent: 0};
  let before = replica.state();
  replica.onApply(({state}) => {
    const old = before;
    before = state;
    const taken = Object.values(state.hosts).filter(
      h =>
        h.permit &&
        !old.hosts[h.id]?.permit &&
        old.hosts[h.id]?.phase !== 'failed',
    );
    for (const {pool: name} of taken) {
      const pool = state.tables.pools[name]!;
      const members = Object.values(state.hosts).filter(h => h.pool === name);
      const kept = members.filter(isAvailable).length;
      expect(kept).toBeGreaterThanOrEqual(pool.minAvailable);
      if (pool.kind === 'spare') continue;
      const open = members.filter(
        h => h.permit && h.permit.targetPool !== name,
      );
      expect(new Set(open.map(failureDomain)).size).toBe(1);
    }
    const permitted = Object.values(state.hosts).filter(h => h.permit).length;
    seen.maxConcurrent = Math.max(seen.maxConcurrent, permitted);
  });
  return seen;
}

export {LeadershipLost};
