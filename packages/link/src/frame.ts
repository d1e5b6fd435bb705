/** Frames: a 4-byte big-endian payload length and a MessagePack value. */
import {Packr} from 'msgpackr';

const HEADER_BYTES = 4;
/**
 * Larger than any snapshot part or edit, so a longer frame does not come from a
 * peer that follows the protocol.
 */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;

const packr = new Packr({useRecords: false});

/** The peer sent bytes that are not a valid frame. */
export class MalformedFrameError extends Error {
  constructor(reason: string) {
    super(reason);
    this.name = 'MalformedFrameError';
  }
}

export function encodeFrame(value: unknown): Buffer {
  const payload = packr.pack(value);
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  payload.copy(frame, HEADER_BYTES);
  return frame;
}

/** Room for the frame that a peer has sent in part. */
export interface FrameRoom {
  /** Reserves bytes before they are allocated. */
  reserve(bytes: number): boolean;
  release(bytes: number): void;
}

const UNLIMITED_ROOM: FrameRoom = {reserve: () => true, release: () => {}};

/** There is no room for the frames that peers have sent in part. */
export class FrameRoomError extends Error {
  constructor() {
    super('too many bytes of incomplete frames');
    this.name = 'FrameRoomError';
  }
}

/** Splits a byte stream into frames. */
export interface FrameDecoder {
  /**
   * Adds received bytes, and returns the values of all frames that are now
   * complete. Throws `MalformedFrameError` or `FrameRoomError`.
   */
  push(chunk: Buffer): unknown[];
  /** Whether a frame has arrived in part. */
  isPartial(): boolean;
  /** Gives back the room of an incomplete frame; no bytes follow. */
  close(): void;
}

/** Smallest buffer of an incomplete frame. */
const MIN_ROOM_BYTES = 4096;

/**
 * Keeps the bytes of an incomplete frame in one buffer. It doubles until the
 * frame fits, so that a frame that arrives in many parts is copied twice at
 * most, and an announced length alone takes no memory.
 */
export function createFrameDecoder(
  room: FrameRoom = UNLIMITED_ROOM,
): FrameDecoder {
  let partial: Buffer | undefined;
  let partialBytes = 0;

  function push(chunk: Buffer): unknown[] {
    const values: unknown[] = [];
    let rest = chunk;
    while (partialBytes > 0 && rest.length > 0) {
      rest = appendPart(rest);
      const frameBytes = getFrameBytes(partial!.subarray(0, partialBytes));
      if (frameBytes === undefined || partialBytes < frameBytes) continue;
      values.push(decodePayload(partial!.subarray(HEADER_BYTES, frameBytes)));
      close();
    }
    for (;;) {
      const frameBytes = getFrameBytes(rest);
      if (frameBytes === undefined || rest.length < frameBytes) break;
      values.push(decodePayload(rest.subarray(HEADER_BYTES, frameBytes)));
      rest = rest.subarray(frameBytes);
    }
    if (rest.length > 0) appendPart(rest);
    return values;
  }

  /** Copies what belongs to the incomplete frame and returns what is left. */
  function appendPart(bytes: Buffer): Buffer {
    const frameBytes =
      partialBytes === 0
        ? getFrameBytes(bytes)
        : getFrameBytes(partial!.subarray(0, partialBytes));
    const wantedBytes = (frameBytes ?? HEADER_BYTES) - partialBytes;
    const part = bytes.subarray(0, wantedBytes);
    grow(partialBytes + part.length, frameBytes ?? HEADER_BYTES);
    part.copy(partial!, partialBytes);
    partialBytes += part.length;
    return bytes.subarray(part.length);
  }

  function grow(neededBytes: number, frameBytes: number): void {
    const oldBytes = partial?.length ?? 0;
    if (neededBytes <= oldBytes) return;
    const bytes = Math.max(
      neededBytes,
      Math.min(frameBytes, Math.max(2 * oldBytes, MIN_ROOM_BYTES)),
    );
    if (!room.reserve(bytes)) throw new FrameRoomError();
    const grown = Buffer.allocUnsafeSlow(bytes);
    partial?.copy(grown, 0, 0, partialBytes);
    partial = grown;
    if (oldBytes > 0) room.release(oldBytes);
  }

  function close(): void {
    if (partial) room.release(partial.length);
    partial = undefined;
    partialBytes = 0;
  }

  return {push, close, isPartial: () => partialBytes > 0};
}

/**
 * Returns the size of the frame that begins with these bytes, or undefined if
 * its length has not arrived. Throws `MalformedFrameError`.
 */
function getFrameBytes(bytes: Buffer): number | undefined {
  if (bytes.length < HEADER_BYTES) return undefined;
  const length = bytes.readUInt32BE(0);
  if (length > MAX_FRAME_BYTES) {
    throw new MalformedFrameError(
      `a frame of ${length} bytes exceeds the limit`,
    );
  }
  return HEADER_BYTES + length;
}

function decodePayload(payload: Buffer): unknown {
  try {
    return packr.unpack(payload);
  } catch (error) {
    throw new MalformedFrameError(
      `undecodable frame: ${(error as Error).message}`,
    );
  }
}
