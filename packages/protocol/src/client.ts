/** The `trpc` encoding of the services: client side, for one process. */
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
 * Connections of their own for `deliver`, `readIndex` and `sync`, of which
 * each caller sends one at a time. Proposals and claims hold a connection
 * until their change is committed; consensus messages that queued behind them
 * kept that commit, and the leader's office, from going on.
 */
const URGENT_CONNECTIONS = 3;

type Rpc = ReturnType<typeof createTRPCClient<AppRouter>>;

/** A client of one control process, over connections that it keeps open. */
export function createServiceClient(options: ClientOptions): ServiceClient {
  const agent = createAgent(options, CONNECTIONS_PER_PROCESS);
  const urgentAgent = createAgent(options, URGENT_CONNECTIONS);
  const rpc = createRpc(options, agent);
  const urgent = createRpc(options, urgentAgent);
  return {
    control: new RemoteControl(rpc, urgent),
    peer: new RemotePeer(rpc, urgent),
    close: async () => {
      await Promise.all([agent.destroy(), urgentAgent.destroy()]);
    },
  };
}

function createAgent({timeoutMs}: ClientOptions, connections: number): Agent {
  return new Agent({
    connections,
    pipelining: 1,
    // Shorter than the whole, so that a failed connect is told as such.
    connect: {timeout: Math.ceil(timeoutMs / 2)},
  });
}

function createRpc(options: ClientOptions, dispatcher: Agent): Rpc {
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

class RemoteControl extends ControlService {
  constructor(
    private readonly rpc: Rpc,
    private readonly urgent: Rpc,
  ) {
    super();
  }

  override openSession(request: message.OpenSessionRequest) {
    return attempt(this.rpc.control.openSession.mutate(request));
  }

  override closeSession(request: message.CloseSessionRequest) {
    return attempt(this.rpc.control.closeSession.mutate(request));
  }

  override sync(request: message.SyncRequest) {
    return attempt(this.urgent.control.sync.mutate(request));
  }

  override claim(request: message.ClaimRequest) {
    return attempt(this.rpc.control.claim.mutate(request));
  }

  override settle(request: message.SettleRequest) {
    return attempt(this.rpc.control.settle.mutate(request));
  }

  override command(request: message.CommandRequest) {
    return attempt(this.rpc.control.command.mutate(request));
  }

  override async read(request: message.ReadRequest) {
    const call = this.rpc.control.read.mutate(request);
    const {revision, body} = await attempt(call);
    return {revision, body};
  }

  override submit(request: message.SubmitRequest) {
    return attempt(this.rpc.control.submit.mutate(request));
  }

  override cancel(request: message.CancelRequest) {
    return attempt(this.rpc.control.cancel.mutate(request));
  }

  override jobs(request: message.JobsRequest) {
    return attempt(this.rpc.control.jobs.mutate(request));
  }
}

class RemotePeer extends PeerService {
  constructor(
    private readonly rpc: Rpc,
    private readonly urgent: Rpc,
  ) {
    super();
  }

  override deliver(request: message.DeliverRequest) {
    return attempt(this.urgent.peer.deliver.mutate(request));
  }

  override propose(request: message.ProposeRequest) {
    return attempt(this.rpc.peer.propose.mutate(request));
  }

  override readIndex(request: message.ReadIndexRequest) {
    return attempt(this.urgent.peer.readIndex.mutate(request));
  }

  override report(request: message.ReportRequest) {
    return attempt(this.rpc.peer.report.mutate(request));
  }

  override gossip(request: message.GossipRequest) {
    return attempt(this.rpc.peer.gossip.mutate(request));
  }

  override join(request: message.JoinRequest) {
    return attempt(this.rpc.peer.join.mutate(request));
  }
}

async function attempt<T>(call: Promise<T>): Promise<T> {
  try {
    return await call;
  } catch (error) {
    throw toServiceError(error);
  }
}

interface ServiceFields {
  code: ServiceErrorCode;
  verdict: Verdict;
  message: string;
}

/** Errors that the server raises before the service sees the request. */
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
    {code?: string; service?: ServiceFields} | undefined;
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

/** Whether no byte of the request can have been sent. */
function isConnectFailure(error: unknown): boolean {
  const cause = (
    error as {cause?: {code?: string; syscall?: string}} | undefined
  )?.cause;
  return (
    cause?.syscall === 'connect' || cause?.code === 'UND_ERR_CONNECT_TIMEOUT'
  );
}
