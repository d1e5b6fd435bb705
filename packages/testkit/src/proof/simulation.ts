/** Simulates replica, platform and planner of a fleet on a virtual clock. */
import {SoloReplica, type ReplicaStatus} from '@lentildrift/consensus';
import {LeadershipLost, runRound} from '@lentildrift/control';
import {
  apply,
  type Answer,
  type Change,
  type ChangeBody,
  type Command,
  type State,
} from '@lentildrift/model';
import {
  Platform,
  type Observation,
  type PlatformAnswer,
  type PlatformCommand,
} from '@lentildrift/platform';
import {
  createDefaultPolicies,
  EMPTY_SOFT_STATE,
  weightsSchema,
  type SoftState,
} from '@lentildrift/policy';
import {ARCHERS_SIZE, buildFleet} from '../fleet.js';
import {createHistory, type History} from '../history.js';
import {startRecorder} from './recorder.js';
import type {Mechanism, FleetScenario} from './scenario.js';
import {
  createStateMachineWithout,
  createPlatformWithout,
  type DrainTrackingPlatform,
} from './weak.js';

const STEP_MS = 1000;

/** Delays commands while frozen, as if the planner process were paused. */
class FreezablePlatform extends Platform {
  private resolveFrozen: (() => void) | undefined;
  private frozen: Promise<void> | undefined;

  constructor(private readonly inner: Platform) {
    super();
  }

  freeze(): void {
    this.frozen ??= new Promise(resolve => (this.resolveFrozen = resolve));
  }

  thaw(): void {
    this.resolveFrozen?.();
    this.frozen = undefined;
  }

  override observe(leader: number): Promise<Observation> {
    return this.inner.observe(leader);
  }

  override async command(
    commands: readonly PlatformCommand[],
  ): Promise<PlatformAnswer[]> {
    await this.frozen;
    return this.inner.command(commands);
  }
}

/** The planner of one leader; a new leader starts another planner beside it. */
interface Planner {
  readonly leaderToken: number;
  readonly platform: FreezablePlatform;
  softState: SoftState;
  /** The round that the frozen planner has not finished. */
  round?: Promise<void> | undefined;
}

export interface FleetSimulation {
  readonly platform: DrainTrackingPlatform;
  readonly history: History;
  state(): State;
  propose(body: ChangeBody): Promise<Answer>;
  /** Proposes a command as an operator; records the command and its answer. */
  command(command: Command): Promise<Answer>;
  /** Advances the clock by 1 s, then runs `steps` and one planner round. */
  advanceSecond(steps: () => Promise<void>): Promise<void>;
  /** Delays the planner's commands to the platform. */
  freezePlanner(): void;
  /** Releases the delayed commands and waits for the end of their round. */
  thawPlanner(): Promise<void>;
  /** Resets the planner's soft state. */
  restartPlanner(): void;
  /** Starts the planner of a new leader; a frozen planner stays frozen. */
  changeLeader(): Promise<void>;
}

/** A single replica that always reports itself as the leader. */
class LeadingReplica extends SoloReplica<State, Change, Answer> {
  override status(): ReplicaStatus {
    return {...super.status(), role: 'leader'};
  }
}

/** Starts a fleet of 35 workers; `without` names a mechanism to weaken. */
export async function startFleetSimulation(
  scenario: FleetScenario,
  without: Mechanism | undefined,
): Promise<FleetSimulation> {
  const fleet = buildFleet(ARCHERS_SIZE);
  const clock = {nowMs: 0};
  const now = () => clock.nowMs;
  const platform = createPlatformWithout(without, {hosts: fleet.hosts, now});
  const initial = withBudgets(fleet.state, scenario.budgets);
  const machine = {...createStateMachineWithout(without), initial};
  const replica = new LeadingReplica(machine);
  const history = createHistory(now);
  const recorder = startRecorder(replica, platform, history);
  let requests = 0;
  let planner = await startPlanner();
  // The planner that was frozen when the leader changed, until it is thawed.
  let frozenPredecessor: Planner | undefined;

  async function propose(body: ChangeBody): Promise<Answer> {
    const {answer} = await replica.propose({atMs: now(), body});
    return answer;
  }

  async function sendCommand(content: Command): Promise<Answer> {
    const requestId = `request-${++requests}`;
    history.record({type: 'command-sent', requestId, command: content});
    const body = {type: 'command' as const, requestId, command: content};
    const answer = await propose(body);
    history.record({type: 'command-answered', requestId, answer});
    return answer;
  }

  /** Starts a planner with a new leader token, which fences earlier planners. */
  async function startPlanner(): Promise<Planner> {
    const answer = await propose({type: 'start-planner'});
    if (!answer.ok) throw new Error(answer.message);
    const leaderToken = Number(answer.detail);
    history.record({type: 'led', member: 'solo', term: leaderToken});
    const ownPlatform = new FreezablePlatform(platform);
    return {
      leaderToken,
      platform: ownPlatform,
      softState: EMPTY_SOFT_STATE,
    };
  }

  async function runPlannerRound(runningPlanner: Planner): Promise<void> {
    const result = await runRound({
      replica,
      platform: runningPlanner.platform,
      policies: createDefaultPolicies(),
      weights: weightsSchema.parse({}),
      softState: runningPlanner.softState,
      leaderToken: runningPlanner.leaderToken,
      term: 1,
      callDemand: {},
      now,
    }).catch(error => {
      if (!(error instanceof LeadershipLost)) throw error;
      return undefined;
    });
    if (result) runningPlanner.softState = result.softState;
  }

  async function advanceSecond(steps: () => Promise<void>): Promise<void> {
    clock.nowMs += STEP_MS;
    await steps();
    const current = planner;
    if (!frozen.has(current)) await runPlannerRound(current);
    // A frozen planner waits before its commands, so its round cannot be awaited.
    else current.round ??= runPlannerRound(current);
    await waitForPendingPromises();
    recorder.sample();
  }

  const frozen = new Set<Planner>();

  function freezePlanner(): void {
    frozen.add(planner);
    planner.platform.freeze();
  }

  async function thawPlanner(): Promise<void> {
    const thawed = frozenPredecessor ?? planner;
    frozen.delete(thawed);
    thawed.platform.thaw();
    await thawed.round;
    thawed.round = undefined;
    frozenPredecessor = undefined;
  }

  async function changeLeader(): Promise<void> {
    if (frozen.has(planner)) frozenPredecessor = planner;
    planner = await startPlanner();
  }

  function restartPlanner(): void {
    planner.softState = EMPTY_SOFT_STATE;
  }

  return {
    platform,
    history,
    state: () => replica.state(),
    propose,
    command: sendCommand,
    advanceSecond,
    freezePlanner,
    thawPlanner,
    restartPlanner,
    changeLeader,
  };
}

/** Waits until all promises that can make progress have settled. */
function waitForPendingPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** Applies an operator edit that sets the availability budgets. */
function withBudgets(state: State, budgets: FleetScenario['budgets']): State {
  if (Object.keys(budgets).length === 0) return state;
  const pools = Object.values(state.tables.pools).map(pool => ({
    ...pool,
    minAvailable: budgets[pool.name] ?? pool.minAvailable,
  }));
  const edit = {basedOn: state.tables.version, pools};
  const command = {type: 'edit' as const, edit};
  const body = {type: 'command' as const, requestId: 'budgets', command};
  const result = apply(state, {atMs: 0, body});
  if (!result.answer.ok) throw new Error(result.answer.message);
  return result.state;
}
