/** The service that a control process offers to the other control processes. */
import {
  PeerService,
  type DeliverRequest,
  type GossipRequest,
  type JoinRequest,
  type JoinResponse,
  type ProposeRequest,
  type ProposeResponse,
  type ReadIndexRequest,
  type ReadIndexResponse,
  type ReportRequest,
  type ReportResponse,
} from '@lentildrift/protocol';
import type {SliceAllocator} from './allocator.js';
import type {StateReplica} from './machine.js';
import {proposeLocally, toServiceError} from './propose.js';
import type {RosterTask} from './roster.js';

/**
 * Handles consensus messages from member `from`. The handler must return without
 * waiting for the effects of the messages.
 */
export type ConsensusMessageHandler = (
  from: string,
  messages: unknown[],
) => void;

/**
 * Handles the request of a member to join the group. The handler must return
 * without waiting for the membership change.
 */
export type JoinRequestHandler = (member: string) => void;

export interface LocalPeerOptions {
  readonly replica: StateReplica;
  readonly allocator: SliceAllocator;
  readonly roster: RosterTask;
  readonly onMessages: ConsensusMessageHandler;
  readonly onJoinRequest: JoinRequestHandler;
}

/**
 * Answers requests on this replica. Requests are never forwarded to another
 * process, so that no request can be forwarded in a loop.
 */
export class LocalPeer extends PeerService {
  constructor(private readonly options: LocalPeerOptions) {
    super();
  }

  override async deliver({from, messages}: DeliverRequest): Promise<void> {
    this.options.onMessages(from, messages);
  }

  override propose({body}: ProposeRequest): Promise<ProposeResponse> {
    return proposeLocally(this.options.replica, body);
  }

  override async readIndex(
    request: ReadIndexRequest,
  ): Promise<ReadIndexResponse> {
    try {
      return {revision: await this.options.replica.readIndex(request)};
    } catch (error) {
      throw toServiceError(error);
    }
  }

  override report(request: ReportRequest): Promise<ReportResponse> {
    return this.options.allocator.report(request);
  }

  override async gossip({roster}: GossipRequest): Promise<void> {
    this.options.roster.merge(roster, false);
  }

  override async join({member}: JoinRequest): Promise<JoinResponse> {
    const {replica, onJoinRequest} = this.options;
    onJoinRequest(member);
    const status = replica.status();
    return {member: status.member, founded: status.voters.length > 0};
  }
}
