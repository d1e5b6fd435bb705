/**
 * Checksummed frames of an append-only file.
 *
 * A frame is a header (payload length, payload CRC-32, CRC-32 of these two)
 * and a payload. One batch is one frame, and the next frame is written only
 * after the sync of the one before, so a crash can damage the last frame only.
 */
import {crc32} from 'node:zlib';
import {CorruptStoreError} from './error.js';

const HEADER_BYTES = 12;

export function encodeFrame(payload: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  frame.writeUInt32LE(payload.length, 0);
  frame.writeUInt32LE(crc32(payload), 4);
  frame.writeUInt32LE(crc32(frame.subarray(0, 8)), 8);
  payload.copy(frame, HEADER_BYTES);
  return frame;
}

interface Header {
  readonly endAt: number;
  readonly checksum: number;
}

function readHeader(file: Buffer, at: number): Header | undefined {
  if (at + HEADER_BYTES > file.length) return undefined;
  const stored = file.readUInt32LE(at + 8);
  if (crc32(file.subarray(at, at + 8)) !== stored) return undefined;
  return {
    endAt: at + HEADER_BYTES + file.readUInt32LE(at),
    checksum: file.readUInt32LE(at + 4),
  };
}

function readPayload(file: Buffer, at: number, header: Header) {
  if (header.endAt > file.length) return undefined;
  const payload = file.subarray(at + HEADER_BYTES, header.endAt);
  return crc32(payload) === header.checksum ? payload : undefined;
}

function hasFrameAfter(file: Buffer, at: number): boolean {
  for (let next = at + 1; next + HEADER_BYTES <= file.length; next++) {
    const header = readHeader(file, next);
    if (header && readPayload(file, next, header)) return true;
  }
  return false;
}

/**
 * Splits a file into payloads; `validBytes` is where a torn tail begins. A
 * damaged frame that is not the last one throws `CorruptStoreError`.
 */
export function decodeFrames(
  path: string,
  file: Buffer,
): {payloads: Buffer[]; validBytes: number} {
  const payloads: Buffer[] = [];
  let at = 0;
  while (at < file.length) {
    const header = readHeader(file, at);
    const payload = header && readPayload(file, at, header);
    if (!header || !payload) {
      const inside = header !== undefined && header.endAt < file.length;
      if (inside || hasFrameAfter(file, at)) {
        throw new CorruptStoreError(path, `damaged record at byte ${at}`);
      }
      break;
    }
    payloads.push(payload);
    at = header.endAt;
  }
  return {payloads, validBytes: at};
}
