/** The task that owns the HTTP server for calls. */
import {
  describeMalformed,
  guardHttpServer,
  type ClientError,
  type Intake,
} from '@lentildrift/intake-limits';
import {refuse} from '@lentildrift/model';
import {
  startInputTimeout,
  type InputTimeout,
  type Reply,
  type TaskSystem,
} from '@lentildrift/task';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {answerClientError, refuseExchange} from './answer.js';
import {refuseForRoom} from './body.js';
import {MAX_HEADER_BYTES} from './header.js';

const KEEP_ALIVE_MS = 5000;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const ASK_TIMEOUT_MS = 5000;
/**
 * `node:http` does not count a connection without any request as idle. While
 * the server drains, all connections are closed once no call has been in flight
 * for this long.
 */
const IDLE_CLOSE_DELAY_MS = 500;

type ListenerMessage =
  | {type: 'listen'; host: string; port: number; reply: Reply<number>}
  /** Stops listening; replies when all connections are closed. */
  | {type: 'drain'; reply: Reply<void>};

export interface Listener {
  /** Resolves with the port; rejects if the address cannot be bound. */
  listen(host: string, port: number): Promise<number>;
  /**
   * Stops listening and waits for the calls in flight. Calls still open after
   * `limitMs` are interrupted. Resolves with the number of interrupted calls.
   */
  drain(limitMs: number): Promise<number>;
}

/**
 * Creates a listener; clients are not limited without an `intake`. The promise
 * that `handle` returns settles once nothing of the request is in use; it must
 * not reject.
 */
export function createListener(
  tasks: TaskSystem,
  handle: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => Promise<void> | void,
  intake?: Intake,
): Listener {
  let inFlight = 0;
  let draining = false;
  let idleTimeout: InputTimeout | undefined;

  /** Calls in flight of each open connection. */
  const callsBySocket = new Map<Socket, number>();

  const addCalls = (socket: Socket, added: number) => {
    const calls = callsBySocket.get(socket);
    if (calls === undefined) return;
    callsBySocket.set(socket, calls + added);
    inFlight += added;
  };

  const onRequest = (request: IncomingMessage, response: ServerResponse) => {
    const {socket} = request;
    addCalls(socket, 1);
    idleTimeout?.cancel();
    if (draining) response.setHeader('connection', 'close');
    response.once('close', () => {
      addCalls(socket, -1);
      // `node:http` marks the connection as idle only after this event.
      if (draining) setImmediate(closeIdleConnections);
    });
    return handle(request, response);
  };

  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    // The guard answers requests without a host.
    requireHostHeader: !intake,
    insecureHTTPParser: false,
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
  });
  // Of the responses of a closed connection, only the first emits `close`.
  server.on('connection', socket => {
    callsBySocket.set(socket, 0);
    socket.once('close', () => {
      inFlight -= callsBySocket.get(socket) ?? 0;
      callsBySocket.delete(socket);
      if (draining) setImmediate(closeIdleConnections);
    });
  });
  if (intake) {
    guardHttpServer(server, {
      intake,
      handle: ({request, response}) => onRequest(request, response),
      refuse: exchange => refuseExchange(exchange, refuseForRoom()),
      refuseMalformed: (exchange, status) =>
        refuseExchange(
          exchange,
          refuse('malformed', describeMalformed(status)),
        ),
      answerClientError,
    });
  } else {
    server.on('request', onRequest);
    server.on('clientError', (error: ClientError, socket) => {
      if (!socket.writable || error.code === 'ECONNRESET') socket.destroy();
      else answerClientError(error, socket as Socket);
    });
  }

  const task = tasks.spawn<undefined, ListenerMessage>({
    name: 'listener',
    initial: undefined,
    handle(state, message) {
      if (message.type === 'listen') open(message);
      else close(message.reply);
      return state;
    },
  });

  function open(message: ListenerMessage & {type: 'listen'}): void {
    const {host, port, reply} = message;
    server.once('error', error => reply.reject(error));
    server.listen(port, host, () =>
      reply.resolve((server.address() as AddressInfo).port),
    );
  }

  function close(reply: Reply<void>): void {
    draining = true;
    server.close(() => reply.resolve());
    closeIdleConnections();
  }

  function closeIdleConnections(): void {
    server.closeIdleConnections();
    idleTimeout?.cancel();
    if (inFlight > 0) return;
    idleTimeout = startInputTimeout(
      () => server.closeAllConnections(),
      IDLE_CLOSE_DELAY_MS,
    );
  }

  return {
    listen: (host, port) =>
      task.ask<number>(
        reply => ({type: 'listen', host, port, reply}),
        ASK_TIMEOUT_MS,
      ),
    async drain(limitMs) {
      const closed = task.ask<void>(reply => ({type: 'drain', reply}), limitMs);
      await closed.catch(() => undefined);
      idleTimeout?.cancel();
      const interrupted = inFlight;
      server.closeAllConnections();
      await task.stop();
      return interrupted;
    },
  };
}
