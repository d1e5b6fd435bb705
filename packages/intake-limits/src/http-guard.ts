/** Applies the limits to the connections and requests of an HTTP server. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {gatherBody, type BodyOutcome} from './body.js';
import type {Holder} from './budget.js';
import type {Intake} from './intake.js';
import type {RefusalReason} from './refusals.js';

/**
 * What the runtime and the handler keep for a request in flight, beside its
 * headers and body.
 */
const REQUEST_BYTES = 16 * 1024;
/**
 * Requests of one connection that are handled side by side. Those behind them
 * wait, and the connection is not read meanwhile.
 */
const MAX_REQUESTS_AHEAD = 16;
/**
 * Requests that are parsed in one turn of the event loop before reading pauses.
 * The runtime keeps all requests of a closed connection until the end of the
 * turn, a thousand of one read.
 */
const MAX_REQUESTS_PER_TURN = 1000;
/** A smaller answer is covered by `REQUEST_BYTES`. */
const LARGE_ANSWER_BYTES = 4096;
/** A client that sends nothing, or reads nothing, for this long is refused. */
const STALL_TIMEOUT_MS = 15_000;
/** Fewer bytes than this in `STALL_TIMEOUT_MS` count as none. */
const PROGRESS_BYTES = 1024;
const BODY_TIMEOUT_MS = 60_000;
/**
 * Time in which the rest of a refused body is discarded. A connection that is
 * closed with unread input is reset, and its client may lose the refusal.
 */
const LINGER_MS = 1000;

/** A request of a guarded server. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /**
   * Reads the body within the limits. May be called once. After a refusal the
   * handler answers with `refuse`.
   */
  readBody(maxBytes: number): Promise<BodyOutcome>;
  /**
   * Watches a body that the handler reads itself. `onRefuse` is called if the
   * client is to be given up, because it stopped and there is no room for
   * others.
   */
  watchBody(onRefuse: () => void): BodyWatch;
  /**
   * Sends an answer. Closes the connection instead if there is no room for it,
   * so that the client knows no outcome.
   */
  answer(
    status: number,
    headers: Readonly<Record<string, string | number>>,
    text: string,
  ): void;
  /**
   * Sends the answer to a request that is not handled, reads what its client
   * still sends for a moment and closes the connection.
   */
  refuse(
    status: number,
    headers: Readonly<Record<string, string | number>>,
    text: string,
  ): void;
}

export interface BodyWatch {
  /** To be called for each part of the body with its size. */
  onProgress(bytes: number): void;
  /** To be called once the body is not read any more. */
  end(): void;
}

export interface HttpGuardOptions {
  readonly intake: Intake;
  /** Handles a request; must not throw. */
  handle(exchange: Exchange): void;
  /** Answers a request for which there is no room; it was not handled. */
  refuse(exchange: Exchange): void;
  /**
   * Answers input that is no request, and closes the connection. Called only if
   * no request of the connection waits for its answer: its client would take
   * this answer for that of the earlier request.
   */
  answerClientError(error: ClientError, socket: Socket): void;
}

export interface ClientError extends Error {
  readonly code?: string;
}

const exchanges = new WeakMap<IncomingMessage, Exchange>();

/** Returns the exchange of a request, if its server is guarded. */
export function getExchange(
  request: IncomingMessage | undefined,
): Exchange | undefined {
  return request && exchanges.get(request);
}

/** State of one connection. */
interface Connection extends Holder {
  readonly socket: Socket;
  /** Number of requests that are handled. */
  active: number;
  /** Requests that wait for their turn. */
  readonly queue: (readonly [IncomingMessage, ServerResponse])[];
  /** Body that is being read. */
  body: PendingBody | undefined;
  /** Requests that are handled or answered, in the order of their answers. */
  readonly turns: Turn[];
  /** Monotonic time since which the first of `turns` waits for the client. */
  headSinceMs: number;
  /** Whether the connection is closed once its refusal could be read. */
  isRefused: boolean;
  isClosed: boolean;
}

interface Turn {
  /** What the request reserved beside its body. */
  readonly bytes: number;
  /** Whether the answer is complete, so that only the client delays it. */
  isAnswered: boolean;
}

interface PendingBody {
  readonly startMs: number;
  progressMs: number;
  /** Bytes since `progressMs`. */
  recentBytes: number;
  /** Gives up the body. */
  refuse(reason: 'body-slow' | 'budget'): void;
}

/** Handles the requests of a server that is not listening yet. */
export function guardHttpServer(
  server: Server,
  {intake, handle, refuse, answerClientError}: HttpGuardOptions,
): void {
  const {budget} = intake;
  const connections = new Map<Socket, Connection>();

  server.on('connection', socket => {
    const connection = createConnection(socket);
    if (!intake.connections.add(socket, connection.waitsSinceMs)) return;
    connections.set(socket, connection);
    socket.once('close', () => {
      connections.delete(socket);
      connection.isClosed = true;
      connection.queue.length = 0;
      budget.release(connection, connection.heldBytes);
    });
  });

  server.on('clientError', (error: ClientError, socket) => {
    const connection = connections.get(socket as Socket);
    const isAwaited = (connection?.turns.length ?? 0) > 0;
    if (isAwaited || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
    } else {
      answerClientError(error, socket as Socket);
    }
  });

  function createConnection(socket: Socket): Connection {
    const connection: Connection = {
      socket,
      heldBytes: 0,
      active: 0,
      queue: [],
      body: undefined,
      turns: [],
      headSinceMs: 0,
      isRefused: false,
      isClosed: false,
      waitsSinceMs() {
        const {body, turns, headSinceMs} = connection;
        return turns[0]?.isAnswered ? headSinceMs : body?.progressMs;
      },
      evict() {
        const {body} = connection;
        if (body && connection.active === 1) {
          body.refuse('budget');
        } else {
          close(connection, body ? 'budget' : 'answer-unread');
        }
      },
    };
    return connection;
  }

  /** Closes a connection at once; the clients of its requests get no answer. */
  function close(connection: Connection, reason: RefusalReason): void {
    if (connection.isClosed) return;
    connection.isClosed = true;
    connection.queue.length = 0;
    budget.release(connection, connection.heldBytes);
    intake.refused(reason);
    connection.socket.destroy();
  }

  let requestsOfTurn = 0;
  const heldBack = new Set<Connection>();

  /** Pauses reading for the rest of the turn after very many requests. */
  function countRequest(): void {
    requestsOfTurn += 1;
    if (requestsOfTurn === 1) setImmediate(() => (requestsOfTurn = 0));
    if (requestsOfTurn !== MAX_REQUESTS_PER_TURN) return;
    for (const connection of connections.values()) {
      if (connection.queue.length > 0 || connection.isClosed) continue;
      connection.socket.pause();
      heldBack.add(connection);
    }
    // Closed connections are released after the immediates of this turn.
    setImmediate(() => setImmediate(releaseHeldBack));
  }

  function releaseHeldBack(): void {
    for (const {socket, queue, isClosed} of heldBack) {
      if (!isClosed && queue.length === 0) socket.resume();
    }
    heldBack.clear();
  }

  server.on('request', (request, response) => {
    countRequest();
    const connection = connections.get(request.socket);
    // The rest of a read is still parsed after the connection was closed.
    if (!connection || connection.isClosed || connection.isRefused) return;
    if (!budget.reserve(connection, getRequestBytes(request))) {
      if (connection.active > 0) return close(connection, 'budget');
      intake.refused('budget');
      const turn = {bytes: 0, isAnswered: false};
      connection.turns.push(turn);
      refuse(createExchange(connection, request, response, turn));
      return;
    }
    if (connection.active >= MAX_REQUESTS_AHEAD) {
      connection.queue.push([request, response]);
      connection.socket.pause();
      return;
    }
    start(connection, request, response);
  });

  function start(
    connection: Connection,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    connection.active += 1;
    intake.connections.markUsed(connection.socket);
    const turn = {bytes: getRequestBytes(request), isAnswered: false};
    connection.turns.push(turn);
    const exchange = createExchange(connection, request, response, turn);
    exchanges.set(request, exchange);
    response.once('close', () => {
      if (connection.isClosed) return;
      connection.active -= 1;
      connection.turns.splice(connection.turns.indexOf(turn), 1);
      connection.headSinceMs = performance.now();
      budget.release(connection, turn.bytes);
      startNext(connection);
    });
    handle(exchange);
  }

  function startNext(connection: Connection): void {
    const next = connection.queue.shift();
    if (next) start(connection, ...next);
    if (connection.isClosed) return;
    if (connection.queue.length === 0) connection.socket.resume();
    if (connection.active === 0) {
      intake.connections.markUnused(connection.socket);
    }
  }

  function createExchange(
    connection: Connection,
    request: IncomingMessage,
    response: ServerResponse,
    turn: Turn,
  ): Exchange {
    /** Reserved for the body and a large answer of this request. */
    let reservedBytes = 0;

    function reserve(bytes: number): boolean {
      if (connection.isClosed || !budget.reserve(connection, bytes)) {
        return false;
      }
      if (reservedBytes === 0) response.once('close', releaseAll);
      reservedBytes += bytes;
      return true;
    }

    function release(bytes: number): void {
      reservedBytes -= bytes;
      if (!connection.isClosed) budget.release(connection, bytes);
    }

    function releaseAll(): void {
      release(reservedBytes);
    }

    function markAnswered(): void {
      turn.isAnswered = true;
      if (connection.turns[0] === turn) {
        connection.headSinceMs = performance.now();
      }
    }

    function readBody(maxBytes: number): Promise<BodyOutcome> {
      return new Promise(resolve => {
        const pending = createPendingBody(reason => gathering.refuse(reason));
        connection.body = pending;
        const gathering = gatherBody(request, {
          maxBytes,
          announcedBytes: getAnnouncedBytes(request),
          reserve,
          release,
          onProgress: bytes => addProgress(pending, bytes),
          onOutcome(outcome) {
            if (connection.body === pending) connection.body = undefined;
            if (outcome.type === 'refused') intake.refused(outcome.reason);
            resolve(outcome);
          },
        });
      });
    }

    function watchBody(onRefuse: () => void): BodyWatch {
      const pending = createPendingBody(reason => {
        if (connection.body !== pending) return;
        connection.body = undefined;
        intake.refused(reason);
        onRefuse();
      });
      connection.body = pending;
      return {
        onProgress: bytes => addProgress(pending, bytes),
        end() {
          if (connection.body === pending) connection.body = undefined;
        },
      };
    }

    return {
      request,
      response,
      readBody,
      watchBody,
      answer(status, headers, text) {
        if (connection.isClosed || response.destroyed) return;
        const bytes = Buffer.byteLength(text);
        if (bytes > LARGE_ANSWER_BYTES && !reserve(bytes)) {
          return close(connection, 'budget');
        }
        response.writeHead(status, {'content-length': bytes, ...headers});
        response.end(text);
        markAnswered();
      },
      refuse(status, headers, text) {
        if (connection.isClosed || response.destroyed) return;
        connection.isRefused = true;
        markAnswered();
        response.writeHead(status, {
          'content-length': Buffer.byteLength(text),
          ...headers,
          connection: 'close',
        });
        if (request.complete) {
          response.end(text);
          return;
        }
        response.write(text);
        const end = () => {
          clearTimeout(timer);
          response.end();
        };
        const timer = setTimeout(() => {
          response.end();
          connection.socket.destroy();
        }, LINGER_MS);
        request.once('end', end);
        request.once('close', end);
        request.resume();
      },
    };
  }

  function checkTime(nowMs: number): void {
    for (const connection of connections.values()) {
      const {body, turns, headSinceMs} = connection;
      if (turns[0]?.isAnswered) {
        if (nowMs - headSinceMs > STALL_TIMEOUT_MS) {
          close(connection, 'answer-unread');
        }
      } else if (
        body &&
        (nowMs - body.progressMs > STALL_TIMEOUT_MS ||
          nowMs - body.startMs > BODY_TIMEOUT_MS)
      ) {
        body.refuse('body-slow');
      }
    }
  }

  const removeCheck = intake.addCheck(checkTime);
  server.once('close', removeCheck);
}

function createPendingBody(refuse: PendingBody['refuse']): PendingBody {
  const nowMs = performance.now();
  return {startMs: nowMs, progressMs: nowMs, recentBytes: 0, refuse};
}

function addProgress(body: PendingBody, bytes: number): void {
  body.recentBytes += bytes;
  if (body.recentBytes < PROGRESS_BYTES) return;
  body.recentBytes = 0;
  body.progressMs = performance.now();
}

/** Header texts are kept as received and by name. */
function getRequestBytes({rawHeaders}: IncomingMessage): number {
  let bytes = REQUEST_BYTES;
  for (const text of rawHeaders) bytes += 2 * text.length;
  return bytes;
}

function getAnnouncedBytes({headers}: IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}
