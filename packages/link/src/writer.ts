/** Writes frames to a socket, those of one turn of the event loop together. */
import type {Socket} from 'node:net';
import {MAX_UNSENT_BYTES} from './timing.js';

export interface FrameWriter {
  /**
   * Sends the frame at the end of the current turn of the event loop, or
   * earlier. Returns false, and discards the frame, if the socket is closed or
   * its peer does not read; then the socket is destroyed.
   */
  write(frame: Buffer): boolean;
  /**
   * Sends the frame, and those written before it, once the code that runs now
   * has returned. For messages that must not wait for the rest of a long turn.
   */
  writeSoon(frame: Buffer): boolean;
  /** Passes all frames to the socket now. */
  flush(): void;
}

/**
 * Each write to a socket is a system call, and a leader sends and answers
 * thousands of messages a second. The frames of one turn therefore go out in one
 * write.
 */
export function createFrameWriter(socket: Socket): FrameWriter {
  let frames: Buffer[] = [];
  let unsentBytes = 0;
  let flushesThisTurn = false;
  let flushesSoon = false;

  function flush(): void {
    if (frames.length === 0) return;
    const data = frames.length === 1 ? frames[0]! : Buffer.concat(frames);
    frames = [];
    unsentBytes = 0;
    if (!socket.destroyed) socket.write(data);
  }

  function add(frame: Buffer): boolean {
    if (socket.destroyed) return false;
    if (socket.writableLength + unsentBytes > MAX_UNSENT_BYTES) {
      socket.destroy(new Error('the peer does not read'));
      return false;
    }
    frames.push(frame);
    unsentBytes += frame.length;
    return true;
  }

  return {
    write(frame) {
      if (!add(frame)) return false;
      if (!flushesThisTurn) {
        flushesThisTurn = true;
        setImmediate(() => {
          flushesThisTurn = false;
          flush();
        });
      }
      return true;
    },
    writeSoon(frame) {
      if (!add(frame)) return false;
      if (!flushesSoon) {
        flushesSoon = true;
        process.nextTick(() => {
          flushesSoon = false;
          flush();
        });
      }
      return true;
    },
    flush,
  };
}
