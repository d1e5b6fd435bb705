/** Request bodies of limited size: streamed to an upstream, or read as JSON. */
import {refuse, type Refusal} from '@lentildrift/model';
import type {IncomingMessage} from 'node:http';
import {Transform} from 'node:stream';
import {getDeclaredLength} from './header.js';

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
  if (getDeclaredLength(request) === 0) return null;
  let size = 0;
  const stream = new Transform({
    transform(chunk: Buffer, _encoding, done) {
      size += chunk.length;
      if (size > maxBytes) done(new BodyTooLarge('the body exceeds the limit'));
      else done(null, chunk);
    },
  });
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

/** Reads a body of at most `maxBytes` and parses it as JSON. */
export async function readJson(
  request: IncomingMessage,
  maxBytes: number,
): Promise<{ok: true; value: unknown} | {ok: false; refusal: Refusal}> {
  const malformed = refuse('malformed', 'the body is not valid JSON');
  if ((getDeclaredLength(request) ?? 0) > maxBytes) {
    return {ok: false, refusal: refuseLargeBody(maxBytes)};
  }
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request.iterator({destroyOnReturn: false})) {
      size += (chunk as Buffer).length;
      if (size > maxBytes)
        return {ok: false, refusal: refuseLargeBody(maxBytes)};
      chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString('utf8');
    return {ok: true, value: JSON.parse(text)};
  } catch {
    return {ok: false, refusal: malformed};
  }
}
