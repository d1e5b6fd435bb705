/** The queues' service at whichever process leads, reached through links. */
import {RequestNotSentError, type Link} from '@lentildrift/link';
import type {Log} from '@lentildrift/observe';
import {z} from 'zod';
import type {Mesh} from './mesh.js';
import {
  isRead,
  QueueService,
  refuse,
  Reply,
  Request,
  type Refusal,
} from './request.js';

/** A request on its way between processes. */
export const Envelope = z.object({
  /** For the logs on both sides. */
  id: z.string(),
  request: Request,
  /** The receiver passes it on if it does not lead. */
  relay: z.boolean(),
});
export type Envelope = z.infer<typeof Envelope>;

export const EnvelopeReply = z.discriminatedUnion('type', [
  z.object({type: z.literal('reply'), reply: Reply}),
  /** The receiver does not lead, and nothing was done. */
  z.object({type: z.literal('not-leader')}),
]);
export type EnvelopeReply = z.infer<typeof EnvelopeReply>;

/**
 * A request that was never sent waits this long for a leader: workers and
 * operators ask elsewhere after a second, and callers can too.
 */
const SEEK_MS = 900;
/** A link that is silent this long is not worth the rest of the budget. */
const ATTEMPT_MS = 700;
/** A relay answers before the sender has given its attempt up. */
const RELAY_MS = 400;
/** Pause before the leader is looked for again. */
const LOOK_PAUSE_MS = 20;
/** When a caller that was turned away may find a leader again. */
const RETRY_AFTER_MS = 300;

type Attempt = Reply | 'not-leader' | 'not-sent' | 'unanswered';

export interface RemoteOptions {
  readonly mesh: Mesh;
  readonly log: Log;
  /**
   * Asks the queues of this process; undefined if it does not lead and has
   * done nothing.
   */
  handleLocally?(id: string, request: Request): Promise<Reply | undefined>;
}

/**
 * Every request names what it is about (a job, a version, an announcement),
 * so that it has its effect once however often it is sent. One that may have
 * been lost on its way is therefore sent again, until the budget is used up.
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
    const begunMs = performance.now();
    let uncertain = false;
    for (let attempts = 0; ; attempts++) {
      const spentMs = performance.now() - begunMs;
      const limitMs = uncertain ? budgetMs : Math.min(budgetMs, SEEK_MS);
      if (spentMs >= limitMs) break;
      const attempt = await this.attempt(
        {id, request, relay: false},
        attempts,
        Math.min(budgetMs - spentMs, ATTEMPT_MS),
      );
      if (typeof attempt === 'object') return truthful(attempt, uncertain);
      if (attempt === 'unanswered' && !isRead(request)) uncertain = true;
      await pause();
    }
    this.options.log.info('request-given-up', {request: id, uncertain});
    return refuse('unavailable', 'no leader answered in time', {
      verdict: uncertain ? 'may-have-run' : 'not-run',
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  /** Passes on what was sent to a process that does not lead. */
  async relay({id, request}: Envelope): Promise<EnvelopeReply> {
    const leader = this.options.mesh.leaderLink();
    if (!leader) return {type: 'not-leader'};
    const attempt = await this.send(
      leader,
      {id, request, relay: false},
      RELAY_MS,
    );
    if (typeof attempt === 'object') return {type: 'reply', reply: attempt};
    if (attempt !== 'unanswered') return {type: 'not-leader'};
    const reply = refuse('unavailable', 'the leader did not answer the relay', {
      verdict: 'may-have-run',
    });
    return {type: 'reply', reply};
  }

  private async attempt(
    envelope: Envelope,
    attempts: number,
    timeoutMs: number,
  ): Promise<Attempt> {
    const {mesh, handleLocally} = this.options;
    const here = await handleLocally?.(envelope.id, envelope.request);
    if (here) return settled(here);
    const leader = mesh.leaderLink();
    if (leader) return this.send(leader, envelope, timeoutMs);
    // Another process may be in touch with a leader that this one is not.
    const open = handleLocally ? [] : mesh.openLinks();
    const link = open[attempts % Math.max(1, open.length)];
    if (!link) return 'not-sent';
    return this.send(link, {...envelope, relay: true}, timeoutMs);
  }

  private async send(
    link: Link,
    envelope: Envelope,
    timeoutMs: number,
  ): Promise<Attempt> {
    try {
      const said = await link.request(envelope, timeoutMs);
      const answer = EnvelopeReply.parse(said);
      return answer.type === 'reply' ? settled(answer.reply) : 'not-leader';
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

/** A leader that lost its office on the way knows no outcome. */
function settled(reply: Reply): Attempt {
  const unknown =
    reply.type === 'refused' &&
    reply.reason === 'unavailable' &&
    reply.verdict === 'may-have-run';
  return unknown ? 'unanswered' : reply;
}

/** An earlier attempt without an answer may still have its effect. */
function truthful(reply: Reply, uncertain: boolean): Reply {
  if (reply.type !== 'refused' || !uncertain) return reply;
  const claims: Refusal['reason'][] = ['overloaded', 'unavailable'];
  if (!claims.includes(reply.reason)) return reply;
  return {...reply, verdict: 'may-have-run'};
}

function pause(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, LOOK_PAUSE_MS));
}
