/** What a control process answers to the other control processes. */
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

/** Takes consensus messages; must not wait for what they lead to. */
export type ConsensusMessageHandler = (
  from: string,
  messages: unknown[],
) => void;

/** Notes that a member asks to belong to the group; must not wait for it. */
export type JoinRequestHandler = (member: string) => void;

export interface LocalPeerOptions {
  readonly replica: StateReplica;
  readonly limits: SliceAllocator;
  readonly roster: RosterTask;
  readonly onMessages: ConsensusMessageHandler;
  readonly onJoinRequest: JoinRequestHandler;
}

/** Nothing is forwarded from here, so that no request can go in a circle. */
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
    return this.options.limits.report(request);
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
