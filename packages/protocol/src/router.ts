/** The `trpc` encoding of the services: router and HTTP server. */
import {
  describeClientError,
  describeMalformed,
  guardHttpServer,
  sendClientError,
  type Exchange,
  type Intake,
} from '@lentildrift/intake-limits';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {timingSafeEqual, createHash} from 'node:crypto';
import {initTRPC, TRPCError} from '@trpc/server';
import {fetchRequestHandler} from '@trpc/server/adapters/fetch';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import * as message from './message.js';
import {
  ServiceError,
  type ControlService,
  type PeerService,
} from './service.js';

/** Header that carries the cluster's shared secret. */
export const SECRET_HEADER = 'lentildrift-cluster';

interface Context {
  /** Whether the request carries the cluster's shared secret. */
  readonly hasClusterSecret: boolean;
  /**
   * Waits for the lock under which large answers are encoded, which is released
   * once the answer is written.
   */
  waitToEncode(): Promise<void>;
}

const trpc = initTRPC.context<Context>().create({
  errorFormatter: ({shape, error}) => ({
    ...shape,
    data: {...shape.data, service: getServiceErrorFields(error)},
  }),
});

function getServiceErrorFields(error: TRPCError) {
  const {cause} = error;
  if (!(cause instanceof ServiceError)) return undefined;
  return {code: cause.code, verdict: cause.verdict, message: cause.message};
}

/**
 * Wraps each `ServiceError` in a `TRPCError`, so that its fields reach the
 * client.
 */
const publicProcedure = trpc.procedure.use(async ({next}) => {
  const result = await next();
  if (result.ok || !(result.error.cause instanceof ServiceError)) return result;
  const {cause} = result.error;
  throw new TRPCError({
    code: 'PRECONDITION_FAILED',
    message: cause.message,
    cause,
  });
});

/** Rejects requests that lack the cluster's shared secret. */
const clusterProcedure = publicProcedure.use(({ctx, next}) => {
  if (!ctx.hasClusterSecret) {
    throw new TRPCError({
      code: 'UNAUTHORIZED',
      message: 'wrong cluster secret',
    });
  }
  return next();
});

/** Has a result that may be large wait until it may be encoded. */
const encodeInTurn = trpc.middleware(async ({ctx, next}) => {
  const result = await next();
  if (result.ok) await ctx.waitToEncode();
  return result;
});

function createControlRouter(service: ControlService) {
  return trpc.router({
    openSession: clusterProcedure
      .input(message.openSessionRequestSchema)
      .mutation(({input}) => service.openSession(input)),
    closeSession: clusterProcedure
      .input(message.closeSessionRequestSchema)
      .mutation(({input}) => service.closeSession(input)),
    sync: clusterProcedure
      .input(message.syncRequestSchema)
      .mutation(({input}) => service.sync(input)),
    claim: clusterProcedure
      .input(message.claimRequestSchema)
      .mutation(({input}) => service.claim(input)),
    settle: clusterProcedure
      .input(message.settleRequestSchema)
      .mutation(({input}) => service.settle(input)),
    // Operators send their own key instead of the cluster's secret.
    command: publicProcedure
      .input(message.commandRequestSchema)
      .mutation(({input}) => service.command(input)),
    read: publicProcedure
      .use(encodeInTurn)
      .input(message.readRequestSchema)
      .mutation(({input}) => service.read(input)),
    submit: clusterProcedure
      .input(message.submitRequestSchema)
      .mutation(({input}) => service.submit(input)),
    cancel: clusterProcedure
      .input(message.cancelRequestSchema)
      .mutation(({input}) => service.cancel(input)),
    jobs: clusterProcedure
      .use(encodeInTurn)
      .input(message.jobsRequestSchema)
      .mutation(({input}) => service.jobs(input)),
  });
}

function createPeerRouter(service: PeerService) {
  return trpc.router({
    deliver: clusterProcedure
      .input(message.deliverRequestSchema)
      .mutation(({input}) => service.deliver(input)),
    propose: clusterProcedure
      .input(message.proposeRequestSchema)
      .mutation(({input}) => service.propose(input)),
    readIndex: clusterProcedure
      .input(message.readIndexRequestSchema)
      .mutation(({input}) => service.readIndex(input)),
    report: clusterProcedure
      .input(message.reportRequestSchema)
      .mutation(({input}) => service.report(input)),
    gossip: clusterProcedure
      .input(message.gossipRequestSchema)
      .mutation(({input}) => service.gossip(input)),
    join: clusterProcedure
      .input(message.joinRequestSchema)
      .mutation(({input}) => service.join(input)),
  });
}

function createAppRouter(control: ControlService, peer: PeerService) {
  return trpc.router({
    control: createControlRouter(control),
    peer: createPeerRouter(peer),
  });
}

export type AppRouter = ReturnType<typeof createAppRouter>;

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/**
 * Creates an HTTP server, not yet listening, that serves both services. Clients
 * are not limited without an `intake`.
 */
export function createServiceServer(
  control: ControlService,
  peer: PeerService,
  clusterSecret: string,
  intake?: Intake,
): Server {
  const expectedDigest = sha256(clusterSecret);
  const router = createAppRouter(control, peer);

  function createContext(
    secret: unknown,
    waitToEncode = () => Promise.resolve(),
  ): Context {
    const digest = sha256(typeof secret === 'string' ? secret : '');
    const hasClusterSecret = timingSafeEqual(digest, expectedDigest);
    return {hasClusterSecret, waitToEncode};
  }

  if (!intake) {
    const handler = createHTTPHandler({
      router,
      allowBatching: false,
      maxBodySize: MAX_BODY_BYTES,
      createContext: ({req}) => createContext(req.headers[SECRET_HEADER]),
    });
    return createServer(handler);
  }
  // The size of an answer is known only once it is encoded, so that large ones
  // are encoded one at a time.
  const encoding = createLock();
  // The guard answers requests without a host.
  const server = createServer({requireHostHeader: false});
  guardHttpServer(server, {
    intake,
    handle: serve,
    refuse: exchange => refuseRequest(exchange, 503, 'too much is in flight'),
    refuseMalformed: (exchange, status) =>
      refuseRequest(exchange, status, describeMalformed(status)),
    answerClientError(error, socket) {
      const {status, message} = describeClientError(error);
      const body = {error: message, verdict: 'not-run'};
      sendClientError(socket, status, {}, JSON.stringify(body));
    },
  });
  return server;

  async function serve(exchange: Exchange): Promise<void> {
    const {response} = exchange;
    const body = await exchange.readBody(MAX_BODY_BYTES);
    if (body.type === 'aborted') {
      response.destroy();
    } else if (body.type === 'complete') {
      await answer(exchange, body.text);
    } else if (body.reason === 'body-too-large') {
      refuseRequest(exchange, 413, 'the body is too large');
    } else if (body.reason === 'body-slow') {
      refuseRequest(exchange, 503, 'the body did not arrive in time');
    } else {
      refuseRequest(exchange, 503, 'too much is in flight');
    }
  }

  /** Answers in one piece, so that the limits of clients count the answer. */
  async function answer(exchange: Exchange, text: string): Promise<void> {
    const {request, response} = exchange;
    let isEncoding = false;
    async function waitToEncode(): Promise<void> {
      await encoding.acquire();
      isEncoding = true;
      if (request.socket.destroyed) throw new Error('the client has left');
    }
    try {
      const answered = await fetchRequestHandler({
        endpoint: '',
        req: toFetchRequest(request, text),
        router,
        // The calls of a batch would wait for each other to encode.
        allowBatching: false,
        createContext: () =>
          createContext(request.headers[SECRET_HEADER], waitToEncode),
      });
      const headers = Object.fromEntries(answered.headers);
      const encoded = Buffer.from(await answered.arrayBuffer());
      exchange.answer(answered.status, headers, encoded);
    } catch {
      // Whether the request has run is not known.
      response.destroy();
    } finally {
      if (isEncoding) encoding.release();
    }
  }
}

function toFetchRequest(
  {method = 'GET', url = '/', headers}: IncomingMessage,
  body: string,
): Request {
  const hasBody = method !== 'GET' && method !== 'HEAD';
  return new Request(new URL(url, 'http://localhost'), {
    method,
    headers: {'content-type': headers['content-type'] ?? ''},
    body: hasBody ? body : undefined,
  });
}

/** A lock that is given to those who wait for it in order. */
function createLock() {
  const waiting: (() => void)[] = [];
  let isHeld = false;

  return {
    async acquire(): Promise<void> {
      if (!isHeld) isHeld = true;
      else await new Promise<void>(resolve => waiting.push(resolve));
    },
    release(): void {
      const next = waiting.shift();
      if (next) next();
      else isHeld = false;
    },
  };
}

function refuseRequest(
  exchange: Exchange,
  status: number,
  message: string,
): void {
  const text = JSON.stringify({error: message, verdict: 'not-run'});
  exchange.refuse(status, {'content-type': 'application/json'}, text);
}

function sha256(secret: string): Buffer {
  return createHash('sha256').update(secret).digest();
}
