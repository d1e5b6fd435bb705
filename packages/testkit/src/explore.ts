/** The command `explore`: runs seeded random faults under a fixed load. */
import sade from 'sade';
import {executeRuns} from './command/execute.js';

const FAULTS_SHOWN = 5;

async function explore(seed: number, runs: number): Promise<void> {
  if (!Number.isInteger(seed) || !Number.isInteger(runs) || runs < 1) {
    throw new Error('--seed and --runs must be integers, and --runs above 0');
  }
  const seeds = Array.from({length: runs}, (_, n) => seed + n);
  const reports = await executeRuns(seeds.map(each => ({seed: each})));
  const failed = reports.filter(
    ({violations, failures}) => violations.length + failures.length > 0,
  );
  for (const {run, violations, failures} of failed) {
    process.stdout.write(`seed ${run.seed} failed\n`);
    for (const text of [...violations, ...failures].slice(0, FAULTS_SHOWN)) {
      process.stdout.write(`  ${text}\n`);
    }
  }
  const answered = reports.reduce((sum, report) => sum + report.answered, 0);
  process.stdout.write(
    `${reports.length} runs, ${answered} calls answered, ${failed.length} failures\n`,
  );
  if (failed.length > 0) process.exitCode = 1;
}

sade('explore', true)
  .describe('Run random fault schedules, one per seed')
  .option('--seed', 'First seed', 1)
  .option('--runs', 'Number of runs', 100)
  .action((options: {seed: number; runs: number}) =>
    explore(options.seed, options.runs).catch((error: Error) => {
      process.stderr.write(`${error.message}\n`);
      process.exitCode = 2;
    }),
  )
  .parse(process.argv);
