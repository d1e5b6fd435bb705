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

/** Splits a byte stream into frames. */
export interface FrameDecoder {
  /**
   * Adds received bytes, and returns the values of all frames that are now
   * complete. Throws `MalformedFrameError`.
   */
  push(chunk: Buffer): unknown[];
}

export function createFrameDecoder(): FrameDecoder {
  let buffered: Buffer = Buffer.alloc(0);

  function push(chunk: Buffer): unknown[] {
    buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
    const values: unknown[] = [];
    let offset = 0;
    while (offset + HEADER_BYTES <= buffered.length) {
      const length = buffered.readUInt32BE(offset);
      if (length > MAX_FRAME_BYTES) {
        throw new MalformedFrameError(
          `a frame of ${length} bytes exceeds the limit`,
        );
      }
      const end = offset + HEADER_BYTES + length;
      if (end > buffered.length) break;
      values.push(decodePayload(buffered.subarray(offset + HEADER_BYTES, end)));
      offset = end;
    }
    buffered = offset === 0 ? buffered : buffered.subarray(offset);
    return values;
  }

  return {push};
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
