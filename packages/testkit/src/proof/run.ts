/** Runs fleet scenarios and checks the invariants on their histories. */
import {
  jobSpecSchema,
  listUnfinishedJobs,
  type Answer,
  type State,
} from '@lentildrift/model';
import {checkBudget, checkIsolation, checkOnePool} from '../check/fleet.js';
import type {CheckResult} from '../check/checker.js';
import type {HistoryEvent} from '../history.js';
import {
  readScenarios,
  type Mechanism,
  type FleetScenario,
  type Step,
  type StepOf,
} from './scenario.js';
import {startFleetSimulation, type FleetSimulation} from './simulation.js';

const WAVE = 'wave';
const WAVE_DEADLINE_MS = 60 * 24 * 3600_000;
const CHECKERS = {
  budget: checkBudget,
  'one-pool': checkOnePool,
  isolation: checkIsolation,
};

/** Result of one run of a fleet scenario. */
export interface ProofRun {
  /** Result of each checker, by invariant. */
  readonly verdicts: Readonly<Record<keyof typeof CHECKERS, CheckResult>>;
  /** Violations of all checkers. */
  readonly violations: readonly string[];
  /** Expectations of the scenario that were not met. */
  readonly unmetExpectations: readonly string[];
  readonly events: readonly HistoryEvent[];
}

/** A fleet scenario that can be run. */
export interface Proof extends FleetScenario {
  /** Runs the scenario; `without` names a mechanism to weaken. */
  run(without?: Mechanism): Promise<ProofRun>;
}

/** Reads the fleet scenarios and returns them by name. */
export function loadFleetProofs(): ReadonlyMap<string, Proof> {
  const proofs = readScenarios().map((scenario): Proof => {
    const run = (without?: Mechanism) => runScenario(scenario, without);
    return {...scenario, run};
  });
  return new Map(proofs.map(proof => [proof.name, proof]));
}

async function runScenario(
  scenario: FleetScenario,
  without: Mechanism | undefined,
): Promise<ProofRun> {
  const simulation = await startFleetSimulation(scenario, without);
  const context: Context = {simulation, unmet: [], refused: 0};
  for (let second = 1; second <= scenario.lengthS; second++) {
    const due = scenario.steps.filter(({atS}) => atS === second);
    await simulation.advanceSecond(async () => {
      for (const step of due) await performStep(context, step);
    });
  }
  const events = simulation.history.events();
  const verdicts = {
    budget: CHECKERS.budget(events),
    'one-pool': CHECKERS['one-pool'](events),
    isolation: CHECKERS.isolation(events),
  };
  const violations = Object.values(verdicts).flatMap(each => each.violations);
  return {verdicts, violations, unmetExpectations: context.unmet, events};
}

interface Context {
  readonly simulation: FleetSimulation;
  readonly unmet: string[];
  /** Number of operator commands refused so far. */
  refused: number;
}

async function performStep(context: Context, step: Step): Promise<void> {
  const {simulation} = context;
  const {platform} = simulation;
  switch (step.do) {
    case 'fail-host':
      return platform.failHost(step.host);
    case 'fail-domain':
      return platform.failDomain(step.dataCentre, step.rack);
    case 'return-host':
      return platform.failHost(step.host, 0);
    case 'spoil-host':
      return platform.setFaulty(step.host);
    case 'freeze-planner':
      return simulation.freezePlanner();
    case 'thaw-planner':
      return simulation.thawPlanner();
    case 'restart-planner':
      return simulation.restartPlanner();
    case 'new-leader':
      return simulation.changeLeader();
    case 'submit':
      return submitJobs(simulation, step);
    case 'cancel':
      return cancelJobs(simulation, step);
    case 'expect':
      return checkExpectations(context, step);
    default:
      return performOperatorStep(context, step);
  }
}

type OperatorStep = StepOf<
  'open-wave' | 'set-wave' | 'move' | 'drain' | 'undrain'
>;

async function performOperatorStep(
  context: Context,
  step: OperatorStep,
): Promise<void> {
  const {simulation} = context;
  const countRefusal = ({ok}: Answer) => {
    if (!ok) context.refused++;
  };
  switch (step.do) {
    case 'open-wave': {
      const deadlineMs = WAVE_DEADLINE_MS;
      return countRefusal(
        await simulation.command({type: 'open-wave', wave: WAVE, deadlineMs}),
      );
    }
    case 'set-wave': {
      const {phase} = step;
      return countRefusal(
        await simulation.command({type: 'set-wave', wave: WAVE, phase}),
      );
    }
    case 'move': {
      const edit = buildMoveEdit(simulation.state(), step);
      return countRefusal(await simulation.command({type: 'edit', edit}));
    }
    case 'drain':
      for (const host of step.hosts) {
        countRefusal(await simulation.command({type: 'drain', host}));
      }
      return;
    case 'undrain':
      return countRefusal(
        await simulation.command({type: 'undrain', host: step.host}),
      );
  }
}

function buildMoveEdit({tables}: State, {host, pool: target}: StepOf<'move'>) {
  const pools = Object.values(tables.pools).map(pool => {
    const others = pool.hosts.filter(id => id !== host);
    return {...pool, hosts: pool.name === target ? [...others, host] : others};
  });
  return {basedOn: tables.version, pools};
}

async function submitJobs(
  simulation: FleetSimulation,
  step: StepOf<'submit'>,
): Promise<void> {
  const {team, queue, count, prefix, cores, runS} = step;
  const jobs = [...Array(count).keys()].map(i =>
    jobSpecSchema.parse({
      id: `${prefix}${i}`,
      queue,
      declared: {cores, memoryMiB: 1024},
      runTimeMs: runS * 1000,
      command: `sleep ${runS * 1000}`,
    }),
  );
  const answer = await simulation.propose({type: 'submit-jobs', team, jobs});
  if (!answer.ok) throw new Error(answer.message);
}

async function cancelJobs(
  simulation: FleetSimulation,
  step: StepOf<'cancel'>,
): Promise<void> {
  const {team, prefix, count} = step;
  const jobs = [...Array(count).keys()].map(i => `${prefix}${i}`);
  await simulation.propose({type: 'cancel-jobs', team, jobs});
}

function checkExpectations(context: Context, step: StepOf<'expect'>): void {
  const {simulation, refused, unmet} = context;
  const {jobs, hosts, waves} = simulation.state();
  const allHosts = Object.values(hosts);
  const addUnmet = (what: string, seen: unknown) =>
    unmet.push(`at ${step.atS} s: ${what} is ${JSON.stringify(seen)}`);
  const expectAtLeast = (what: string, seen: number, wanted?: number) => {
    if (wanted !== undefined && seen < wanted) addUnmet(what, seen);
  };
  expectAtLeast(
    'maintained',
    waves[WAVE]?.finished.length ?? 0,
    step.maintained,
  );
  expectAtLeast('refused', refused, step.refused);
  expectAtLeast('finishedJobs', jobs.finished, step.finishedJobs);
  const failedHosts = allHosts.filter(({phase}) => phase === 'failed').length;
  expectAtLeast('failedHosts', failedHosts, step.failedHosts);
  const unfinished = listUnfinishedJobs(jobs).length;
  if (step.unfinishedJobs !== undefined && unfinished !== step.unfinishedJobs) {
    addUnmet('unfinishedJobs', unfinished);
  }
  const quarantinedIds = allHosts
    .filter(host => host.quarantined)
    .map(({id}) => id);
  if (step.quarantined && quarantinedIds.join() !== step.quarantined.join()) {
    addUnmet('quarantined', quarantinedIds);
  }
  for (const [id, pool] of Object.entries(step.pools ?? {})) {
    if (hosts[id]?.pool !== pool) addUnmet(`pool of ${id}`, hosts[id]?.pool);
  }
}
