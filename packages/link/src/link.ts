/** The connecting side of a link: a task that owns the socket. */
import {connect, type Socket} from 'node:net';
import type {Log} from '@lentildrift/observe';
import {
  startInputTimeout,
  type InputTimeout,
  type Task,
  type TaskSystem,
} from '@lentildrift/task';
import {createFrameDecoder, encodeFrame, type FrameDecoder} from './frame.js';
import {LinkMessage} from './message.js';
import {
  ACCEPTED_IDLE_TIMEOUT_MS,
  CONNECT_TIMEOUT_MS,
  IDLE_TIMEOUT_MS,
  PING_INTERVAL_MS,
  RECONNECT_DELAY_MS,
  RELAXED_PING_INTERVAL_MS,
} from './timing.js';
import {createFrameWriter, type FrameWriter} from './writer.js';

/** The request was not sent, because the link was down. */
export class RequestNotSentError extends Error {
  constructor(address: string) {
    super(`no link to ${address}`);
    this.name = 'RequestNotSentError';
  }
}

/** The request was sent but got no answer, so it may have had effects. */
export class RequestUnansweredError extends Error {
  constructor(address: string, reason: string) {
    super(`no answer from ${address}: ${reason}`);
    this.name = 'RequestUnansweredError';
  }
}

export interface LinkOptions {
  /** Address of the peer, as `ip:port`. */
  readonly address: string;
  /** Name under which the peer knows this process. */
  readonly name: string;
  readonly tasks: TaskSystem;
  readonly log: Log;
  /**
   * Whether the link only carries requests, so that a dead peer matters only
   * while one is pending. Otherwise posts would be lost unnoticed.
   */
  readonly isForRequests?: boolean;
  /** Called for each post that the peer sends. */
  onPost(kind: string, body: unknown): void;
  /** Called when the link opens or closes. */
  onStateChange(open: boolean): void;
}

export interface Link {
  readonly address: string;
  isOpen(): boolean;
  /** Monotonic time at which bytes last came from the peer, or the link opened. */
  lastReceivedMs(): number;
  /**
   * Sends a request and resolves with the answer. Rejects with
   * `RequestNotSentError` or `RequestUnansweredError`.
   */
  request(body: unknown, timeoutMs: number): Promise<unknown>;
  /** Sends a message that has no answer; it is lost if the link is down. */
  post(kind: string, body: unknown): void;
  /**
   * Connects at once if the link is down. To be called when the peer is known
   * to be up.
   */
  reconnect(): void;
  stop(): Promise<void>;
}

/** A request that was sent and not answered yet. */
interface PendingRequest {
  resolve(value: unknown): void;
  reject(error: Error): void;
  readonly timeout: InputTimeout;
}

type TaskMessage =
  | {type: 'connect'}
  | {type: 'reconnect'}
  | {type: 'opened'; socket: Socket}
  | {type: 'data'; socket: Socket; chunk: Buffer}
  | {type: 'closed'; socket: Socket; reason: string}
  | {type: 'probe'};

interface Connection {
  readonly socket: Socket | undefined;
  readonly decoder: FrameDecoder;
  readonly open: boolean;
}

const DISCONNECTED: Connection = {
  socket: undefined,
  decoder: createFrameDecoder(),
  open: false,
};

/** Starts a link, which connects and reconnects until it is stopped. */
export function openLink(options: LinkOptions): Link {
  const {address, name, tasks, log} = options;
  const [host = '', port = ''] = address.split(':');
  const pending = new Map<number, PendingRequest>();
  let nextId = 1;
  /** Writes to the socket of the open link. */
  let writer: FrameWriter | undefined;
  let stopped = false;
  let reconnectTimer: NodeJS.Timeout | undefined;
  let pingTimer: InputTimeout | undefined;
  let isPingRelaxed = false;
  /** Monotonic time since which requests are pending without a pause. */
  let busySinceMs = 0;
  let lastReceivedMs = -Infinity;

  const task: Task<TaskMessage> = tasks.spawn<Connection, TaskMessage>({
    name: `link-${address}`,
    initial: DISCONNECTED,
    handle(connection, message) {
      switch (message.type) {
        case 'connect':
          // The message cannot be withdrawn once `reconnect` has connected.
          return connection.socket ? connection : startConnecting();
        case 'reconnect':
          return reconnect(connection);
        case 'opened':
          return handleOpen(connection, message.socket);
        case 'data':
          return handleData(connection, message.socket, message.chunk);
        case 'closed':
          return handleClose(connection, message.socket, message.reason);
        case 'probe':
          return pingOrClose(connection);
      }
    },
    afterStop({socket}) {
      clearTimeout(reconnectTimer);
      pingTimer?.cancel();
      writer?.flush();
      socket?.destroy();
      rejectAll('the link was closed');
    },
  });

  function startConnecting(): Connection {
    const socket = connect({host, port: Number(port), noDelay: true});
    const connectTimer = startInputTimeout(
      () => socket.destroy(new Error('connecting took too long')),
      CONNECT_TIMEOUT_MS,
    );
    let reason = 'closed by the peer';
    socket.on('connect', () => {
      connectTimer.cancel();
      task.post({type: 'opened', socket});
    });
    socket.on('data', chunk => task.post({type: 'data', socket, chunk}));
    socket.on('error', error => (reason = error.message));
    socket.on('close', () => {
      connectTimer.cancel();
      task.post({type: 'closed', socket, reason});
    });
    return {...DISCONNECTED, socket, decoder: createFrameDecoder()};
  }

  /**
   * Replaces a connection attempt in progress: an attempt that began before the
   * peer was up may hang.
   */
  function reconnect(connection: Connection): Connection {
    if (connection.open || stopped) return connection;
    clearTimeout(reconnectTimer);
    connection.socket?.destroy();
    return startConnecting();
  }

  function handleOpen(connection: Connection, socket: Socket): Connection {
    if (socket !== connection.socket) return connection;
    writer = createFrameWriter(socket);
    send({type: 'hello', name});
    schedulePing();
    log.debug('link-up', {peer: address});
    options.onStateChange(true);
    lastReceivedMs = performance.now();
    return {...connection, open: true};
  }

  function handleData(
    connection: Connection,
    socket: Socket,
    chunk: Buffer,
  ): Connection {
    if (socket !== connection.socket) return connection;
    try {
      for (const value of connection.decoder.push(chunk)) {
        handleMessage(LinkMessage.parse(value));
      }
    } catch (error) {
      log.warn('link-refused', {
        peer: address,
        reason: (error as Error).message,
      });
      socket.destroy();
    }
    lastReceivedMs = performance.now();
    return connection;
  }

  function handleMessage(message: LinkMessage): void {
    if (message.type === 'post') {
      options.onPost(message.kind, message.body);
    } else if (message.type === 'reply') {
      removePending(message.id)?.resolve(message.body);
    } else if (message.type === 'failure') {
      removePending(message.id)?.reject(
        new RequestUnansweredError(address, message.reason),
      );
    }
  }

  function removePending(id: number): PendingRequest | undefined {
    const found = pending.get(id);
    pending.delete(id);
    found?.timeout.cancel();
    return found;
  }

  function handleClose(
    connection: Connection,
    socket: Socket,
    reason: string,
  ): Connection {
    if (socket !== connection.socket) return connection;
    writer = undefined;
    pingTimer?.cancel();
    rejectAll(reason);
    if (connection.open) {
      log.info('link-down', {peer: address, reason});
      options.onStateChange(false);
    }
    if (!stopped) {
      reconnectTimer = setTimeout(
        () => task.post({type: 'connect'}),
        RECONNECT_DELAY_MS,
      );
    }
    return DISCONNECTED;
  }

  function pingOrClose(connection: Connection): Connection {
    if (!connection.open) return connection;
    const silentMs = performance.now() - lastReceivedMs;
    if (silentMs > silenceLimitMs()) {
      connection.socket?.destroy(new Error(`silent for ${silentMs | 0} ms`));
      return connection;
    }
    // What has arrived since the last ping shows as well that the peer is up.
    if (silentMs >= PING_INTERVAL_MS / 2) send({type: 'ping'});
    schedulePing();
    return connection;
  }

  function isRelaxed(): boolean {
    return options.isForRequests === true && pending.size === 0;
  }

  /**
   * How long the peer may be silent. A silence from before the first pending
   * request counts as that of a link without requests.
   */
  function silenceLimitMs(): number {
    if (isRelaxed()) return ACCEPTED_IDLE_TIMEOUT_MS;
    const quietMs = Math.max(0, busySinceMs - lastReceivedMs);
    return IDLE_TIMEOUT_MS + (options.isForRequests ? quietMs : 0);
  }

  function schedulePing(): void {
    pingTimer?.cancel();
    isPingRelaxed = isRelaxed();
    pingTimer = startInputTimeout(
      () => task.post({type: 'probe'}),
      isPingRelaxed ? RELAXED_PING_INTERVAL_MS : PING_INTERVAL_MS,
    );
  }

  /** Watches the peer closely from the first pending request on. */
  function markBusy(id: number, request: PendingRequest): void {
    if (pending.size === 0) busySinceMs = performance.now();
    pending.set(id, request);
    if (isPingRelaxed) schedulePing();
  }

  function rejectAll(reason: string): void {
    for (const id of [...pending.keys()]) {
      removePending(id)?.reject(new RequestUnansweredError(address, reason));
    }
  }

  /** Requests may wait for others of the same turn, other messages may not. */
  function send(message: LinkMessage): boolean {
    if (!writer) return false;
    const frame = encodeFrame(message);
    return message.type === 'request'
      ? writer.write(frame)
      : writer.writeSoon(frame);
  }

  function request(body: unknown, timeoutMs: number): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const id = nextId++;
      if (!send({type: 'request', id, body})) {
        reject(new RequestNotSentError(address));
        return;
      }
      const timeout = startInputTimeout(() => {
        removePending(id)?.reject(
          new RequestUnansweredError(address, `${timeoutMs} ms passed`),
        );
      }, timeoutMs);
      markBusy(id, {resolve, reject, timeout});
    });
  }

  task.post({type: 'connect'});
  return {
    address,
    isOpen: () => writer !== undefined,
    lastReceivedMs: () => lastReceivedMs,
    request,
    post: (kind, body) => void send({type: 'post', kind, body}),
    reconnect() {
      if (writer === undefined) task.post({type: 'reconnect'});
    },
    async stop() {
      stopped = true;
      await task.stop();
    },
  };
}
