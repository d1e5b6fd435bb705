/** The HTTP paths on which upstreams announce themselves and leave. */
import {announcementSchema, refuse, type View} from '@lentildrift/model';
import type {Task} from '@lentildrift/task';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {answerRefusal} from './answer.js';
import {readJson} from './body.js';
import {verifyBearer} from './bearer.js';
import type {Cell} from './cell.js';
import type {RosterMessage} from './directory.js';

const MAX_ANNOUNCEMENT_BYTES = 4096;
const ASK_TIMEOUT_MS = 1000;
const RETRY_AFTER_MS = 1000;

export interface AnnounceContext {
  readonly view: Cell<View>;
  /** End of the freshness lease, on the monotonic clock. */
  readonly freshUntilMs: Cell<number>;
  readonly roster: Task<RosterMessage>;
  /** Syncs with control; resolves with whether control accepted the sync. */
  flush(): Promise<boolean>;
}

/** Handles `POST /announce`, or `POST /leave` if `isLeave` is set. */
export async function handleAnnounce(
  context: AnnounceContext,
  request: IncomingMessage,
  response: ServerResponse,
  isLeave: boolean,
): Promise<void> {
  const {view, freshUntilMs, roster} = context;
  if (request.method !== 'POST') {
    const refusal = refuse('malformed', 'the method must be POST');
    return answerRefusal(request, response, refusal);
  }
  if (performance.now() >= freshUntilMs.value) {
    const text = 'this entry host has no current configuration';
    const refusal = refuse('stale', text, {retryAfterMs: 1000});
    return answerRefusal(request, response, refusal);
  }
  const {authorization} = request.headers;
  const subject = verifyBearer(authorization, view.value);
  if (!subject || subject.kind !== 'pool') {
    const refusal = refuse('unauthorised', 'the key is not that of a pool');
    return answerRefusal(request, response, refusal);
  }
  const body = await readJson(request, MAX_ANNOUNCEMENT_BYTES);
  if (!body.ok) return answerRefusal(request, response, body.refusal);
  const parsed = announcementSchema.safeParse(body.value);
  if (!parsed.success) {
    const refusal = refuse('malformed', 'malformed announcement');
    return answerRefusal(request, response, refusal);
  }
  const {pool, host} = parsed.data;
  if (subject.pool !== pool || view.value.hosts[host]?.pool !== pool) {
    const text = `the key or the host is not of pool "${pool}"`;
    return answerRefusal(request, response, refuse('forbidden', text));
  }
  const item = {announcement: parsed.data, left: isLeave, ageMs: 0};
  const urgent = await roster.ask<boolean>(
    reply => ({type: 'announce', item, reply}),
    ASK_TIMEOUT_MS,
  );
  // The request succeeds only once control can pass the change on to every
  // entry host. Otherwise the upstream must retry, if necessary through
  // another entry host.
  if (urgent && !(await context.flush())) {
    const text = 'control could not be told; send it again';
    const refusal = refuse('stale', text, {
      verdict: 'may-have-run',
      retryAfterMs: RETRY_AFTER_MS,
    });
    return answerRefusal(request, response, refusal);
  }
  response.writeHead(204).end();
}
