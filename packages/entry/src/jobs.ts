/** The HTTP paths on which teams submit, list and cancel jobs. */
import {refuse, type Answer, type Verdict, type View} from '@lentildrift/model';
import {
  cancelRequestSchema,
  ServiceError,
  submitRequestSchema,
  type ControlService,
} from '@lentildrift/protocol';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {answerJson, answerRefusal} from './answer.js';
import {readJson} from './body.js';
import {verifyBearer} from './bearer.js';
import type {Cell} from './cell.js';
import {VERDICT_HEADER} from './header.js';

const MAX_JOBS_BYTES = 1024 * 1024;
const JOB_PATH = /^\/jobs\/([A-Za-z0-9._-]{1,80})$/;

const ANSWER_STATUS: Record<Extract<Answer, {ok: false}>['code'], number> = {
  conflict: 409,
  invalid: 400,
  unknown: 404,
  budget: 409,
  limit: 429,
};

export interface JobsContext {
  readonly control: ControlService;
  readonly view: Cell<View>;
  /** End of the freshness lease, on the monotonic clock. */
  readonly freshUntilMs: Cell<number>;
}

export function isJobsPath(url: string): boolean {
  return url === '/jobs' || JOB_PATH.test(url);
}

/**
 * Handles a request for jobs. `POST /jobs` and `DELETE /jobs` have the body
 * `{jobs}`; `GET` and `DELETE /jobs/ID` have none.
 */
export async function handleJobs(
  context: JobsContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (performance.now() >= context.freshUntilMs.value) {
    const text = 'this entry host has no current configuration';
    const refusal = refuse('stale', text, {retryAfterMs: 1000});
    return answerRefusal(request, response, refusal);
  }
  const {authorization} = request.headers;
  const subject = verifyBearer(authorization, context.view.value);
  if (!subject || subject.kind !== 'team') {
    const refusal = refuse('unauthorised', 'jobs need the key of a team');
    return answerRefusal(request, response, refusal);
  }
  try {
    await handleTeamRequest(context.control, subject.team, request, response);
  } catch (error) {
    answerFailure(response, error);
  }
}

async function handleTeamRequest(
  control: ControlService,
  team: string,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const {method, url = ''} = request;
  const id = JOB_PATH.exec(url)?.[1];
  if (method === 'GET') {
    const {jobs} = await control.jobs({team});
    const wanted = id === undefined ? jobs : jobs.filter(job => job.id === id);
    return answerJson(response, 200, {jobs: wanted});
  }
  if (method === 'DELETE' && id !== undefined) {
    return answerChange(response, await control.cancel({team, jobs: [id]}));
  }
  if (id !== undefined || (method !== 'POST' && method !== 'DELETE')) {
    const refusal = refuse('malformed', `no ${method} on this path`);
    return answerRefusal(request, response, refusal);
  }
  const body = await readJson(request, MAX_JOBS_BYTES);
  if (!body.ok) return answerRefusal(request, response, body.refusal);
  const input = {...(body.value as object), team};
  if (method === 'POST') {
    const parsed = submitRequestSchema.safeParse(input);
    if (parsed.success) {
      return answerChange(response, await control.submit(parsed.data));
    }
  } else {
    const parsed = cancelRequestSchema.safeParse(input);
    if (parsed.success) {
      return answerChange(response, await control.cancel(parsed.data));
    }
  }
  const refusal = refuse('malformed', 'malformed list of jobs');
  answerRefusal(request, response, refusal);
}

function answerChange(response: ServerResponse, answer: Answer): void {
  const status = answer.ok ? 200 : ANSWER_STATUS[answer.code];
  const verdict: Verdict = answer.ok ? 'ran' : 'not-run';
  answerJson(response, status, answer, {[VERDICT_HEADER]: verdict});
}

function answerFailure(response: ServerResponse, error: unknown): void {
  const known = error instanceof ServiceError;
  const verdict: Verdict = known ? error.verdict : 'may-have-run';
  const message = 'control did not answer';
  const body = {verdict, code: known ? error.code : 'internal', message};
  answerJson(response, 503, body, {
    [VERDICT_HEADER]: verdict,
    'retry-after': '1',
  });
}
