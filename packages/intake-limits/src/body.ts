/** Gathers a body in one buffer that grows within what was reserved. */

/** A first buffer of this size takes most bodies whole. */
const FIRST_BUFFER_BYTES = 4096;

/** Where the bytes of a body come from; an `IncomingMessage` is one. */
export interface BodySource {
  on(event: 'data', listener: (chunk: Buffer) => void): unknown;
  on(event: 'end' | 'close' | 'error', listener: () => void): unknown;
}

export type BodyOutcome =
  | {readonly type: 'complete'; readonly text: string}
  | {
      readonly type: 'refused';
      readonly reason: 'body-too-large' | 'body-slow' | 'budget';
    }
  /** The client closed the connection, or the body is malformed. */
  | {readonly type: 'aborted'};

export interface GatherOptions {
  readonly maxBytes: number;
  /** Announced length; undefined for a chunked body. */
  readonly announcedBytes: number | undefined;
  /** Reserves bytes before they are allocated. */
  reserve(bytes: number): boolean;
  release(bytes: number): void;
  /** Called for each part of the body with its size. */
  onProgress(bytes: number): void;
  /** Called once, when the outcome is known. Later parts are discarded. */
  onOutcome(outcome: BodyOutcome): void;
}

export interface Gathering {
  /** Gives up; the outcome is a refusal if there is none yet. */
  refuse(reason: 'body-slow' | 'budget'): void;
  /** The connection is closed. */
  abort(): void;
}

/**
 * Copies the parts of a body out of the buffers that they arrive in. A part
 * that is kept as it is costs a hundred bytes more than it holds and keeps the
 * whole read buffer alive.
 */
export function gatherBody(
  source: BodySource,
  options: GatherOptions,
): Gathering {
  const {maxBytes, announcedBytes} = options;
  let buffer: Buffer | undefined;
  let length = 0;
  let isOver = false;

  function finish(outcome: BodyOutcome): void {
    if (isOver) return;
    isOver = true;
    if (outcome.type !== 'complete' && buffer) options.release(buffer.length);
    buffer = undefined;
    options.onOutcome(outcome);
  }

  function refuse(reason: 'body-too-large' | 'body-slow' | 'budget'): void {
    finish({type: 'refused', reason});
  }

  function grow(neededBytes: number): boolean {
    const oldBytes = buffer?.length ?? 0;
    const limitBytes = Math.min(maxBytes, announcedBytes ?? maxBytes);
    const bytes = Math.min(
      limitBytes,
      Math.max(neededBytes, 2 * oldBytes, FIRST_BUFFER_BYTES),
    );
    if (!options.reserve(bytes)) return false;
    const grown = Buffer.allocUnsafeSlow(bytes);
    buffer?.copy(grown, 0, 0, length);
    buffer = grown;
    if (oldBytes > 0) options.release(oldBytes);
    return true;
  }

  function append(chunk: Buffer): void {
    if (isOver) return;
    options.onProgress(chunk.length);
    const neededBytes = length + chunk.length;
    if (neededBytes > maxBytes) return refuse('body-too-large');
    if (neededBytes > (buffer?.length ?? 0) && !grow(neededBytes)) {
      return refuse('budget');
    }
    // Another holder's reservation may have evicted this one meanwhile.
    if (isOver || !buffer) return;
    chunk.copy(buffer, length);
    length = neededBytes;
  }

  if (announcedBytes !== undefined && announcedBytes > maxBytes) {
    refuse('body-too-large');
  }
  source.on('data', append);
  source.on('end', () =>
    finish({type: 'complete', text: buffer?.toString('utf8', 0, length) ?? ''}),
  );
  source.on('error', () => finish({type: 'aborted'}));
  source.on('close', () => finish({type: 'aborted'}));
  return {refuse, abort: () => finish({type: 'aborted'})};
}
