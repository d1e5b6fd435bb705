/** The product's connections to upstreams, by `undici`. */
import {Client, type Dispatcher} from 'undici';
import {
  Connection,
  Connector,
  type Attempt,
  type AttemptEvents,
  type AttemptRequest,
} from './connection.js';

/** A host that does not accept within this time counts as unreachable. */
const CONNECT_TIMEOUT_MS = 1000;
/** An idle connection is closed before usual upstreams close it themselves. */
const IDLE_CONNECTION_MS = 4000;

class AbortedAttempt extends Error {
  override readonly name = 'AbortedAttempt';
}

class StartRefused extends Error {
  override readonly name = 'StartRefused';
}

export class UndiciConnector extends Connector {
  override connect(address: string): Connection {
    return new UndiciConnection(
      new Client(`http://${address}`, {
        pipelining: 1,
        connect: {timeout: CONNECT_TIMEOUT_MS},
        // Deadlines are kept by the forwarder.
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: IDLE_CONNECTION_MS,
        keepAliveMaxTimeout: IDLE_CONNECTION_MS,
      }),
    );
  }
}

class UndiciConnection extends Connection {
  constructor(private readonly client: Client) {
    super();
  }

  override get destroyed(): boolean {
    return this.client.destroyed;
  }

  override send(request: AttemptRequest, events: AttemptEvents): Attempt {
    return startAttempt(this.client, request, events);
  }

  override destroy(): Promise<void> {
    return this.client.destroy();
  }
}

function startAttempt(
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
      if (aborted || !events.canSend()) {
        return started.abort(new StartRefused('not to be sent any more'));
      }
      written = true;
    },
    onResponseStart(started, status) {
      if (status < 200 || aborted) return;
      const {rawHeaders} = started as unknown as {
        rawHeaders: readonly (Buffer | string)[];
      };
      events.onHeaders(status, rawHeaders);
    },
    onResponseData(started, chunk) {
      if (!aborted && !events.onData(chunk)) started.pause();
    },
    onResponseEnd() {
      over = true;
      if (!aborted) events.onEnd();
      events.onClosed();
    },
    onResponseError(_started, error) {
      over = true;
      if (!aborted) events.onEnd({error, written});
      // Before the start there is no connection that this request could hold.
      if (controller) client.once('disconnect', onDisconnect);
      else events.onClosed();
    },
  };

  function onDisconnect(): void {
    events.onClosed();
    discard();
  }

  /** After an abort `undici` would connect again for a request that is gone. */
  function discard(): void {
    client.destroy(new AbortedAttempt('given up')).catch(() => undefined);
  }

  client.dispatch({...request, method: request.method as 'GET'}, handler);
  return {
    hasWritten: () => written,
    resume: () => controller?.resume(),
    abort() {
      // The connection of a finished attempt may serve the next call.
      if (aborted || over) return;
      aborted = true;
      discard();
    },
  };
}
