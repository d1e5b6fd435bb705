/** Connections to upstreams, implemented with `undici`. */
import {Client, type Dispatcher} from 'undici';
import {
  Connection,
  Connector,
  type Attempt,
  type AttemptEvents,
  type AttemptRequest,
} from './connection.js';

/** A host that accepts no connection within this time is unreachable. */
const CONNECT_TIMEOUT_MS = 1000;
/**
 * Idle connections are closed after this time, which is shorter than the usual
 * keep-alive timeout of upstreams: a request sent on a connection that the
 * upstream is closing fails, and may have run.
 */
const IDLE_CONNECTION_MS = 4000;

class AbortedAttempt extends Error {
  override readonly name = 'AbortedAttempt';
}

class SendRefused extends Error {
  override readonly name = 'SendRefused';
}

export class UndiciConnector extends Connector {
  override connect(address: string): Connection {
    return new UndiciConnection(
      new Client(`http://${address}`, {
        pipelining: 1,
        connect: {timeout: CONNECT_TIMEOUT_MS},
        // The deadline of a call is enforced in forward.ts.
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
  let isWritten = false;
  let isAborted = false;
  let isEnded = false;

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(started) {
      // `undici` dispatches a request again if it assumes that the request was
      // not sent. Retries are decided by the caller of this function instead.
      if (controller) return started.abort(new AbortedAttempt('sent twice'));
      controller = started;
      if (isAborted || !events.canSend()) {
        return started.abort(
          new SendRefused('the request must no longer be sent'),
        );
      }
      isWritten = true;
    },
    onResponseStart(started, status) {
      if (status < 200 || isAborted) return;
      const {rawHeaders} = started as unknown as {
        rawHeaders: readonly (Buffer | string)[];
      };
      events.onHeaders(status, rawHeaders);
    },
    onResponseData(started, chunk) {
      if (!isAborted && !events.onData(chunk)) started.pause();
    },
    onResponseEnd() {
      isEnded = true;
      if (!isAborted) events.onEnd();
      events.onClosed();
    },
    onResponseError(_started, error) {
      isEnded = true;
      if (!isAborted) events.onEnd({error, written: isWritten});
      // A request that was never started does not occupy the connection.
      if (controller) client.once('disconnect', onDisconnect);
      else events.onClosed();
    },
  };

  function onDisconnect(): void {
    events.onClosed();
    destroyClient();
  }

  /** Keeps `undici` from reconnecting for the aborted request. */
  function destroyClient(): void {
    client
      .destroy(new AbortedAttempt('the attempt was aborted'))
      .catch(() => undefined);
  }

  client.dispatch({...request, method: request.method as 'GET'}, handler);
  return {
    hasWritten: () => isWritten,
    resume: () => controller?.resume(),
    abort() {
      // The connection of a finished attempt may already carry the next call.
      if (isAborted || isEnded) return;
      isAborted = true;
      destroyClient();
    },
  };
}
