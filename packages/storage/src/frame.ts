/**
 * Checksummed frames of an append-only file.
 *
 * A frame is a header (payload length, payload CRC-32, CRC-32 of these two)
 * and a payload. Each batch of writes is one frame, and a frame is written only
 * after the previous one was synced, so a crash can damage only the last frame.
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
  /** Offset in the file of the first byte after the frame. */
  readonly endOffset: number;
  /** CRC-32 of the payload. */
  readonly checksum: number;
}

/** Returns `undefined` if the header is incomplete or damaged. */
function readHeader(file: Buffer, offset: number): Header | undefined {
  if (offset + HEADER_BYTES > file.length) return undefined;
  const stored = file.readUInt32LE(offset + 8);
  if (crc32(file.subarray(offset, offset + 8)) !== stored) return undefined;
  return {
    endOffset: offset + HEADER_BYTES + file.readUInt32LE(offset),
    checksum: file.readUInt32LE(offset + 4),
  };
}

/** Returns `undefined` if the payload is incomplete or damaged. */
function readPayload(file: Buffer, offset: number, header: Header) {
  if (header.endOffset > file.length) return undefined;
  const payload = file.subarray(offset + HEADER_BYTES, header.endOffset);
  return crc32(payload) === header.checksum ? payload : undefined;
}

function hasFrameAfter(file: Buffer, offset: number): boolean {
  for (let next = offset + 1; next + HEADER_BYTES <= file.length; next++) {
    const header = readHeader(file, next);
    if (header && readPayload(file, next, header)) return true;
  }
  return false;
}

/**
 * Splits a file into payloads. `validBytes` is the offset at which an
 * incomplete last frame begins, or the length of the file if there is none.
 * Throws `CorruptStoreError` if a frame other than the last one is damaged.
 */
export function decodeFrames(
  path: string,
  file: Buffer,
): {payloads: Buffer[]; validBytes: number} {
  const payloads: Buffer[] = [];
  let offset = 0;
  while (offset < file.length) {
    const header = readHeader(file, offset);
    const payload = header && readPayload(file, offset, header);
    if (!header || !payload) {
      const endsBeforeEndOfFile =
        header !== undefined && header.endOffset < file.length;
      if (endsBeforeEndOfFile || hasFrameAfter(file, offset)) {
        throw new CorruptStoreError(path, `damaged frame at byte ${offset}`);
      }
      break;
    }
    payloads.push(payload);
    offset = header.endOffset;
  }
  return {payloads, validBytes: offset};
}
