/** Subcommands about jobs. */
import {formatColumns} from '@lentildrift/observe';
import type {CommandContext} from './context.js';
import {loadDocument} from './document.js';
import {jobFileSchema} from './job-client.js';

export async function submitJobs(
  context: CommandContext,
  [file]: readonly string[],
): Promise<void> {
  const text = context.readFile(file!);
  const {value} = loadDocument(file!, text, jobFileSchema);
  const answer = await context.createJobClient().submit(value);
  context.print(answer, `submitted ${value.jobs.length} jobs\n`);
}

export async function cancelJobs(
  context: CommandContext,
  ids: readonly string[],
): Promise<void> {
  const answer = await context.createJobClient().cancel(ids);
  context.print(answer, `cancel accepted for ${ids.length} jobs\n`);
}

export async function listJobs(context: CommandContext): Promise<void> {
  const {jobs} = await context.createJobClient().list();
  const rows = jobs.map(job => [
    job.id,
    job.queue,
    job.phase,
    job.host ?? '',
    job.reason ?? '',
  ]);
  const head = ['ID', 'QUEUE', 'PHASE', 'HOST', 'REASON'];
  context.print(jobs, formatColumns([head, ...rows]));
}
