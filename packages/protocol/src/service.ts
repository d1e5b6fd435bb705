/**
 * The services through which processes call each other, independent of their
 * encoding. Implementations: the control role itself, `trpc` clients, and fakes
 * in tests.
 */
import type {Verdict} from '@lentildrift/model';
import type {
  CancelRequest,
  ClaimRequest,
  ClaimResponse,
  CloseSessionRequest,
  CommandRequest,
  CommandResponse,
  DeliverRequest,
  GossipRequest,
  JobsRequest,
  JobsResponse,
  JoinRequest,
  JoinResponse,
  OpenSessionRequest,
  OpenSessionResponse,
  ProposeRequest,
  ProposeResponse,
  ReadIndexRequest,
  ReadIndexResponse,
  ReadRequest,
  ReadResponse,
  ReportRequest,
  ReportResponse,
  SettleRequest,
  SubmitRequest,
  SyncRequest,
  SyncResponse,
} from './message.js';

export type ServiceErrorCode =
  'unavailable' | 'unauthorised' | 'malformed' | 'outcome-unknown';

/** Failure of a service call; the verdict says whether the call ran. */
export class ServiceError extends Error {
  constructor(
    readonly code: ServiceErrorCode,
    message: string,
    readonly verdict: Verdict = 'not-run',
  ) {
    super(message);
    this.name = 'ServiceError';
  }
}

/**
 * Called by entry hosts and operators. Every method rejects with a
 * `ServiceError` on failure.
 */
export abstract class ControlService {
  abstract openSession(r: OpenSessionRequest): Promise<OpenSessionResponse>;
  abstract closeSession(r: CloseSessionRequest): Promise<void>;
  abstract sync(request: SyncRequest): Promise<SyncResponse>;
  abstract claim(request: ClaimRequest): Promise<ClaimResponse>;
  abstract settle(request: SettleRequest): Promise<void>;
  abstract command(request: CommandRequest): Promise<CommandResponse>;
  abstract read(request: ReadRequest): Promise<ReadResponse>;
  abstract submit(request: SubmitRequest): Promise<CommandResponse>;
  abstract cancel(request: CancelRequest): Promise<CommandResponse>;
  abstract jobs(request: JobsRequest): Promise<JobsResponse>;
}

/**
 * Called by other control processes. Every method rejects with a
 * `ServiceError` on failure.
 */
export abstract class PeerService {
  abstract deliver(request: DeliverRequest): Promise<void>;
  abstract propose(request: ProposeRequest): Promise<ProposeResponse>;
  abstract readIndex(request: ReadIndexRequest): Promise<ReadIndexResponse>;
  abstract report(request: ReportRequest): Promise<ReportResponse>;
  abstract gossip(request: GossipRequest): Promise<void>;
  abstract join(request: JoinRequest): Promise<JoinResponse>;
}
