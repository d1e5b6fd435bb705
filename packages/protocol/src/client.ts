/** The `trpc` encoding of the services: client of one control process. */
import {createTRPCClient, httpLink, TRPCClientError} from '@trpc/client';
import {Agent, fetch as undiciFetch} from 'undici';
import type * as message from './message.js';
import {SECRET_HEADER, type AppRouter} from './router.js';
import {
  ControlService,
  PeerService,
  ServiceError,
  type ServiceErrorCode,
} from './service.js';
import type {Verdict} from '@lentildrift/model';

/** The services of one control process. */
export interface ServiceClient {
  readonly control: ControlService;
  readonly peer: PeerService;
  close(): Promise<void>;
}

export interface ClientOptions {
  /** Address and port of a control process. */
  readonly address: string;
  readonly clusterSecret?: string;
  /** Longest wait for an answer, in milliseconds. */
  readonly timeoutMs: number;
}

const CONNECTIONS_PER_PROCESS = 4;
/**
 * Separate connections for `deliver`, `readIndex` and `sync`, of which each
 * caller sends one at a time. Proposals and claims occupy a connection until
 * their change is committed. Consensus messages that queued behind them delayed
 * this very commit, and prevented the leader from staying leader.
 */
const URGENT_CONNECTIONS = 3;

type RpcClient = ReturnType<typeof createTRPCClient<AppRouter>>;

/** Creates a client of one control process, which keeps connections open. */
export function createServiceClient(options: ClientOptions): ServiceClient {
  const agent = createAgent(options, CONNECTIONS_PER_PROCESS);
  const urgentAgent = createAgent(options, URGENT_CONNECTIONS);
  const rpc = createRpc(options, agent);
  const urgentRpc = createRpc(options, urgentAgent);
  return {
    control: new RemoteControl(rpc, urgentRpc),
    peer: new RemotePeer(rpc, urgentRpc),
    close: async () => {
      await Promise.all([agent.destroy(), urgentAgent.destroy()]);
    },
  };
}

function createAgent({timeoutMs}: ClientOptions, connections: number): Agent {
  return new Agent({
    connections,
    pipelining: 1,
    // Shorter than the timeout of a request, so that a failed connection
    // attempt is reported as such.
    connect: {timeout: Math.ceil(timeoutMs / 2)},
  });
}

function createRpc(options: ClientOptions, dispatcher: Agent): RpcClient {
  const {address, clusterSecret, timeoutMs} = options;
  return createTRPCClient<AppRouter>({
    links: [
      httpLink({
        url: `http://${address}`,
        headers: clusterSecret ? {[SECRET_HEADER]: clusterSecret} : {},
        fetch: (url, init) =>
          undiciFetch(url as string, {
            ...(init as object),
            dispatcher,
            signal: AbortSignal.timeout(timeoutMs),
          }) as never,
      }),
    ],
  });
}

/** The control service of another process. */
class RemoteControl extends ControlService {
  constructor(
    private readonly rpc: RpcClient,
    private readonly urgentRpc: RpcClient,
  ) {
    super();
  }

  override openSession(request: message.OpenSessionRequest) {
    return convertErrors(this.rpc.control.openSession.mutate(request));
  }

  override closeSession(request: message.CloseSessionRequest) {
    return convertErrors(this.rpc.control.closeSession.mutate(request));
  }

  override sync(request: message.SyncRequest) {
    return convertErrors(this.urgentRpc.control.sync.mutate(request));
  }

  override claim(request: message.ClaimRequest) {
    return convertErrors(this.rpc.control.claim.mutate(request));
  }

  override settle(request: message.SettleRequest) {
    return convertErrors(this.rpc.control.settle.mutate(request));
  }

  override command(request: message.CommandRequest) {
    return convertErrors(this.rpc.control.command.mutate(request));
  }

  override async read(request: message.ReadRequest) {
    const call = this.rpc.control.read.mutate(request);
    const {revision, body} = await convertErrors(call);
    return {revision, body};
  }

  override submit(request: message.SubmitRequest) {
    return convertErrors(this.rpc.control.submit.mutate(request));
  }

  override cancel(request: message.CancelRequest) {
    return convertErrors(this.rpc.control.cancel.mutate(request));
  }

  override jobs(request: message.JobsRequest) {
    return convertErrors(this.rpc.control.jobs.mutate(request));
  }
}

/** The peer service of another process. */
class RemotePeer extends PeerService {
  constructor(
    private readonly rpc: RpcClient,
    private readonly urgentRpc: RpcClient,
  ) {
    super();
  }

  override deliver(request: message.DeliverRequest) {
    return convertErrors(this.urgentRpc.peer.deliver.mutate(request));
  }

  override propose(request: message.ProposeRequest) {
    return convertErrors(this.rpc.peer.propose.mutate(request));
  }

  override readIndex(request: message.ReadIndexRequest) {
    return convertErrors(this.urgentRpc.peer.readIndex.mutate(request));
  }

  override report(request: message.ReportRequest) {
    return convertErrors(this.rpc.peer.report.mutate(request));
  }

  override gossip(request: message.GossipRequest) {
    return convertErrors(this.rpc.peer.gossip.mutate(request));
  }

  override join(request: message.JoinRequest) {
    return convertErrors(this.rpc.peer.join.mutate(request));
  }
}

/** Converts any error of a call to a `ServiceError`. */
async function convertErrors<T>(call: Promise<T>): Promise<T> {
  try {
    return await call;
  } catch (error) {
    throw toServiceError(error);
  }
}

/** Fields of a `ServiceError` as the server encodes them. */
interface ServiceErrorFields {
  code: ServiceErrorCode;
  verdict: Verdict;
  message: string;
}

/** `trpc` codes of errors raised before the request reaches the service. */
const REFUSED_BEFORE_RUN: Readonly<Record<string, ServiceErrorCode>> = {
  UNAUTHORIZED: 'unauthorised',
  BAD_REQUEST: 'malformed',
  PARSE_ERROR: 'malformed',
  PAYLOAD_TOO_LARGE: 'malformed',
  NOT_FOUND: 'malformed',
  METHOD_NOT_SUPPORTED: 'malformed',
  UNSUPPORTED_MEDIA_TYPE: 'malformed',
};

function toServiceError(error: unknown): ServiceError {
  if (!(error instanceof TRPCClientError)) {
    return new ServiceError('outcome-unknown', String(error), 'may-have-run');
  }
  const data = error.data as
    {code?: string; service?: ServiceErrorFields} | undefined;
  if (data?.service) {
    const {code, message, verdict} = data.service;
    return new ServiceError(code, message, verdict);
  }
  const refusal = REFUSED_BEFORE_RUN[data?.code ?? ''];
  if (refusal) return new ServiceError(refusal, error.message);
  return isConnectFailure(error.cause)
    ? new ServiceError('unavailable', 'the control process does not answer')
    : new ServiceError('outcome-unknown', error.message, 'may-have-run');
}

/** Whether connecting failed, so that no byte of the request was sent. */
function isConnectFailure(error: unknown): boolean {
  const cause = (
    error as {cause?: {code?: string; syscall?: string}} | undefined
  )?.cause;
  return (
    cause?.syscall === 'connect' || cause?.code === 'UND_ERR_CONNECT_TIMEOUT'
  );
}
