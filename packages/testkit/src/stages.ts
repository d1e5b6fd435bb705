/**
 * `npm run measure -- stages FILE...`: reads the `job-ended` lines of a leader's
 * log and shows, for each queue, where the time of the jobs went: those in time
 * and those that were late.
 */
import {readFileSync} from 'node:fs';

/** Stages in the order in which a job passes them, see `JobStages`. */
const STAGES = ['intake', 'room', 'commit', 'order', 'run', 'record'] as const;
type Stage = (typeof STAGES)[number];

/** A completed job, as its log line describes it. */
interface EndedJob {
  readonly queue: string;
  readonly tookMs: number;
  readonly objectiveMs: number;
  readonly stagesMs: Readonly<Record<Stage, number>>;
}

/** Mean times of the jobs of one queue that were in time, or that were late. */
export interface StageRow {
  readonly queue: string;
  readonly late: boolean;
  readonly jobs: number;
  readonly tookMs: number;
  readonly objectiveMs: number;
  readonly stagesMs: Readonly<Record<Stage, number>>;
  /** Time of no stage, such as that of runs of an earlier leader. */
  readonly otherMs: number;
}

/**
 * Parses a line; undefined unless it is about a completed job whose stages the
 * leader knows. Text before the first pair, such as another clock, is ignored.
 */
export function parseJobLine(line: string): EndedJob | undefined {
  if (!/ event=job-ended /.test(line)) return undefined;
  const fields = new Map(
    line.split(' ').map(pair => {
      const at = pair.indexOf('=');
      return [pair.slice(0, at), pair.slice(at + 1)] as const;
    }),
  );
  if (fields.get('phase') !== 'completed') return undefined;
  const read = (name: string) => Number(fields.get(name));
  const stages = STAGES.map(stage => [stage, read(`${stage}Ms`)] as const);
  const job: EndedJob = {
    queue: fields.get('queue') ?? '',
    tookMs: read('tookMs'),
    objectiveMs: read('objectiveMs'),
    stagesMs: Object.fromEntries(stages) as Record<Stage, number>,
  };
  const numbers = [job.tookMs, job.objectiveMs, ...stages.map(([, ms]) => ms)];
  return numbers.every(Number.isFinite) ? job : undefined;
}

/** Summarizes jobs by queue, and by whether they met their objective. */
export function summarizeStages(jobs: readonly EndedJob[]): StageRow[] {
  const groups = new Map<string, EndedJob[]>();
  for (const job of jobs) {
    const key = `${job.queue} ${job.tookMs > job.objectiveMs}`;
    const group = groups.get(key);
    if (group) group.push(job);
    else groups.set(key, [job]);
  }
  const rows = [...groups.values()].map(summarizeGroup);
  return rows.sort(
    (a, b) => a.queue.localeCompare(b.queue) || Number(a.late) - Number(b.late),
  );
}

function summarizeGroup(jobs: readonly EndedJob[]): StageRow {
  const mean = (valueOf: (job: EndedJob) => number) =>
    Math.round(jobs.reduce((sum, job) => sum + valueOf(job), 0) / jobs.length);
  const stagesMs = Object.fromEntries(
    STAGES.map(stage => [stage, mean(job => job.stagesMs[stage])]),
  ) as Record<Stage, number>;
  const [{queue, tookMs, objectiveMs}] = jobs as [EndedJob];
  const total = mean(job => job.tookMs);
  const known = Object.values(stagesMs).reduce((sum, ms) => sum + ms, 0);
  return {
    queue,
    late: tookMs > objectiveMs,
    jobs: jobs.length,
    tookMs: total,
    objectiveMs: mean(job => job.objectiveMs),
    stagesMs,
    otherMs: total - known,
  };
}

export async function measureStages(files: readonly string[]): Promise<object> {
  if (files.length === 0) throw new Error('usage: measure -- stages FILE...');
  const lines = files.flatMap(file => readFileSync(file, 'utf8').split('\n'));
  const jobs = lines.map(parseJobLine).filter(job => job !== undefined);
  const rows = summarizeStages(jobs);
  const titles = ['queue', 'late', 'jobs', 'took', 'objective'];
  printRow([...titles, ...STAGES, 'other']);
  for (const row of rows) {
    printRow([
      row.queue,
      row.late ? 'yes' : 'no',
      ...[row.jobs, row.tookMs, row.objectiveMs].map(String),
      ...STAGES.map(stage => String(row.stagesMs[stage])),
      String(row.otherMs),
    ]);
  }
  return {measure: 'stages', rows};
}

function printRow(cells: readonly string[]): void {
  process.stdout.write(`| ${cells.join(' | ')} |\n`);
}
