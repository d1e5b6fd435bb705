/** Responses that the entry host itself produces. */
import {
  describeClientError,
  getExchange,
  sendClientError,
  type ClientError,
  type Exchange,
} from '@lentildrift/intake-limits';
import type {Refusal, RefusalCode} from '@lentildrift/model';
import {startInputTimeout} from '@lentildrift/task';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {CachedResponse} from './exchange.js';
import {VERDICT_HEADER} from './header.js';

/**
 * Longest time for which the rest of a body is read after an early response.
 */
const DISCARD_TIMEOUT_MS = 2000;

const STATUS: Record<RefusalCode, number> = {
  malformed: 400,
  unauthorised: 401,
  forbidden: 403,
  'unknown-route': 404,
  duplicate: 409,
  'body-too-large': 413,
  'over-limit': 429,
  overloaded: 429,
  internal: 500,
  'upstream-failed': 502,
  stale: 503,
  'no-upstream': 503,
  stopping: 503,
  timeout: 504,
};

export function getStatus(refusal: Refusal): number {
  return STATUS[refusal.code];
}

export function answerJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  answerText(response, status, JSON.stringify(body) + '\n', {
    'content-type': 'application/json',
    ...headers,
  });
}

/** Sends a response within the limits of its client, if it has any. */
export function answerText(
  response: ServerResponse,
  status: number,
  text: string,
  headers: Readonly<Record<string, string>>,
): void {
  const exchange = getExchange(response.req);
  if (exchange) {
    exchange.answer(status, headers, text);
    return;
  }
  response.writeHead(status, headers);
  response.end(text);
}

export function answerRefusal(
  request: IncomingMessage,
  response: ServerResponse,
  refusal: Refusal,
): void {
  const {verdict, code, message} = refusal;
  discardBody(request);
  const body = {verdict, code, message};
  answerJson(response, getStatus(refusal), body, getRefusalHeaders(refusal));
}

function getRefusalHeaders(refusal: Refusal): Record<string, string> {
  const {verdict, retryAfterMs} = refusal;
  const headers: Record<string, string> = {[VERDICT_HEADER]: verdict};
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(retryAfterMs / 1000));
  }
  return headers;
}

/** Refuses a request that is not handled, and closes its connection. */
export function refuseExchange(exchange: Exchange, refusal: Refusal): void {
  const {verdict, code, message} = refusal;
  const headers = {
    'content-type': 'application/json',
    ...getRefusalHeaders(refusal),
  };
  const text = JSON.stringify({verdict, code, message}) + '\n';
  exchange.refuse(getStatus(refusal), headers, text);
}

/** Sends the cached first response to a duplicate of a claimed request. */
export function answerCached(
  request: IncomingMessage,
  response: ServerResponse,
  cached: CachedResponse,
): void {
  discardBody(request);
  response.writeHead(cached.status, [...cached.headers]);
  response.end(cached.body);
}

/**
 * Reads and discards the rest of the body for at most `DISCARD_TIMEOUT_MS`.
 * Closing the connection at once would reset it, and the caller could lose
 * the response.
 */
function discardBody(request: IncomingMessage): void {
  if (request.complete) return;
  request.resume();
  const timeout = startInputTimeout(() => {
    if (!request.complete) request.socket.destroy();
  }, DISCARD_TIMEOUT_MS);
  request.once('close', timeout.cancel);
}

/** Responds with 400, 408 or 431 to input that is no request. */
export function answerClientError(error: ClientError, socket: Socket): void {
  const {status, message} = describeClientError(error);
  const body = {verdict: 'not-run', code: 'malformed', message};
  const headers = {[VERDICT_HEADER]: 'not-run'};
  sendClientError(socket, status, headers, JSON.stringify(body) + '\n');
}
