/** The interface between forwarding and the connections to upstreams. */
import type {Readable} from 'node:stream';

/** The request that one attempt sends. */
export interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Readable | null;
}

/** Why an attempt failed. */
export interface AttemptFailure {
  readonly error: Error;
  /** Whether a byte of the request may have been written. */
  readonly written: boolean;
}

/** Callbacks of an attempt. */
export interface AttemptEvents {
  /**
   * Called immediately before the first byte is written. If it returns false,
   * the request is not sent.
   */
  canSend(): boolean;
  onHeaders(status: number, headers: readonly (Buffer | string)[]): void;
  /** Returns false when no more data should be read until `resume`. */
  onData(chunk: Buffer): boolean;
  /** Called once, unless the attempt was aborted. */
  onEnd(failure?: AttemptFailure): void;
  /** Called once, when the connection can be reused or has been closed. */
  onClosed(): void;
}

/** One attempt to send a request to an upstream. */
export interface Attempt {
  /** Whether a byte of the request may have been written. */
  hasWritten(): boolean;
  /** Continues to read after `onData` has returned false. */
  resume(): void;
  /** Writes no further byte; of the events, only `onClosed` follows. */
  abort(): void;
}

/** A connection that carries one request at a time. */
export abstract class Connection {
  abstract get destroyed(): boolean;
  /** Must not be called while another request is in flight. */
  abstract send(request: AttemptRequest, events: AttemptEvents): Attempt;
  abstract destroy(): Promise<void>;
}

/** Creates connections to upstreams. */
export abstract class Connector {
  /**
   * Returns a connection that is established when the first request is sent.
   * `address` has the form `host:port`.
   */
  abstract connect(address: string): Connection;
}
