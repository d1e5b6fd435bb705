/** What a scenario runs on: replica, platform and planner on a virtual clock. */
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
import {ARCHERS, buildFleet} from '../fleet.js';
import {createHistory, type History} from '../history.js';
import {startRecorder} from './recorder.js';
import type {Mechanism, Scenario} from './scenario.js';
import {machineWithout, platformWithout, type WatchedPlatform} from './weak.js';

const STEP_MS = 1000;

/** Holds commands back while it is frozen, as a paused process would. */
class FreezablePlatform extends Platform {
  private thaw: (() => void) | undefined;
  private frozen: Promise<void> | undefined;

  constructor(private readonly inner: Platform) {
    super();
  }

  freeze(): void {
    this.frozen ??= new Promise(resolve => (this.thaw = resolve));
  }

  release(): void {
    this.thaw?.();
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

/** A planner of one term; a new leader starts another one beside it. */
interface Planner {
  readonly leader: number;
  readonly platform: FreezablePlatform;
  memory: SoftState;
  /** The round that is under way while the planner is frozen. */
  round?: Promise<void> | undefined;
}

export interface Stage {
  readonly platform: WatchedPlatform;
  readonly history: History;
  state(): State;
  propose(body: ChangeBody): Promise<Answer>;
  command(command: Command): Promise<Answer>;
  /** Lets a second pass, then runs `steps` and a round of the planner. */
  second(steps: () => Promise<void>): Promise<void>;
  freeze(): void;
  thaw(): Promise<void>;
  restart(): void;
  lead(): Promise<void>;
}

class LeadingReplica extends SoloReplica<State, Change, Answer> {
  override status(): ReplicaStatus {
    return {...super.status(), role: 'leader'};
  }
}

export async function startStage(
  scenario: Scenario,
  without: Mechanism | undefined,
): Promise<Stage> {
  const fleet = buildFleet(ARCHERS);
  const clock = {nowMs: 0};
  const now = () => clock.nowMs;
  const platform = platformWithout(without, {hosts: fleet.hosts, now});
  const initial = withBudgets(fleet.state, scenario.budgets);
  const machine = {...machineWithout(without), initial};
  const replica = new LeadingReplica(machine);
  const history = createHistory(now);
  const recorder = startRecorder(replica, platform, history);
  let requests = 0;
  let planner = await takeOver();
  // A planner that was frozen when another took over, until it is thawed.
  let old: Planner | undefined;

  async function propose(body: ChangeBody): Promise<Answer> {
    const {answer} = await replica.propose({atMs: now(), body});
    return answer;
  }

  async function command(each: Command): Promise<Answer> {
    const requestId = `request-${++requests}`;
    history.record({type: 'command-sent', requestId, command: each});
    const body = {type: 'command' as const, requestId, command: each};
    const answer = await propose(body);
    history.record({type: 'command-answered', requestId, answer});
    return answer;
  }

  async function takeOver(): Promise<Planner> {
    const answer = await propose({type: 'start-planner'});
    if (!answer.ok) throw new Error(answer.message);
    const leader = Number(answer.detail);
    history.record({type: 'led', member: 'solo', term: leader});
    const own = new FreezablePlatform(platform);
    return {leader, platform: own, memory: EMPTY_SOFT_STATE};
  }

  async function round(of: Planner): Promise<void> {
    const result = await runRound({
      replica,
      platform: of.platform,
      policies: createDefaultPolicies(),
      weights: weightsSchema.parse({}),
      softState: of.memory,
      leaderToken: of.leader,
      term: 1,
      callDemand: {},
      now,
    }).catch(error => {
      if (!(error instanceof LeadershipLost)) throw error;
      return undefined;
    });
    if (result) of.memory = result.softState;
  }

  async function second(steps: () => Promise<void>): Promise<void> {
    clock.nowMs += STEP_MS;
    await steps();
    const current = planner;
    if (!frozen.has(current)) await round(current);
    // A frozen planner stops at its commands; it is not waited for.
    else current.round ??= round(current);
    await settled();
    recorder.sample();
  }

  const frozen = new Set<Planner>();

  function freeze(): void {
    frozen.add(planner);
    planner.platform.freeze();
  }

  async function thaw(): Promise<void> {
    const thawed = old ?? planner;
    frozen.delete(thawed);
    thawed.platform.release();
    await thawed.round;
    thawed.round = undefined;
    old = undefined;
  }

  async function lead(): Promise<void> {
    if (frozen.has(planner)) old = planner;
    planner = await takeOver();
  }

  function restart(): void {
    planner.memory = EMPTY_SOFT_STATE;
  }

  return {
    platform,
    history,
    state: () => replica.state(),
    propose,
    command,
    second,
    freeze,
    thaw,
    restart,
    lead,
  };
}

/** Lets every promise that can go on do so. */
function settled(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** The state with other budgets, through an edit like any operator's. */
function withBudgets(state: State, budgets: Scenario['budgets']): State {
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
