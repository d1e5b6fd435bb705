/** Starts `vitest`, whose fake timers the runs need, and collects the reports. */
import {mkdtemp, readdir, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {startVitest} from 'vitest/node';
import {
  runReportSchema,
  SHARD_COUNT,
  type RunReport,
  type Run,
} from './run-report.js';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));

/**
 * Executes all runs in parallel shards. Throws if a shard failed or a report
 * is missing.
 */
export async function executeRuns(runs: Run[]): Promise<RunReport[]> {
  const folder = await mkdtemp(join(tmpdir(), 'lentildrift-proof-'));
  try {
    const vitest = await startVitest('test', [], {
      root: FOLDER,
      config: false,
      watch: false,
      include: ['*.run.js'],
      maxWorkers: SHARD_COUNT,
      minWorkers: 1,
      reporters: [{}],
      provide: {runs, folder},
    });
    const errors = vitest.state.getUnhandledErrors();
    const failed = vitest.state.getCountOfFailedTests();
    await vitest.close();
    // Vitest sets an exit code; the caller derives its own from the reports.
    process.exitCode = 0;
    const reports = await readReports(folder);
    if (failed > 0 || errors.length > 0 || reports.length !== runs.length) {
      throw new Error(
        `${reports.length} of ${runs.length} runs were reported: ${errors.map(String).join('; ')}`,
      );
    }
    return reports;
  } finally {
    await rm(folder, {recursive: true});
  }
}

async function readReports(folder: string): Promise<RunReport[]> {
  const reports: RunReport[] = [];
  for (const name of await readdir(folder)) {
    const text = await readFile(join(folder, name), 'utf8');
    for (const line of text.split('\n')) {
      if (line) reports.push(runReportSchema.parse(JSON.parse(line)));
    }
  }
  return reports;
}
