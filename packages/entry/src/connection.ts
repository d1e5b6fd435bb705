/** Connections to upstreams: what forwarding asks of them. */
import type {Readable} from 'node:stream';

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

export interface AttemptEvents {
  /** Asked immediately before the first byte is written. */
  canSend(): boolean;
  onHeaders(status: number, headers: readonly (Buffer | string)[]): void;
  /** Returns false when no more data should be read until `resume`. */
  onData(chunk: Buffer): boolean;
  /** Called once, unless the attempt was aborted. */
  onEnd(failure?: AttemptFailure): void;
  /** Called once, when the connection is free again or closed. */
  onClosed(): void;
}

/** One sending of a request. */
export interface Attempt {
  /** Whether a byte of the request may have been written. */
  hasWritten(): boolean;
  resume(): void;
  /** Gives up; no byte is written from here on, and no event follows but `closed`. */
  abort(): void;
}

/** A connection that carries one request at a time. */
export abstract class Connection {
  abstract get destroyed(): boolean;
  /** Must not be called while another request is under way. */
  abstract send(request: AttemptRequest, events: AttemptEvents): Attempt;
  abstract destroy(): Promise<void>;
}

export abstract class Connector {
  /** Connects when the first request is sent; `address` is host and port. */
  abstract connect(address: string): Connection;
}
