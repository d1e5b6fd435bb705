/** Frames: a length of 4 bytes, big endian, and a MessagePack value. */
import {Packr} from 'msgpackr';

const HEADER_BYTES = 4;
/** Larger than any snapshot part or edit; a longer frame is not one of ours. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;

const packr = new Packr({useRecords: false});

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

export interface FrameDecoder {
  /** The values that `chunk` completes. Throws `MalformedFrameError`. */
  push(chunk: Buffer): unknown[];
}

export function createFrameDecoder(): FrameDecoder {
  let rest: Buffer = Buffer.alloc(0);

  function push(chunk: Buffer): unknown[] {
    rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
    const values: unknown[] = [];
    let at = 0;
    while (at + HEADER_BYTES <= rest.length) {
      const length = rest.readUInt32BE(at);
      if (length > MAX_FRAME_BYTES) {
        throw new MalformedFrameError(
          `a frame of ${length} bytes exceeds the limit`,
        );
      }
      const end = at + HEADER_BYTES + length;
      if (end > rest.length) break;
      values.push(unpack(rest.subarray(at + HEADER_BYTES, end)));
      at = end;
    }
    rest = at === 0 ? rest : rest.subarray(at);
    return values;
  }

  return {push};
}

function unpack(payload: Buffer): unknown {
  try {
    return packr.unpack(payload);
  } catch (error) {
    throw new MalformedFrameError(
      `undecodable frame: ${(error as Error).message}`,
    );
  }
}
