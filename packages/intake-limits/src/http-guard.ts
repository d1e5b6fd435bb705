/** Applies the limits to the connections and requests of an HTTP server. */
import {afterInput, startInputTimeout} from '@lentildrift/task';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {gatherBody, type BodyOutcome} from './body.js';
import type {Holder} from './budget.js';
import type {Intake} from './intake.js';
import {countJsonMarks} from './json-marks.js';
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
/** Two reads of 64 KiB bring fewer requests than this. */
const MAX_QUEUED_REQUESTS = 8192;
/** The runtime keeps no more headers of a request. */
const MAX_HEADERS = 100;
/** What the runtime keeps for a header text, beside its characters. */
const HEADER_TEXT_BYTES = 64;
/** The rest of a request's headers has to arrive in this time. */
const HEADERS_TIMEOUT_MS = 3000;
/** Larger answers are written in parts of this size, as the client reads. */
const ANSWER_PART_BYTES = 64 * 1024;
/** A smaller answer is covered by `REQUEST_BYTES`. */
const LARGE_ANSWER_BYTES = 4096;
/** A client that sends nothing, or reads nothing, for this long is refused. */
const STALL_TIMEOUT_MS = 15_000;
/** Fewer bytes than this in `STALL_TIMEOUT_MS` count as none. */
const PROGRESS_BYTES = 1024;
const BODY_TIMEOUT_MS = 60_000;
/** A smaller body is covered by `REQUEST_BYTES`, with its parsed value. */
const SMALL_BODY_BYTES = 1024;
/** What a value of a parsed JSON text takes, with its validated copy. */
const JSON_VALUE_BYTES = 256;
/**
 * Bytes of a body for each of its JSON values, at least. Bodies of clients
 * inside the limits have more than 16.
 */
const MIN_BYTES_PER_JSON_VALUE = 8;
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
    body: string | Buffer,
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
  /**
   * Handles a request; must not throw or reject. What the request reserved is
   * kept until the promise settles, also if the client has left.
   */
  handle(exchange: Exchange): Promise<void> | void;
  /** Answers a request for which there is no room; it was not handled. */
  refuse(exchange: Exchange): void;
  /** Answers a request that the protocol does not allow; it was not handled. */
  refuseMalformed(exchange: Exchange, status: MalformedStatus): void;
  /**
   * Answers input that is no request, and closes the connection. Called only if
   * no request of the connection waits for its answer: its client would take
   * this answer for that of the earlier request.
   */
  answerClientError(error: ClientError, socket: Socket): void;
}

/** No host is named, or an expectation is not supported. */
export type MalformedStatus = 400 | 417;

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

/** State of one connection; its times are on the clock of the intake. */
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
  /** Time since which the first of `turns` waits for the client. */
  headSinceMs: number;
  /** Time at which the connection was last idle after a request. */
  idleSinceMs: number;
  /** Bytes that had been received when the connection was last idle. */
  idleBytesRead: number;
  /** A request that was answered before its body was complete. */
  uploading: IncomingMessage | undefined;
  /** Time at which incomplete headers were first found. */
  headersSinceMs: number | undefined;
  /** Whether the connection is closed once its refusal could be read. */
  isRefused: boolean;
  isClosed: boolean;
}

interface Turn {
  /** What the request holds of the budget. */
  bytes: number;
  /** Whether the handler may still use the body of the request. */
  isRunning: boolean;
  isClosed: boolean;
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
  /** The connection is closed. */
  abort(): void;
}

/** Handles the requests of a server that is not listening yet. */
export function guardHttpServer(
  server: Server,
  {
    intake,
    handle,
    refuse,
    refuseMalformed,
    answerClientError,
  }: HttpGuardOptions,
): void {
  const {budget, nowMs: getNowMs} = intake;
  const connections = new Map<Socket, Connection>();

  server.on('connection', socket => {
    const connection = createConnection(socket);
    if (!intake.connections.add(socket, connection.waitsSinceMs)) return;
    connections.set(socket, connection);
    // Reading the body of any request of the connection resumes the socket.
    socket.on('resume', () => {
      if (connection.queue.length > 0) socket.pause();
    });
    socket.once('close', () => {
      connections.delete(socket);
      abandon(connection);
    });
  });

  server.on('clientError', (error: ClientError, socket: Socket) => {
    if (error.code !== 'ERR_HTTP_REQUEST_TIMEOUT') {
      return handleClientError(error, socket);
    }
    // The runtime's own checks may run before waiting input is read.
    const {bytesRead} = socket;
    afterInput(() => {
      if (socket.bytesRead !== bytesRead || isWatched(socket)) return;
      handleClientError(error, socket);
    });
  });

  // Replaces the runtime's end of idle connections, which counts a freeze and
  // runs before waiting input is read.
  server.on('timeout', socket => afterInput(() => closeIfIdle(socket)));

  function handleClientError(error: ClientError, socket: Socket): void {
    const isAwaited = (connections.get(socket)?.turns.length ?? 0) > 0;
    if (isAwaited || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
    } else {
      answerClientError(error, socket);
    }
  }

  /** Whether the limits in time of this module apply to what is arriving. */
  function isWatched(socket: Socket): boolean {
    const connection = connections.get(socket);
    if (!connection) return false;
    const {body, turns, uploading, idleBytesRead} = connection;
    if (body) return true;
    return turns.length === 0 && !uploading && socket.bytesRead > idleBytesRead;
  }

  function closeIfIdle(socket: Socket): void {
    const connection = connections.get(socket);
    if (!connection) return void socket.destroy();
    const {active, idleBytesRead, idleSinceMs} = connection;
    if (active > 0 || socket.bytesRead !== idleBytesRead) return;
    const leftMs = server.keepAliveTimeout - (getNowMs() - idleSinceMs);
    if (leftMs > 0) socket.setTimeout(Math.ceil(leftMs));
    else socket.destroy();
  }

  function createConnection(socket: Socket): Connection {
    const connection: Connection = {
      socket,
      heldBytes: 0,
      active: 0,
      queue: [],
      body: undefined,
      turns: [],
      headSinceMs: 0,
      idleSinceMs: 0,
      idleBytesRead: 0,
      uploading: undefined,
      headersSinceMs: undefined,
      isRefused: false,
      isClosed: false,
      waitsSinceMs() {
        const {body, turns, headSinceMs, isClosed} = connection;
        if (isClosed) return undefined;
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

  /**
   * Releases what a closed connection held, except what its running handlers
   * use.
   */
  function abandon(connection: Connection): void {
    if (connection.isClosed) return;
    connection.isClosed = true;
    const {queue, turns, body} = connection;
    for (const [request] of queue.splice(0)) {
      budget.release(connection, getRequestBytes(request));
    }
    body?.abort();
    for (const turn of turns) closeTurn(connection, turn);
  }

  function closeTurn(connection: Connection, turn: Turn): void {
    turn.isClosed = true;
    releaseTurn(connection, turn);
  }

  function releaseTurn(connection: Connection, turn: Turn): void {
    if (turn.isRunning || !turn.isClosed) return;
    budget.release(connection, turn.bytes);
    turn.bytes = 0;
  }

  /** Closes a connection at once; the clients of its requests get no answer. */
  function close(connection: Connection, reason: RefusalReason): void {
    if (connection.isClosed) return;
    abandon(connection);
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

  server.maxHeadersCount = MAX_HEADERS;
  server.on('request', receive);
  // The runtime answers these itself otherwise, and its answers are not counted.
  server.on('checkContinue', receive);
  server.on('checkExpectation', receive);

  function receive(request: IncomingMessage, response: ServerResponse): void {
    countRequest();
    const connection = connections.get(request.socket);
    // The rest of a read is still parsed after the connection was closed.
    if (!connection || connection.isClosed || connection.isRefused) return;
    if (!budget.reserve(connection, getRequestBytes(request))) {
      if (connection.active > 0) return close(connection, 'budget');
      intake.refused('budget');
      const turn = createTurn(0);
      connection.turns.push(turn);
      refuse(createExchange(connection, request, response, turn));
      return;
    }
    if (connection.active >= MAX_REQUESTS_AHEAD) {
      if (connection.queue.length >= MAX_QUEUED_REQUESTS) {
        return close(connection, 'budget');
      }
      connection.queue.push([request, response]);
      connection.socket.pause();
      return;
    }
    start(connection, request, response);
  }

  function start(
    connection: Connection,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    connection.active += 1;
    connection.headersSinceMs = undefined;
    connection.uploading = undefined;
    intake.connections.markUsed(connection.socket);
    const turn = createTurn(getRequestBytes(request));
    connection.turns.push(turn);
    const exchange = createExchange(connection, request, response, turn);
    exchanges.set(request, exchange);
    response.once('close', () => {
      if (connection.isClosed) return;
      connection.active -= 1;
      connection.turns.splice(connection.turns.indexOf(turn), 1);
      connection.headSinceMs = getNowMs();
      closeTurn(connection, turn);
      if (!request.complete) connection.uploading = request;
      startNext(connection);
    });
    const fault = findFault(request);
    if (fault !== undefined) return refuseMalformed(exchange, fault);
    if (request.headers.expect !== undefined) response.writeContinue();
    const handled = handle(exchange);
    if (!handled) return;
    turn.isRunning = true;
    void handled.finally(() => {
      turn.isRunning = false;
      releaseTurn(connection, turn);
    });
  }

  function startNext(connection: Connection): void {
    const next = connection.queue.shift();
    if (next) start(connection, ...next);
    if (connection.isClosed) return;
    if (connection.queue.length === 0) connection.socket.resume();
    if (connection.active === 0) {
      connection.idleBytesRead = connection.socket.bytesRead;
      connection.idleSinceMs = getNowMs();
      intake.connections.markUnused(connection.socket);
    }
  }

  function createExchange(
    connection: Connection,
    request: IncomingMessage,
    response: ServerResponse,
    turn: Turn,
  ): Exchange {
    function reserve(bytes: number): boolean {
      if (connection.isClosed || !budget.reserve(connection, bytes)) {
        return false;
      }
      turn.bytes += bytes;
      return true;
    }

    function release(bytes: number): void {
      const released = Math.min(bytes, turn.bytes);
      turn.bytes -= released;
      budget.release(connection, released);
    }

    /** Reserves what the parsed body takes, or refuses the body. */
    function admitParsing(body: BodyOutcome, maxBytes: number): BodyOutcome {
      if (body.type !== 'complete') return body;
      if (body.text.length <= SMALL_BODY_BYTES) return body;
      const maxMarks = Math.floor(maxBytes / MIN_BYTES_PER_JSON_VALUE);
      const marks = countJsonMarks(body.text, maxMarks);
      if (marks > maxMarks) return {type: 'refused', reason: 'body-too-large'};
      const bytes = Math.min(
        marks * JSON_VALUE_BYTES,
        budget.largestValueBytes(),
      );
      return reserve(bytes) ? body : {type: 'refused', reason: 'budget'};
    }

    function markAnswered(): void {
      turn.isAnswered = true;
      if (connection.turns[0] === turn) {
        connection.headSinceMs = getNowMs();
      }
    }

    /** Writes a large answer, and records that the client goes on reading. */
    function sendParts(bytes: Buffer): void {
      let sentBytes = 0;
      const sendMore = () => {
        if (response.destroyed) return;
        if (connection.turns[0] === turn) {
          connection.headSinceMs = getNowMs();
        }
        const part = bytes.subarray(sentBytes, sentBytes + ANSWER_PART_BYTES);
        sentBytes += part.length;
        if (sentBytes >= bytes.length) {
          response.end(part);
          return;
        }
        response.write(part, error => {
          if (!error) sendMore();
        });
      };
      sendMore();
    }

    function readBody(maxBytes: number): Promise<BodyOutcome> {
      return new Promise(resolve => {
        const pending = createPendingBody(
          getNowMs(),
          reason => gathering.refuse(reason),
          () => gathering.abort(),
        );
        connection.body = pending;
        const gathering = gatherBody(request, {
          maxBytes,
          announcedBytes: getAnnouncedBytes(request),
          reserve,
          release,
          onProgress: bytes => addProgress(pending, bytes, getNowMs()),
          onOutcome(gathered) {
            if (connection.body === pending) connection.body = undefined;
            const outcome = admitParsing(gathered, maxBytes);
            if (outcome.type === 'refused') intake.refused(outcome.reason);
            resolve(outcome);
          },
        });
      });
    }

    function watchBody(onRefuse: () => void): BodyWatch {
      const pending = createPendingBody(getNowMs(), reason => {
        if (connection.body !== pending) return;
        connection.body = undefined;
        intake.refused(reason);
        onRefuse();
      });
      connection.body = pending;
      return {
        onProgress: bytes => addProgress(pending, bytes, getNowMs()),
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
      answer(status, headers, body) {
        if (connection.isClosed || response.destroyed) return;
        const bytes = Buffer.byteLength(body);
        if (bytes > LARGE_ANSWER_BYTES && !reserve(bytes)) {
          return close(connection, 'budget');
        }
        response.writeHead(status, {'content-length': bytes, ...headers});
        markAnswered();
        if (bytes <= ANSWER_PART_BYTES) response.end(body);
        else sendParts(typeof body === 'string' ? Buffer.from(body) : body);
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
          linger.cancel();
          response.end();
        };
        const linger = startInputTimeout(() => {
          response.end();
          connection.socket.destroy();
        }, LINGER_MS);
        request.once('end', end);
        request.once('close', end);
        request.resume();
      },
    };
  }

  /** `node:http` looks for late headers every 30 s only. */
  function checkHeaders(connection: Connection, nowMs: number): void {
    const {socket, turns, uploading, idleBytesRead} = connection;
    // The rest of a body may arrive after an early answer.
    if (uploading && turns.length === 0) {
      connection.idleBytesRead = socket.bytesRead;
      if (uploading.complete) connection.uploading = undefined;
      return;
    }
    if (turns.length > 0 || socket.bytesRead === idleBytesRead) return;
    connection.headersSinceMs ??= nowMs;
    if (nowMs - connection.headersSinceMs <= HEADERS_TIMEOUT_MS) return;
    intake.refused('headers-slow');
    abandon(connection);
    if (!socket.writable) return void socket.destroy();
    const error: ClientError = Object.assign(new Error('headers are late'), {
      code: 'ERR_HTTP_REQUEST_TIMEOUT',
    });
    answerClientError(error, socket);
    socket.destroySoon();
  }

  function checkTime(nowMs: number): void {
    for (const connection of connections.values()) {
      const {body, turns, headSinceMs} = connection;
      checkHeaders(connection, nowMs);
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

function findFault({
  httpVersion,
  headers,
}: IncomingMessage): MalformedStatus | undefined {
  const {expect, host} = headers;
  if (host === undefined && httpVersion === '1.1') return 400;
  if (expect === undefined || expect.toLowerCase() === '100-continue') return;
  return 417;
}

function createTurn(bytes: number): Turn {
  return {bytes, isRunning: false, isClosed: false, isAnswered: false};
}

function createPendingBody(
  nowMs: number,
  refuse: PendingBody['refuse'],
  abort: PendingBody['abort'] = () => undefined,
): PendingBody {
  return {startMs: nowMs, progressMs: nowMs, recentBytes: 0, refuse, abort};
}

function addProgress(body: PendingBody, bytes: number, nowMs: number): void {
  body.recentBytes += bytes;
  if (body.recentBytes < PROGRESS_BYTES) return;
  body.recentBytes = 0;
  body.progressMs = nowMs;
}

/** Header texts are kept as received and by name. */
function getRequestBytes({rawHeaders}: IncomingMessage): number {
  let bytes = REQUEST_BYTES;
  for (const text of rawHeaders) bytes += HEADER_TEXT_BYTES + 2 * text.length;
  return bytes;
}

function getAnnouncedBytes({headers}: IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}
