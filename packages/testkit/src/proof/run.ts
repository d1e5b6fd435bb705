/** Runs scenarios of the fleet and judges what their histories show. */
import {
  jobSpecSchema,
  listUnfinishedJobs,
  type Answer,
  type State,
} from '@lentildrift/model';
import {budget, isolation, onePool} from '../check/fleet.js';
import type {Verdict} from '../check/checker.js';
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
const CHECKERS = {budget, 'one-pool': onePool, isolation};

export interface ProofRun {
  /** Checker to its verdict. */
  readonly verdicts: Readonly<Record<keyof typeof CHECKERS, Verdict>>;
  /** Violations of all checkers. */
  readonly violations: readonly string[];
  /** Expectations of the scenario that did not hold. */
  readonly unmetExpectations: readonly string[];
  readonly events: readonly HistoryEvent[];
}

export interface Proof extends FleetScenario {
  /** Runs the scenario, without one mechanism if one is named. */
  run(without?: Mechanism): Promise<ProofRun>;
}

/** The scenarios of the fleet, by name. */
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
  const stage = await startFleetSimulation(scenario, without);
  const context: Context = {stage, unmet: [], refused: 0};
  for (let second = 1; second <= scenario.lengthS; second++) {
    const due = scenario.steps.filter(({atS}) => atS === second);
    await stage.advanceSecond(async () => {
      for (const step of due) await take(context, step);
    });
  }
  const events = stage.history.events();
  const verdicts = {
    budget: CHECKERS.budget(events),
    'one-pool': CHECKERS['one-pool'](events),
    isolation: CHECKERS.isolation(events),
  };
  const violations = Object.values(verdicts).flatMap(each => each.violations);
  return {verdicts, violations, unmetExpectations: context.unmet, events};
}

interface Context {
  readonly stage: FleetSimulation;
  readonly unmet: string[];
  refused: number;
}

async function take(context: Context, step: Step): Promise<void> {
  const {stage} = context;
  const {platform} = stage;
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
      return stage.freezePlanner();
    case 'thaw-planner':
      return stage.thawPlanner();
    case 'restart-planner':
      return stage.restartPlanner();
    case 'new-leader':
      return stage.changeLeader();
    case 'submit':
      return submit(stage, step);
    case 'cancel':
      return cancel(stage, step);
    case 'expect':
      return expectState(context, step);
    default:
      return operate(context, step);
  }
}

type OperatorStep = StepOf<
  'open-wave' | 'set-wave' | 'move' | 'drain' | 'undrain'
>;

async function operate(context: Context, step: OperatorStep): Promise<void> {
  const {stage} = context;
  const note = ({ok}: Answer) => {
    if (!ok) context.refused++;
  };
  switch (step.do) {
    case 'open-wave': {
      const deadlineMs = WAVE_DEADLINE_MS;
      return note(
        await stage.command({type: 'open-wave', wave: WAVE, deadlineMs}),
      );
    }
    case 'set-wave': {
      const {phase} = step;
      return note(await stage.command({type: 'set-wave', wave: WAVE, phase}));
    }
    case 'move': {
      const edit = moveEdit(stage.state(), step);
      return note(await stage.command({type: 'edit', edit}));
    }
    case 'drain':
      for (const host of step.hosts) {
        note(await stage.command({type: 'drain', host}));
      }
      return;
    case 'undrain':
      return note(await stage.command({type: 'undrain', host: step.host}));
  }
}

function moveEdit({tables}: State, {host, pool: target}: StepOf<'move'>) {
  const pools = Object.values(tables.pools).map(pool => {
    const others = pool.hosts.filter(id => id !== host);
    return {...pool, hosts: pool.name === target ? [...others, host] : others};
  });
  return {basedOn: tables.version, pools};
}

async function submit(
  stage: FleetSimulation,
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
  const answer = await stage.propose({type: 'submit-jobs', team, jobs});
  if (!answer.ok) throw new Error(answer.message);
}

async function cancel(
  stage: FleetSimulation,
  step: StepOf<'cancel'>,
): Promise<void> {
  const {team, prefix, count} = step;
  const jobs = [...Array(count).keys()].map(i => `${prefix}${i}`);
  await stage.propose({type: 'cancel-jobs', team, jobs});
}

function expectState(context: Context, step: StepOf<'expect'>): void {
  const {stage, refused, unmet} = context;
  const {jobs, hosts, waves} = stage.state();
  const all = Object.values(hosts);
  const fail = (what: string, seen: unknown) =>
    unmet.push(`at ${step.atS} s: ${what} is ${JSON.stringify(seen)}`);
  const atLeast = (what: string, seen: number, wanted?: number) => {
    if (wanted !== undefined && seen < wanted) fail(what, seen);
  };
  atLeast('maintained', waves[WAVE]?.finished.length ?? 0, step.maintained);
  atLeast('refused', refused, step.refused);
  atLeast('finishedJobs', jobs.finished, step.finishedJobs);
  const lost = all.filter(({phase}) => phase === 'failed').length;
  atLeast('failedHosts', lost, step.failedHosts);
  const left = listUnfinishedJobs(jobs).length;
  if (step.unfinishedJobs !== undefined && left !== step.unfinishedJobs) {
    fail('unfinishedJobs', left);
  }
  const bad = all.filter(host => host.quarantined).map(({id}) => id);
  if (step.quarantined && bad.join() !== step.quarantined.join()) {
    fail('quarantined', bad);
  }
  for (const [id, pool] of Object.entries(step.pools ?? {})) {
    if (hosts[id]?.pool !== pool) fail(`pool of ${id}`, hosts[id]?.pool);
  }
}
