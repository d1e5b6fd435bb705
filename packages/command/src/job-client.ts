/** Client for the job queues, over the HTTP interface of entry hosts. */
import {jobSchema, jobSpecSchema, refusalSchema} from '@lentildrift/model';
import {z} from 'zod';
import {CommandError, OutcomeUnknownError} from './error.js';

/** The content of a file for the subcommand `submit`. */
export const jobFileSchema = z.strictObject({
  jobs: z.array(jobSpecSchema).min(1).max(1000),
});
export type JobFile = z.infer<typeof jobFileSchema>;

export const jobListSchema = z.object({jobs: z.array(jobSchema)});
export type JobList = z.infer<typeof jobListSchema>;

export interface JobClientOptions {
  /** Addresses and ports of entry hosts, tried in this order. */
  readonly entryAddresses: readonly string[];
  readonly key: string;
  readonly timeoutMs: number;
}

export interface JobClient {
  submit(file: JobFile): Promise<unknown>;
  cancel(jobs: readonly string[]): Promise<unknown>;
  list(): Promise<JobList>;
}

export function createJobClient(options: JobClientOptions): JobClient {
  return {
    submit: file => sendToAnyEntry(options, 'POST', '/jobs', file),
    cancel: jobs => {
      const query = new URLSearchParams(
        jobs.map((id): [string, string] => ['id', id]),
      );
      return sendToAnyEntry(options, 'DELETE', `/jobs?${query}`);
    },
    async list() {
      const parsed = jobListSchema.safeParse(
        await sendToAnyEntry(options, 'GET', '/jobs'),
      );
      if (parsed.success) return parsed.data;
      throw new CommandError('the entry host sent a malformed list of jobs');
    },
  };
}

/**
 * Tries the entry hosts in order until one answers. A request that changes
 * jobs goes to the next entry host only if it was certainly not sent.
 */
async function sendToAnyEntry(
  options: JobClientOptions,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body?: unknown,
): Promise<unknown> {
  let failure = 'no entry host';
  for (const entry of options.entryAddresses) {
    try {
      return await sendToEntry(entry, options, method, path, body);
    } catch (error) {
      if (error instanceof CommandError) throw error;
      const {cause, message} = error as Error & {cause?: {code?: string}};
      failure = `${entry}: ${cause?.code ?? message}`;
      // No byte of the request was sent if the connection was refused.
      const notSent = cause?.code === 'ECONNREFUSED';
      if (!notSent && method !== 'GET') throw new OutcomeUnknownError(failure);
    }
  }
  throw new CommandError(failure);
}

/** Sends a request to one entry host and returns the parsed answer. */
async function sendToEntry(
  entry: string,
  options: JobClientOptions,
  method: string,
  path: string,
  body: unknown,
): Promise<unknown> {
  const response = await fetch(`http://${entry}${path}`, {
    method,
    headers: {
      authorization: `Bearer ${options.key}`,
      ...(body === undefined ? {} : {'content-type': 'application/json'}),
    },
    body: body === undefined ? undefined : JSON.stringify(body),
    signal: AbortSignal.timeout(options.timeoutMs),
  });
  const text = await response.text();
  const value = parseJson(text);
  if (response.ok) return value ?? {};
  const refusal = refusalSchema.safeParse(value);
  const reason = refusal.success
    ? `${refusal.data.code}: ${refusal.data.message}`
    : `HTTP status ${response.status}`;
  // A body without a verdict does not prove that the request has not run.
  const verdict = refusal.success ? refusal.data.verdict : 'may-have-run';
  if (verdict === 'may-have-run' && response.status >= 500) {
    throw new OutcomeUnknownError(`${entry}: ${reason}`);
  }
  throw new CommandError(`refused (${reason})`);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
