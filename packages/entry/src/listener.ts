/** The task that owns the listening socket. */
import type {Reply, TaskSystem} from '@lentildrift/task';
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {answerClientError} from './answer.js';
import {MAX_HEADER_BYTES} from './header.js';

const KEEP_ALIVE_MS = 5000;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const ASK_TIMEOUT_MS = 5000;
/**
 * Connections that have sent no request count as busy for `node:http`; they
 * are closed when no call has been in flight for this long.
 */
const IDLE_CLOSE_DELAY_MS = 500;

type ListenerMessage =
  | {type: 'listen'; host: string; port: number; reply: Reply<number>}
  /** Stops listening; answered when no connection is left. */
  | {type: 'drain'; reply: Reply<void>};

export interface Listener {
  /** Resolves with the port; rejects if the address cannot be used. */
  listen(host: string, port: number): Promise<number>;
  /**
   * Stops listening and lets calls in flight end. What is still open after
   * `limitMs` is closed; returns the number of such calls.
   */
  drain(limitMs: number): Promise<number>;
}

export function createListener(
  tasks: TaskSystem,
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Listener {
  let inFlight = 0;
  let draining = false;
  let quiet: NodeJS.Timeout | undefined;

  const onRequest: RequestListener = (request, response) => {
    inFlight += 1;
    clearTimeout(quiet);
    if (draining) response.setHeader('connection', 'close');
    response.once('close', () => {
      inFlight -= 1;
      // The connection is idle only after this event.
      if (draining) setImmediate(closeQuiet);
    });
    handle(request, response);
  };

  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      insecureHTTPParser: false,
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
    },
    onRequest,
  );
  server.on('clientError', (error, socket) =>
    answerClientError(error, socket as never),
  );

  const task = tasks.spawn<undefined, ListenerMessage>({
    name: 'listener',
    initial: undefined,
    handle(state, message) {
      if (message.type === 'listen') open(message);
      else close(message.reply);
      return state;
    },
  });

  function open(message: ListenerMessage & {type: 'listen'}): void {
    const {host, port, reply} = message;
    server.once('error', error => reply.reject(error));
    server.listen(port, host, () =>
      reply.resolve((server.address() as AddressInfo).port),
    );
  }

  function close(reply: Reply<void>): void {
    draining = true;
    server.close(() => reply.resolve());
    closeQuiet();
  }

  function closeQuiet(): void {
    server.closeIdleConnections();
    clearTimeout(quiet);
    if (inFlight > 0) return;
    quiet = setTimeout(() => server.closeAllConnections(), IDLE_CLOSE_DELAY_MS);
  }

  return {
    listen: (host, port) =>
      task.ask<number>(
        reply => ({type: 'listen', host, port, reply}),
        ASK_TIMEOUT_MS,
      ),
    async drain(limitMs) {
      const closed = task.ask<void>(reply => ({type: 'drain', reply}), limitMs);
      await closed.catch(() => undefined);
      clearTimeout(quiet);
      const left = inFlight;
      server.closeAllConnections();
      await task.stop();
      return left;
    },
  };
}
