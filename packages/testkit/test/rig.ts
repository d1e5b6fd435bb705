/** A planner over a fake platform and a replica in memory, for tests. */
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
import {ARCHERS, buildFleet, type FleetSize} from '@lentildrift/testkit';
import {expect} from 'vitest';

const STEP_MS = 1000;

export interface RigOptions {
  readonly size?: FleetSize;
  readonly policies?: Policies;
  /** The planner forgets its memory after each round, as by a restart. */
  readonly forgetful?: boolean;
}

class TestReplica extends SoloReplica<State, Change, Answer> {
  leads = true;

  override status(): ReplicaStatus {
    const role = this.leads ? 'leader' : 'follower';
    return {...super.status(), role};
  }
}

/** Starts the rig; every change is checked for budgets and pools. */
export async function startRig(options: RigOptions = {}) {
  const {size = ARCHERS, policies = createDefaultPolicies()} = options;
  const fleet = buildFleet(size);
  const clock = {nowMs: 0};
  /** Set while rounds decide only about pools with urgent work. */
  const pause = {on: false};
  const platform = new FakePlatform({
    hosts: fleet.hosts,
    now: () => clock.nowMs,
  });
  const replica = new TestReplica({...stateMachine, initial: fleet.state});
  const maxAway = watchBudgets(replica);
  let memory: SoftState = EMPTY_SOFT_STATE;
  let leader = await takeOver();

  async function propose(body: ChangeBody): Promise<Answer> {
    const {answer} = await replica.propose({atMs: clock.nowMs, body});
    return answer;
  }

  async function takeOver(): Promise<number> {
    const answer = await propose({type: 'start-planner'});
    return Number(answer.ok && answer.detail);
  }

  /** One round of the planner with `token`, over `over` or the platform. */
  async function round(
    token = leader,
    over: Platform = platform,
  ): Promise<RoundResult> {
    return runRound({
      replica,
      platform: over,
      policies,
      weights: weightsSchema.parse({}),
      softState: memory,
      leaderToken: token,
      term: 1,
      callDemand: {},
      scope: pause.on ? poolsWithUrgentJobs(replica.state()) : undefined,
      now: () => clock.nowMs,
    });
  }

  /** Rounds, one a second, until `done` holds; returns how many it took. */
  async function runUntil(
    done: (state: State) => boolean,
    most: number,
    each?: (second: number) => Promise<void> | void,
  ): Promise<number> {
    for (let i = 1; i <= most; i++) {
      clock.nowMs += STEP_MS;
      await each?.(i);
      if (options.forgetful) {
        memory = EMPTY_SOFT_STATE;
        leader = await takeOver();
      }
      ({softState: memory} = await round());
      if (done(replica.state())) return i;
    }
    throw new Error(`not reached in ${most} rounds`);
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
    pause,
    platform,
    replica,
    maxAway,
    propose,
    takeOver,
    round,
    runUntil,
    submit,
    openWave,
    state: () => replica.state(),
  };
}

export function jobSpec(id: string, more: Partial<JobSpec> = {}): JobSpec {
  return {
    id,
    queue: 'queue-0',
    declared: {cores: 4, memoryMiB: 1024, accelerators: 0},
    runTimeMs: 60_000,
    urgent: false,
    command: 'sleep 60000',
    ...more,
  };
}

/** Fails the test at the first change that breaks a budget. */
function watchBudgets(replica: TestReplica) {
  const seen = {maxAway: 0};
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
    const away = Object.values(state.hosts).filter(h => h.permit).length;
    seen.maxAway = Math.max(seen.maxAway, away);
  });
  return seen;
}

export {LeadershipLost};
