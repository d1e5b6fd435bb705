/** The queues' service at the leader, reached through links. */
import {NotSent, type Link} from '@lentildrift/link';
import type {Log} from '@lentildrift/observe';
import {z} from 'zod';
import type {Mesh} from './mesh.js';
import {QueueService, refuse, Reply, Request, type Refusal} from './request.js';

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
  /** The receiver does not lead and has done nothing. */
  z.object({type: z.literal('not-leader')}),
]);
export type EnvelopeReply = z.infer<typeof EnvelopeReply>;

/**
 * A request waits this long for a leader and its answer. Callers and workers
 * ask elsewhere after a second, so a longer wait serves nobody.
 */
export const REQUEST_BUDGET_MS = 900;
/** A link that is silent this long is not worth the rest of the budget. */
const ATTEMPT_MS = 700;
/** Pause before the leader is looked for again. */
const LOOK_PAUSE_MS = 20;
/** When a caller that was turned away may find a leader again. */
const RETRY_AFTER_MS = 300;

type Attempt = Reply | 'not-leader' | 'not-sent' | 'unanswered';

export class RemoteService extends QueueService {
  constructor(
    private readonly mesh: Mesh,
    private readonly log: Log,
    private readonly mayRelay = true,
  ) {
    super();
  }

  override async handle(id: string, request: Request): Promise<Reply> {
    const untilMs = performance.now() + REQUEST_BUDGET_MS;
    let uncertain = false;
    while (performance.now() < untilMs) {
      const leader = this.mesh.leader();
      const link = leader ?? this.relay();
      if (!link) {
        await pause();
        continue;
      }
      const leftMs = Math.max(1, untilMs - performance.now());
      const envelope = {id, request, relay: leader === undefined};
      const attempt = await this.attempt(link, envelope, leftMs);
      if (typeof attempt === 'object') return truthful(attempt, uncertain);
      uncertain ||= attempt === 'unanswered';
      await pause();
    }
    this.log.info('request-given-up', {request: id, uncertain});
    return refuse('unavailable', 'no leader answered in time', {
      verdict: uncertain ? 'may-have-run' : 'not-run',
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  private relay(): Link | undefined {
    return this.mayRelay ? this.mesh.open()[0] : undefined;
  }

  private async attempt(
    link: Link,
    envelope: Envelope,
    leftMs: number,
  ): Promise<Attempt> {
    try {
      const said = await link.request(envelope, Math.min(leftMs, ATTEMPT_MS));
      const answer = EnvelopeReply.parse(said);
      return answer.type === 'reply' ? answer.reply : 'not-leader';
    } catch (error) {
      if (error instanceof NotSent) return 'not-sent';
      this.log.debug('attempt-unanswered', {
        request: envelope.id,
        peer: link.address,
        reason: (error as Error).message,
      });
      return 'unanswered';
    }
  }
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
