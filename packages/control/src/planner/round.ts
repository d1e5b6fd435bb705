/** One decision round: observe, estimate, propose, check, permit, act. */
import type {ChangeBody, State} from '@lentildrift/model';
import {filter, pass, pipe} from '@lentildrift/pipe';
import type {Platform} from '@lentildrift/platform';
import {
  reconcileObservation,
  toChanges,
  checkProposal,
  estimateDemand,
  nextHostSteps,
  learnFromObservation,
  propose,
  type DemandEstimate,
  type SoftState,
  type Policies,
  type Proposal,
  type PlatformObservation,
  type DecisionInput,
  type Weights,
} from '@lentildrift/policy';
import type {StateReplica} from '../machine.js';
import {platformCommandsFor} from './commands.js';

/** Maximum number of commands in one request to the platform. */
const COMMANDS_PER_REQUEST = 1000;

/** Thrown when this planner no longer leads, or a newer planner has started. */
export class LeadershipLost extends Error {
  constructor(reason: string) {
    super(reason);
    this.name = 'LeadershipLost';
  }
}

/** The input of a decision round. */
export interface RoundInput {
  readonly replica: StateReplica;
  readonly platform: Platform;
  readonly policies: Policies;
  readonly weights: Weights;
  readonly softState: SoftState;
  /** Fencing token that the planner got when it started. */
  readonly leaderToken: number;
  /** Term in which the planner started. */
  readonly term: number;
  /** Present demand for calls of each pool, in hosts. */
  readonly callDemand: Readonly<Record<string, number>>;
  /** The pools that the round decides about; all pools if absent. */
  readonly scope?: ReadonlySet<string> | undefined;
  /** Wall clock, in ms. */
  readonly now: () => number;
}

export interface RoundResult {
  /** State for the next round of the same planner. */
  readonly softState: SoftState;
  /** Number of proposed changes that were committed. */
  readonly changes: number;
  /** Number of commands that were sent to the platform. */
  readonly commands: number;
}

/** The input of a round after the filter `observe`. */
interface Observed extends RoundInput {
  readonly decisionInput: DecisionInput;
}
/** The input of a round after the filter `estimate`. */
interface Estimated extends Observed {
  readonly estimated: DemandEstimate;
}
/** The input of a round after the filters `propose` and `check`. */
interface Proposed extends Observed {
  readonly proposal: Proposal;
}
/** The input of a round after the filter `permit`. */
interface Permitted extends Proposed {
  readonly changes: number;
}

/** The filters of a decision round. */
export const decisionPath = pipe(
  filter('observe', async (input: RoundInput) => pass(await observe(input))),
)
  .then(
    filter('estimate', (input: Observed) =>
      pass<Estimated>({
        ...input,
        estimated: estimateDemand(input.decisionInput),
      }),
    ),
  )
  .then(
    filter('propose', (input: Estimated) =>
      pass<Proposed>({
        ...input,
        proposal: propose(input.policies, input.estimated),
      }),
    ),
  )
  .then(
    filter('check', (input: Proposed) =>
      pass<Proposed>({
        ...input,
        proposal: checkProposal(input.replica.state(), input.proposal),
      }),
    ),
  )
  .then(
    filter('permit', async (input: Proposed) => {
      const changes = toChanges(input.proposal);
      await commitAll(input, changes);
      return pass<Permitted>({...input, changes: changes.length});
    }),
  )
  .then(filter('act', async (input: Permitted) => pass(await act(input))));

/**
 * Runs a decision round. Rejects with `LeadershipLost` as soon as the planner may
 * no longer act.
 */
export async function runRound(input: RoundInput): Promise<RoundResult> {
  const outcome = await decisionPath.run(input);
  if (outcome.ok) return outcome.value;
  throw new Error(`the decision path stopped at ${outcome.filter}`);
}

/** Observes the platform, and commits the facts and host steps that follow. */
async function observe(input: RoundInput): Promise<Observed> {
  const {replica, platform, leaderToken, now, weights, callDemand, scope} =
    input;
  assertLeading(input);
  const observation: PlatformObservation = await platform.observe(leaderToken);
  assertLeading(input);
  const softState = learnFromObservation(
    input.softState,
    replica.state(),
    observation,
  );
  await commitAll(input, reconcileObservation(replica.state(), observation));
  await commitAll(input, nextHostSteps(replica.state(), observation, now()));
  const state = replica.state();
  const nowMs = Math.max(state.nowMs, now());
  const facts = {
    state,
    observation,
    softState,
    nowMs,
    weights,
    callDemand,
  };
  const decisionInput = {...facts, scope};
  return {...input, decisionInput};
}

async function commitAll(
  input: RoundInput,
  bodies: readonly ChangeBody[],
): Promise<void> {
  for (const body of bodies) {
    assertLeading(input);
    await input.replica.propose({atMs: input.now(), body});
  }
}

/**
 * Sends the due commands to the platform. Commands follow from the committed state
 * alone, never from a proposal's changes: a task command of the proposal is sent
 * only if the committed state holds the command's job with the same token.
 */
async function act(input: Permitted): Promise<RoundResult> {
  const {replica, platform, decisionInput, proposal, leaderToken, changes} =
    input;
  const {observation} = decisionInput;
  const commands = platformCommandsFor(
    replica.state(),
    observation,
    proposal.taskCommands,
    leaderToken,
  );
  for (let i = 0; i < commands.length; i += COMMANDS_PER_REQUEST) {
    assertLeading(input);
    const batch = commands.slice(i, i + COMMANDS_PER_REQUEST);
    const answers = await platform.command(batch);
    // The platform fences off a current token only after a newer planner has
    // acted.
    if (answers.includes('fenced')) {
      throw new LeadershipLost('the platform has seen a newer planner');
    }
  }
  return {softState: proposal.softState, changes, commands: commands.length};
}

function assertLeading({replica, leaderToken, term}: RoundInput): void {
  const status = replica.status();
  if (status.role !== 'leader' || status.term !== term) {
    throw new LeadershipLost(`role ${status.role} in term ${status.term}`);
  }
  if (isSuperseded(replica.state(), leaderToken)) {
    throw new LeadershipLost('a newer planner has started');
  }
}

function isSuperseded(state: State, leaderToken: number): boolean {
  return state.planner !== leaderToken;
}
