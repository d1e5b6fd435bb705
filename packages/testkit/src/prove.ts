/**
 * The command `prove`: runs scenarios and prints a summary per invariant. The
 * exit code is 1 if a run failed, and 2 if an error stopped the command.
 */
import sade from 'sade';
import {WEAKENED_MECHANISMS} from './cluster/weakened.js';
import type {RunReport, Run} from './command/run-report.js';
import {executeRuns} from './command/execute.js';
import {
  loadFleetProofs,
  MECHANISMS as FLEET_MECHANISMS,
  type Mechanism as FleetMechanism,
  type Proof,
  type ProofRun,
} from './proof/index.js';
import {loadScenarios} from './scenario/load.js';
import {SCENARIO_INVARIANTS} from './scenario/invariants.js';
import type {Scenario} from './scenario/schema.js';

const FLEET_INVARIANTS = ['budget', 'one-pool', 'isolation'] as const;

interface Options {
  readonly list?: boolean;
  readonly without?: string;
}

function print(line: string): void {
  process.stdout.write(line + '\n');
}

function printScenarios(scenarios: readonly Scenario[]): void {
  for (const invariant of SCENARIO_INVARIANTS) {
    print(invariant);
    for (const {name, mechanisms, about} of scenarios.filter(
      each => each.invariant === invariant,
    )) {
      print(`  ${name} [${mechanisms.join(', ')}] ${about}`);
    }
  }
}

async function prove(name: string | undefined, options: Options) {
  const all = loadScenarios();
  const fleet = [...loadFleetProofs().values()];
  if (options.list) {
    printScenarios(all);
    return printFleetProofs(fleet);
  }
  const {without} = options;
  const chosen = all.filter(each => name === undefined || each.name === name);
  const proofs = fleet.filter(each => name === undefined || each.name === name);
  if (chosen.length + proofs.length === 0) {
    throw new Error(`no scenario "${name}"`);
  }
  checkMechanism(without, chosen, proofs);
  if (chosen.length > 0) await proveCluster(chosen, without);
  if (proofs.length > 0) await proveFleet(proofs, without as FleetMechanism);
}

/**
 * Throws unless the chosen scenarios know the mechanism: weakening one that
 * they do not use would cause no violation.
 */
function checkMechanism(
  without: string | undefined,
  scenarios: readonly Scenario[],
  proofs: readonly Proof[],
): void {
  if (without === undefined) return;
  const known = [
    ...(scenarios.length > 0 ? Object.keys(WEAKENED_MECHANISMS) : []),
    ...(proofs.length > 0 ? FLEET_MECHANISMS : []),
  ];
  if (!known.includes(without)) throw new Error(`no mechanism "${without}"`);
  if (scenarios.length > 0 && proofs.length > 0) {
    throw new Error('--without needs the name of one scenario');
  }
}

async function proveCluster(chosen: readonly Scenario[], without?: string) {
  const runs: Run[] = chosen.flatMap(scenario =>
    scenario.seeds.map(seed => ({scenario: scenario.name, seed, without})),
  );
  const reports = await executeRuns(runs);
  const invariants = SCENARIO_INVARIANTS.filter(
    invariant =>
      chosen.some(each => each.invariant === invariant) ||
      reports.some(({examined}) => (examined[invariant] ?? 0) > 0),
  );
  for (const invariant of invariants) printSummary(invariant, chosen, reports);
  for (const report of reports) printFaults(report);
  if (reports.some(hasFailed)) process.exitCode = 1;
}

async function proveFleet(
  proofs: readonly Proof[],
  without?: FleetMechanism,
): Promise<void> {
  const runs: {name: string; result: ProofRun}[] = [];
  for (const {name, run} of proofs) {
    runs.push({name, result: await run(without)});
  }
  for (const invariant of FLEET_INVARIANTS) {
    const verdicts = runs.map(({result}) => result.verdicts[invariant]);
    const events = verdicts.reduce((sum, each) => sum + each.examined, 0);
    const violations = verdicts.flatMap(each => each.violations).length;
    printLine(invariant, proofs.length, proofs.length, events, violations);
  }
  for (const {name, result} of runs) {
    const faults = [...result.violations, ...result.unmetExpectations];
    for (const text of faults.slice(0, FAULTS_SHOWN)) print(`${name}: ${text}`);
    if (faults.length > 0) process.exitCode = 1;
  }
}

function printFleetProofs(proofs: readonly Proof[]): void {
  print(FLEET_INVARIANTS.join(', '));
  for (const {name, mechanisms, about} of proofs) {
    print(`  ${name} [${mechanisms.join(', ')}] ${about}`);
  }
}

function printSummary(
  invariant: string,
  scenarios: readonly Scenario[],
  reports: readonly RunReport[],
): void {
  const own = scenarios.filter(each => each.invariant === invariant);
  const seeds = own.reduce((sum, each) => sum + each.seeds.length, 0);
  const events = reports.reduce(
    (sum, {examined}) => sum + (examined[invariant] ?? 0),
    0,
  );
  const violations = reports
    .flatMap(report => report.violations)
    .filter(text => text.startsWith(`${invariant}: `));
  printLine(invariant, own.length, seeds, events, violations.length);
}

function printLine(
  invariant: string,
  scenarios: number,
  runs: number,
  events: number,
  violations: number,
): void {
  print(
    `${invariant.padEnd(14)} ${scenarios} scenarios, ${runs} runs, ${events} events examined, ${violations} violations`,
  );
}

const FAULTS_SHOWN = 3;

function printFaults({run, violations, failures}: RunReport): void {
  for (const text of [...violations, ...failures].slice(0, FAULTS_SHOWN)) {
    print(`${run.scenario} with seed ${run.seed}: ${text}`);
  }
}

function hasFailed({violations, failures}: RunReport): boolean {
  return violations.length > 0 || failures.length > 0;
}

sade('prove [name]', true)
  .describe('Run one scenario, or all of them')
  .option('--list', 'List invariants, scenarios and mechanisms')
  .option('--without', 'Mechanism to replace by a weakened one')
  .action((name: string | undefined, options: Options) =>
    prove(name, options).catch((error: Error) => {
      process.stderr.write(`${error.message}\n`);
      process.exitCode = 2;
    }),
  )
  .parse(process.argv);
