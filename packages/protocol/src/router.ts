/** The `trpc` encoding of the services: router and server side. */
import {createServer, type Server} from 'node:http';
import {timingSafeEqual, createHash} from 'node:crypto';
import {initTRPC, TRPCError} from '@trpc/server';
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
  /** Whether the caller showed the cluster's secret. */
  readonly member: boolean;
}

const trpc = initTRPC.context<Context>().create({
  errorFormatter: ({shape, error}) => ({
    ...shape,
    data: {...shape.data, service: serviceFields(error)},
  }),
});

function serviceFields(error: TRPCError) {
  const {cause} = error;
  if (!(cause instanceof ServiceError)) return undefined;
  return {code: cause.code, verdict: cause.verdict, message: cause.message};
}

/** Wraps errors of a service, so that their fields reach the client. */
const open = trpc.procedure.use(async ({next}) => {
  const result = await next();
  if (result.ok || !(result.error.cause instanceof ServiceError)) return result;
  const {cause} = result.error;
  throw new TRPCError({
    code: 'PRECONDITION_FAILED',
    message: cause.message,
    cause,
  });
});

const member = open.use(({ctx, next}) => {
  if (!ctx.member) {
    throw new TRPCError({
      code: 'UNAUTHORIZED',
      message: 'wrong cluster secret',
    });
  }
  return next();
});

function controlRouter(service: ControlService) {
  return trpc.router({
    openSession: member
      .input(message.openSessionRequestSchema)
      .mutation(({input}) => service.openSession(input)),
    closeSession: member
      .input(message.closeSessionRequestSchema)
      .mutation(({input}) => service.closeSession(input)),
    sync: member
      .input(message.syncRequestSchema)
      .mutation(({input}) => service.sync(input)),
    claim: member
      .input(message.claimRequestSchema)
      .mutation(({input}) => service.claim(input)),
    settle: member
      .input(message.settleRequestSchema)
      .mutation(({input}) => service.settle(input)),
    // Operators show a key of their own instead of the cluster's secret.
    command: open
      .input(message.commandRequestSchema)
      .mutation(({input}) => service.command(input)),
    read: open
      .input(message.readRequestSchema)
      .mutation(({input}) => service.read(input)),
    submit: member
      .input(message.submitRequestSchema)
      .mutation(({input}) => service.submit(input)),
    cancel: member
      .input(message.cancelRequestSchema)
      .mutation(({input}) => service.cancel(input)),
    jobs: member
      .input(message.jobsRequestSchema)
      .mutation(({input}) => service.jobs(input)),
  });
}

function peerRouter(service: PeerService) {
  return trpc.router({
    deliver: member
      .input(message.deliverRequestSchema)
      .mutation(({input}) => service.deliver(input)),
    propose: member
      .input(message.proposeRequestSchema)
      .mutation(({input}) => service.propose(input)),
    readIndex: member
      .input(message.readIndexRequestSchema)
      .mutation(({input}) => service.readIndex(input)),
    report: member
      .input(message.reportRequestSchema)
      .mutation(({input}) => service.report(input)),
    gossip: member
      .input(message.gossipRequestSchema)
      .mutation(({input}) => service.gossip(input)),
    join: member
      .input(message.joinRequestSchema)
      .mutation(({input}) => service.join(input)),
  });
}

function appRouter(control: ControlService, peer: PeerService) {
  return trpc.router({
    control: controlRouter(control),
    peer: peerRouter(peer),
  });
}

export type AppRouter = ReturnType<typeof appRouter>;

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** An HTTP server, not yet listening, that serves both services. */
export function createServiceServer(
  control: ControlService,
  peer: PeerService,
  clusterSecret: string,
): Server {
  const expected = digest(clusterSecret);
  const handler = createHTTPHandler({
    router: appRouter(control, peer),
    maxBodySize: MAX_BODY_BYTES,
    createContext: ({req}) => {
      const shown = req.headers[SECRET_HEADER];
      const text = typeof shown === 'string' ? shown : '';
      return {member: timingSafeEqual(digest(text), expected)};
    },
  });
  return createServer(handler);
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
