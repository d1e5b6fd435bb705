/** The `trpc` encoding of the services: client side. */
import {createTRPCClient, httpLink, TRPCClientError} from '@trpc/client';
import {Agent, fetch as undiciFetch} from 'undici';
import {SECRET_HEADER, type AppRouter} from './router.js';
import {
  ServiceError,
  type ControlService,
  type PeerService,
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

/** A client of one control process, over connections that it keeps open. */
export function createServiceClient(options: ClientOptions): ServiceClient {
  const {address, clusterSecret, timeoutMs} = options;
  const agent = new Agent({
    connections: 4,
    pipelining: 1,
    connect: {timeout: timeoutMs},
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
  });
  const trpc = createTRPCClient<AppRouter>({
    links: [
      httpLink({
        url: `http://${address}`,
        headers: clusterSecret ? {[SECRET_HEADER]: clusterSecret} : {},
        fetch: (url, init) =>
          undiciFetch(url as string, {
            ...(init as object),
            dispatcher: agent,
            signal: AbortSignal.timeout(timeoutMs),
          }) as never,
      }),
    ],
  });
  return {
    control: wrap(trpc.control) as unknown as ControlService,
    peer: wrap(trpc.peer) as unknown as PeerService,
    close: () => agent.destroy(),
  };
}

interface Procedure {
  mutate(input: unknown): Promise<unknown>;
}

/** Makes each procedure a method, and each failure a `ServiceError`. */
function wrap(procedures: object): Record<string, unknown> {
  return new Proxy(
    {},
    {
      get: (_target, name) => async (input: unknown) => {
        const procedure = (procedures as Record<string | symbol, Procedure>)[
          name
        ]!;
        try {
          return await procedure.mutate(input);
        } catch (error) {
          throw toServiceError(error);
        }
      },
    },
  );
}

interface ServiceFields {
  code: ServiceErrorCode;
  verdict: Verdict;
  message: string;
}

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
  if (data?.code === 'UNAUTHORIZED') {
    return new ServiceError('unauthorised', error.message);
  }
  if (data?.code === 'BAD_REQUEST') {
    return new ServiceError('malformed', error.message);
  }
  const refused = isConnectFailure(error.cause);
  return refused
    ? new ServiceError('unavailable', 'the control process does not answer')
    : new ServiceError('outcome-unknown', error.message, 'may-have-run');
}

/** Whether no byte of the request can have been sent. */
function isConnectFailure(error: unknown): boolean {
  const cause = (error as {cause?: {code?: string}} | undefined)?.cause;
  return (
    cause?.code === 'ECONNREFUSED' || cause?.code === 'UND_ERR_CONNECT_TIMEOUT'
  );
}
