/** The command `prove`: runs scenarios and reports on each invariant. */
import sade from 'sade';
import {WITHOUT} from './cluster/weak.js';
import type {Report, Run} from './command/job.js';
import {perform} from './command/perform.js';
import {loadScenarios} from './scenario/load.js';
import {PROVEN} from './scenario/proven.js';
import type {Scenario} from './scenario/schema.js';

interface Options {
  readonly list?: boolean;
  readonly without?: string;
}

function print(line: string): void {
  process.stdout.write(line + '\n');
}

function list(scenarios: readonly Scenario[]): void {
  for (const invariant of PROVEN) {
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
  if (options.list) return list(all);
  const {without} = options;
  const chosen = all.filter(each => name === undefined || each.name === name);
  if (chosen.length === 0) throw new Error(`no scenario "${name}"`);
  if (without !== undefined && !Object.hasOwn(WITHOUT, without)) {
    throw new Error(`no mechanism "${without}"`);
  }
  const runs: Run[] = chosen.flatMap(scenario =>
    scenario.seeds.map(seed => ({scenario: scenario.name, seed, without})),
  );
  const reports = await perform(runs);
  for (const invariant of PROVEN) summarise(invariant, chosen, reports);
  for (const report of reports) printFaults(report);
  if (reports.some(isBad)) process.exitCode = 1;
}

function summarise(
  invariant: string,
  scenarios: readonly Scenario[],
  reports: readonly Report[],
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
  print(
    `${invariant.padEnd(14)} ${own.length} scenarios, ${seeds} seeds, ${events} events examined, ${violations.length} violations`,
  );
}

const FAULTS_SHOWN = 3;

function printFaults({run, violations, failures}: Report): void {
  for (const text of [...violations, ...failures].slice(0, FAULTS_SHOWN)) {
    print(`${run.scenario} with seed ${run.seed}: ${text}`);
  }
}

function isBad({violations, failures}: Report): boolean {
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
