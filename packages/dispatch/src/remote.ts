/** Sends requests through links to the process that leads. */
import {RequestNotSentError, type Link} from '@lentildrift/link';
import type {Log} from '@lentildrift/observe';
import {z} from 'zod';
import type {EditSender} from './edit.js';
import type {Mesh} from './mesh.js';
import {
  isRead,
  QueueService,
  refuse,
  Reply,
  Request,
  type Refusal,
} from './request.js';

/** A request as it is sent between processes. */
export const Envelope = z.object({
  type: z.literal('request'),
  /** Identifies the request in the logs of both processes. */
  id: z.string(),
  request: Request,
  /** Whether the receiver forwards the request if it does not lead. */
  relay: z.boolean(),
  /** Whether an earlier attempt of the request may have taken effect. */
  isRetry: z.boolean().default(false),
});
export type Envelope = z.infer<typeof Envelope>;

export const EnvelopeReply = z.discriminatedUnion('type', [
  z.object({type: z.literal('reply'), reply: Reply}),
  /** The receiver does not lead, and the request had no effect. */
  z.object({type: z.literal('not-leader')}),
  /**
   * The receiver leads but does not have the tables that the edit is based on;
   * the request had no effect.
   */
  z.object({type: z.literal('unknown-base')}),
]);
export type EnvelopeReply = z.infer<typeof EnvelopeReply>;

/**
 * How long a request that was never sent waits for a leader. Workers and
 * operators try another process after a second, and callers can as well.
 */
const LEADER_SEARCH_MS = 900;
/** Timeout of one attempt, so that a silent link does not use up the budget. */
const ATTEMPT_TIMEOUT_MS = 700;
/**
 * Timeout of a relayed attempt, so that the relay answers before the sender's
 * attempt times out.
 */
const RELAY_TIMEOUT_MS = 400;
/** Pause before the second attempt; each further pause is twice as long. */
const ATTEMPT_PAUSE_MS = 20;
/**
 * Longest pause between attempts. While there is no leader, all requests are
 * repeated; without growing pauses this load would delay the election.
 */
const MAX_ATTEMPT_PAUSE_MS = 80;
/**
 * Time after which a caller that was refused for lack of a leader may retry.
 */
const CALLER_RETRY_MS = 300;

/**
 * Outcome of one attempt; only `unanswered` leaves open whether it took effect.
 */
type AttemptResult =
  Reply | 'not-leader' | 'unknown-base' | 'not-sent' | 'unanswered';

export interface RemoteOptions {
  readonly mesh: Mesh;
  readonly log: Log;
  /**
   * Handles the request in this process. Resolves with undefined, without any
   * effect, if this process does not lead.
   */
  handleLocally?(
    id: string,
    request: Request,
    isRetry: boolean,
  ): Promise<Reply | undefined>;
  /** Returns what is sent to the leader; see `EditSender`. */
  prepare?: EditSender['prepare'];
}

/**
 * Sends each request until it is answered or its budget is used up. Requests
 * are idempotent, since each identifies its subject (a job, a version, an
 * announcement), so one that may have been lost is simply sent again.
 */
export class RemoteService extends QueueService {
  constructor(private readonly options: RemoteOptions) {
    super();
  }

  override async handle(
    id: string,
    request: Request,
    budgetMs: number,
  ): Promise<Reply> {
    const startMs = performance.now();
    const checked = Request.safeParse(request);
    if (!checked.success)
      return this.refuseMalformed(id, request, checked.error);
    // Whether an unanswered attempt may have taken effect.
    let uncertain = false;
    let outdatedCount = 0;
    for (let attempts = 0; ; attempts++) {
      const spentMs = performance.now() - startMs;
      const limitMs = uncertain
        ? budgetMs
        : Math.min(budgetMs, LEADER_SEARCH_MS);
      if (spentMs >= limitMs) break;
      const result = await this.attempt(
        {
          type: 'request',
          id,
          request: checked.data,
          relay: false,
          isRetry: uncertain,
        },
        {attempts, outdatedCount},
        Math.min(budgetMs - spentMs, ATTEMPT_TIMEOUT_MS),
      );
      if (typeof result === 'object') return correctVerdict(result, uncertain);
      if (result === 'unanswered' && !isRead(request)) uncertain = true;
      if (result === 'unknown-base') outdatedCount++;
      await pauseAfter(attempts);
    }
    this.options.log.info('request-given-up', {request: id, uncertain});
    return refuse('unavailable', 'no leader answered in time', {
      verdict: uncertain ? 'may-have-run' : 'not-run',
      retryAfterMs: CALLER_RETRY_MS,
    });
  }

  /**
   * Checked where a request arrives: the leader may be in this process, and what
   * it records must be decoded by all members.
   */
  private refuseMalformed(
    id: string,
    {type}: Request,
    error: z.ZodError,
  ): Reply {
    const {path, message} = error.issues[0]!;
    const detail = `${path.join('.')}: ${message}`;
    this.options.log.info('request-malformed', {request: id, type, detail});
    return refuse('invalid', detail);
  }

  /** Forwards a request to the leader for a process that does not lead. */
  async relay({id, request, isRetry}: Envelope): Promise<EnvelopeReply> {
    const leader = this.options.mesh.leaderLink();
    if (!leader) return {type: 'not-leader'};
    const result = await this.send(
      leader,
      {type: 'request', id, request, relay: false, isRetry},
      RELAY_TIMEOUT_MS,
    );
    if (typeof result === 'object') return {type: 'reply', reply: result};
    if (result !== 'unanswered') return {type: 'not-leader'};
    const reply = refuse('unavailable', 'the leader did not answer the relay', {
      verdict: 'may-have-run',
    });
    return {type: 'reply', reply};
  }

  private async attempt(
    envelope: Envelope,
    {attempts, outdatedCount}: {attempts: number; outdatedCount: number},
    timeoutMs: number,
  ): Promise<AttemptResult> {
    const {mesh, handleLocally, prepare} = this.options;
    if (handleLocally) {
      const reply = await withTimeout(
        handleLocally(envelope.id, envelope.request, envelope.isRetry),
        timeoutMs,
      );
      if (reply === 'timeout') return 'unanswered';
      if (reply) return toAttemptResult(reply);
    }
    const {id, request} = envelope;
    const prepared = prepare?.(id, request, outdatedCount) ?? {request};
    if (prepared.reply) return prepared.reply;
    const leader = mesh.leaderLink();
    if (leader) {
      return this.send(
        leader,
        {...envelope, request: prepared.request},
        timeoutMs,
      );
    }
    // Another process may have a link to a leader that this process lacks. An
    // entry process therefore tries its open links in turn.
    const openLinks = handleLocally ? [] : mesh.openLinks();
    const link = openLinks[attempts % Math.max(1, openLinks.length)];
    if (!link) return 'not-sent';
    return this.send(link, {...envelope, relay: true}, timeoutMs);
  }

  private async send(
    link: Link,
    envelope: Envelope,
    timeoutMs: number,
  ): Promise<AttemptResult> {
    try {
      const body = await link.request(envelope, timeoutMs);
      const answer = EnvelopeReply.parse(body);
      return answer.type === 'reply'
        ? toAttemptResult(answer.reply)
        : answer.type;
    } catch (error) {
      if (error instanceof RequestNotSentError) return 'not-sent';
      this.options.log.debug('attempt-unanswered', {
        request: envelope.id,
        peer: link.address,
        reason: (error as Error).message,
      });
      return 'unanswered';
    }
  }
}

/**
 * Treats the reply of a process that lost its leadership while it handled the
 * request as no answer, since that process does not know the outcome.
 */
function toAttemptResult(reply: Reply): AttemptResult {
  const isOutcomeUnknown =
    reply.type === 'refused' &&
    reply.reason === 'unavailable' &&
    reply.verdict === 'may-have-run';
  return isOutcomeUnknown ? 'unanswered' : reply;
}

/**
 * Corrects a refusal that says `not-run` if an earlier, unanswered attempt may
 * still take effect. For the other reasons the leader has looked for the effect
 * of earlier attempts before it refused (see `Envelope.isRetry`).
 */
function correctVerdict(reply: Reply, uncertain: boolean): Reply {
  if (reply.type !== 'refused' || !uncertain) return reply;
  const uncertainReasons: Refusal['reason'][] = ['overloaded', 'unavailable'];
  if (!uncertainReasons.includes(reply.reason)) return reply;
  return {...reply, verdict: 'may-have-run'};
}

/** Resolves with `timeout` if the promise is not settled within the time. */
function withTimeout<T>(
  promise: Promise<T>,
  timeoutMs: number,
): Promise<T | 'timeout'> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve('timeout'), timeoutMs);
    promise.then(resolve, reject).finally(() => clearTimeout(timer));
  });
}

function pauseAfter(attempts: number): Promise<void> {
  const pauseMs = Math.min(
    ATTEMPT_PAUSE_MS * 2 ** attempts,
    MAX_ATTEMPT_PAUSE_MS,
  );
  return new Promise(resolve => setTimeout(resolve, pauseMs));
}
