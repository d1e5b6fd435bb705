/** Request bodies of limited size: streamed to an upstream, or read as JSON. */
import {
  gatherBody,
  getExchange,
  type BodyOutcome,
} from '@lentildrift/intake-limits';
import {refuse, type Refusal} from '@lentildrift/model';
import type {IncomingMessage} from 'node:http';
import {Transform} from 'node:stream';
import {getDeclaredLength} from './header.js';

const RETRY_AFTER_MS = 1000;
/** Smaller parts of a body are joined before they are forwarded. */
const SMALL_PART_BYTES = 4096;
const JOINED_BYTES = 8192;

export class BodyTooLarge extends Error {
  override readonly name = 'BodyTooLarge';
}

export function refuseLargeBody(maxBytes: number): Refusal {
  return refuse('body-too-large', `the body is larger than ${maxBytes} bytes`);
}

/**
 * Returns the request's body as a separate stream, so that destroying the
 * stream leaves the caller's connection open for the response. The stream
 * fails with `BodyTooLarge` beyond `maxBytes`. Returns null when the request
 * has no body.
 */
export function streamBody(
  request: IncomingMessage,
  maxBytes: number,
): Transform | null {
  const declaredBytes = getDeclaredLength(request);
  if (declaredBytes === 0) return null;
  let size = 0;
  const joined = createPartJoiner(part => {
    if (!stream.destroyed) stream.push(part);
  });
  const watch = getExchange(request)?.watchBody(() =>
    stream.destroy(new Error('the body did not arrive in time')),
  );
  const stream = new Transform({
    transform(chunk: Buffer, _encoding, done) {
      size += chunk.length;
      watch?.onProgress(chunk.length);
      if (size > maxBytes) {
        done(new BodyTooLarge('the body exceeds the limit'));
        return;
      }
      if (size === declaredBytes) {
        joined.flush();
        stream.push(chunk);
      } else {
        joined.add(chunk);
      }
      done();
    },
    flush(done) {
      joined.flush();
      done();
    },
  });
  stream.once('close', () => watch?.end());
  const onClose = () => {
    // A truncated body must not be forwarded as a complete one.
    if (!request.complete) stream.destroy(new Error('the caller disconnected'));
  };
  request.once('close', onClose).once('error', onClose);
  stream.on('error', () => undefined);
  // Once the stream is closed, the rest of the body is discarded. The body must
  // still be read, since a caller may read an early response only after it has
  // sent the whole body.
  stream.once('close', () => request.unpipe(stream).resume());
  return request.pipe(stream);
}

/**
 * Joins small parts that arrive in one turn of the event loop, since each part
 * that waits for the upstream costs a hundred bytes more than it holds.
 */
function createPartJoiner(push: (part: Buffer) => void) {
  let block: Buffer | undefined;
  let length = 0;

  function flush(): void {
    if (block && length > 0) push(block.subarray(0, length));
    block = undefined;
    length = 0;
  }

  function add(part: Buffer): void {
    if (part.length >= SMALL_PART_BYTES) {
      flush();
      push(part);
      return;
    }
    if (length + part.length > JOINED_BYTES) flush();
    if (!block) {
      block = Buffer.allocUnsafeSlow(JOINED_BYTES);
      setImmediate(flush);
    }
    part.copy(block, length);
    length += part.length;
  }

  return {add, flush};
}

/** Reads a body of at most `maxBytes` and parses it as JSON. */
export async function readJson(
  request: IncomingMessage,
  maxBytes: number,
): Promise<{ok: true; value: unknown} | {ok: false; refusal: Refusal}> {
  const exchange = getExchange(request);
  const body = await (exchange?.readBody(maxBytes) ??
    readUnguarded(request, maxBytes));
  if (body.type === 'refused') {
    return {ok: false, refusal: toRefusal(body.reason, maxBytes)};
  }
  const malformed = refuse('malformed', 'the body is not valid JSON');
  if (body.type === 'aborted') return {ok: false, refusal: malformed};
  try {
    return {ok: true, value: JSON.parse(body.text)};
  } catch {
    return {ok: false, refusal: malformed};
  }
}

function toRefusal(
  reason: Extract<BodyOutcome, {type: 'refused'}>['reason'],
  maxBytes: number,
): Refusal {
  switch (reason) {
    case 'body-too-large':
      return refuseLargeBody(maxBytes);
    case 'body-slow':
      return refuse('timeout', 'the body did not arrive in time');
    case 'budget':
      return refuseForRoom();
  }
}

/** The refusal of a request for which the process has no room. */
export function refuseForRoom(): Refusal {
  const text = 'the requests in flight hold too much memory';
  return refuse('overloaded', text, {retryAfterMs: RETRY_AFTER_MS});
}

/** Reads the body of a request whose server is not guarded. */
function readUnguarded(
  request: IncomingMessage,
  maxBytes: number,
): Promise<BodyOutcome> {
  return new Promise(resolve => {
    gatherBody(request, {
      maxBytes,
      announcedBytes: getDeclaredLength(request),
      reserve: () => true,
      release: () => undefined,
      onProgress: () => undefined,
      onOutcome: resolve,
    });
  });
}
