/** One sending of a request over the connection of a lease. */
import type {Client, Dispatcher} from 'undici';
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
  mayStart(): boolean;
  head(status: number, headers: readonly (Buffer | string)[]): void;
  /** Returns false when no more data should be read until `resume`. */
  data(chunk: Buffer): boolean;
  /** Called once, unless the attempt was aborted. */
  end(failure?: AttemptFailure): void;
  /** Called once, when the connection is free again or closed. */
  closed(): void;
}

export interface Attempt {
  /** Whether a byte of the request may have been written. */
  written(): boolean;
  resume(): void;
  /** Gives up; no byte is written from here on, and no event follows but `closed`. */
  abort(): void;
}

class AbortedAttempt extends Error {
  override readonly name = 'AbortedAttempt';
}

class StartRefused extends Error {
  override readonly name = 'StartRefused';
}

export function startAttempt(
  client: Client,
  request: AttemptRequest,
  events: AttemptEvents,
): Attempt {
  let controller: Dispatcher.DispatchController | undefined;
  let written = false;
  let aborted = false;
  let over = false;

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(started) {
      // `undici` may dispatch again what it believes was not sent; whether to
      // send again is for the caller of this function to decide.
      if (controller) return started.abort(new AbortedAttempt('sent before'));
      controller = started;
      if (aborted || !events.mayStart()) {
        return started.abort(new StartRefused('not to be sent any more'));
      }
      written = true;
    },
    onResponseStart(started, status) {
      if (status < 200 || aborted) return;
      const {rawHeaders} = started as unknown as {
        rawHeaders: readonly (Buffer | string)[];
      };
      events.head(status, rawHeaders);
    },
    onResponseData(started, chunk) {
      if (!aborted && !events.data(chunk)) started.pause();
    },
    onResponseEnd() {
      over = true;
      if (!aborted) events.end();
      events.closed();
    },
    onResponseError(_started, error) {
      over = true;
      if (!aborted) events.end({error, written});
      // Before the start there is no connection that this request could hold.
      if (controller) client.once('disconnect', onDisconnect);
      else events.closed();
    },
  };

  function onDisconnect(): void {
    events.closed();
    discard();
  }

  /** After an abort `undici` would connect again for a request that is gone. */
  function discard(): void {
    client.destroy(new AbortedAttempt('given up')).catch(() => undefined);
  }

  client.dispatch({...request, method: request.method as 'GET'}, handler);
  return {
    written: () => written,
    resume: () => controller?.resume(),
    abort() {
      // The connection of a finished attempt may serve the next call.
      if (aborted || over) return;
      aborted = true;
      discard();
    },
  };
}
