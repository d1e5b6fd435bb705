/** Request bodies: streamed on under a limit, or read whole under one. */
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
 * The request's body as a stream of its own, so that destroying it leaves the
 * caller's connection open for the answer. Fails with `BodyTooLarge` beyond
 * the limit. Null when the request has no body.
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
      if (size > maxBytes) done(new BodyTooLarge('body above the limit'));
      else done(null, chunk);
    },
  });
  const onClose = () => {
    // A body that ends early must not be passed on as a complete one.
    if (!request.complete) stream.destroy(new Error('the caller went away'));
  };
  request.once('close', onClose).once('error', onClose);
  stream.on('error', () => undefined);
  // What is left is of no use once the stream is closed, but must be read for
  // the caller to take an early answer.
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
