/** The request handler of a control process, whether it leads or not. */
import {ChangeRefused, NotLeader} from '@lentildrift/consensus';
import type {Log} from '@lentildrift/observe';
import {UnknownBaseError, type EditSender} from './edit.js';
import type {Leadership} from './leadership.js';
import type {Mesh} from './mesh.js';
import {RemoteService, type Envelope, type EnvelopeReply} from './remote.js';
import {QueueService, refuse, type Reply, type Request} from './request.js';

/**
 * Handles requests in this process while it leads, and otherwise forwards them
 * to the leader.
 */
export class ControlService extends QueueService {
  private readonly remote: RemoteService;

  constructor(
    private readonly leadership: Leadership,
    mesh: Mesh,
    private readonly log: Log,
    editSender: EditSender,
  ) {
    super();
    this.remote = new RemoteService({
      mesh,
      log,
      handleLocally: (id, request, isRetry) =>
        this.handleLocally(id, request, isRetry),
      prepare: editSender.prepare,
    });
  }

  override handle(
    id: string,
    request: Request,
    budgetMs: number,
  ): Promise<Reply> {
    return this.remote.handle(id, request, budgetMs);
  }

  /** Handles a request that came through a link. */
  async handleEnvelope(envelope: Envelope): Promise<EnvelopeReply> {
    const {id, request, relay, isRetry} = envelope;
    let reply: Reply | undefined;
    try {
      reply = await this.handleLocally(id, request, isRetry);
    } catch (error) {
      if (error instanceof UnknownBaseError) return {type: 'unknown-base'};
      throw error;
    }
    if (reply) return {type: 'reply', reply};
    return relay ? this.remote.relay(envelope) : {type: 'not-leader'};
  }

  /**
   * Resolves with undefined, without any effect, if this process does not lead.
   */
  private async handleLocally(
    id: string,
    request: Request,
    isRetry: boolean,
  ): Promise<Reply | undefined> {
    const queues = await this.leadership.whenLeading();
    if (!queues) return undefined;
    try {
      return await queues.handle(id, request, isRetry);
    } catch (error) {
      if (error instanceof NotLeader) return undefined;
      if (error instanceof UnknownBaseError) throw error;
      // Refused for its size, so another attempt would be refused as well.
      if (error instanceof ChangeRefused) {
        return refuse('invalid', error.message);
      }
      this.log.info('request-unsettled', {
        request: id,
        reason: (error as Error).message,
      });
      return refuse('unavailable', (error as Error).message, {
        verdict: 'may-have-run',
      });
    }
  }
}
