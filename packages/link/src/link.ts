/** The connecting side of a link: a task that owns its socket. */
import {connect, type Socket} from 'node:net';
import type {Log} from '@lentildrift/observe';
import type {Task, TaskSystem} from '@lentildrift/task';
import {createFrameDecoder, encodeFrame, type FrameDecoder} from './frame.js';
import {LinkMessage} from './message.js';
import {
  CONNECT_TIMEOUT_MS,
  MAX_UNSENT_BYTES,
  PING_INTERVAL_MS,
  RECONNECT_DELAY_MS,
  IDLE_TIMEOUT_MS,
} from './timing.js';

/** The request was never handed to the connection. */
export class RequestNotSentError extends Error {
  constructor(address: string) {
    super(`no link to ${address}`);
    this.name = 'RequestNotSentError';
  }
}

/** The request was sent, but no answer came: it may have had effects. */
export class RequestUnansweredError extends Error {
  constructor(address: string, reason: string) {
    super(`no answer from ${address}: ${reason}`);
    this.name = 'RequestUnansweredError';
  }
}

export interface LinkOptions {
  /** `ip:port`. */
  readonly address: string;
  /** How this process names itself to the peer. */
  readonly name: string;
  readonly tasks: TaskSystem;
  readonly log: Log;
  onPost(kind: string, body: unknown): void;
  /** The link opened or closed. */
  onStateChange(open: boolean): void;
}

export interface Link {
  readonly address: string;
  isOpen(): boolean;
  /** Rejects with `RequestNotSentError` or `RequestUnansweredError`. */
  request(body: unknown, timeoutMs: number): Promise<unknown>;
  /** Sends without an answer; lost if the link is down. */
  post(kind: string, body: unknown): void;
  /** The peer is known to be up: connects at once if the link is down. */
  reconnect(): void;
  stop(): Promise<void>;
}

interface Waiting {
  resolve(value: unknown): void;
  reject(error: Error): void;
  readonly timer: NodeJS.Timeout;
}

type Message =
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
  readonly heardMs: number;
}

const DOWN: Connection = {
  socket: undefined,
  decoder: createFrameDecoder(),
  open: false,
  heardMs: 0,
};

export function openLink(options: LinkOptions): Link {
  const {address, name, tasks, log} = options;
  const [host = '', port = ''] = address.split(':');
  const waiting = new Map<number, Waiting>();
  let nextId = 1;
  let current: Socket | undefined;
  let stopped = false;
  let retry: NodeJS.Timeout | undefined;
  let probe: NodeJS.Timeout | undefined;

  const task: Task<Message> = tasks.spawn<Connection, Message>({
    name: `link-${address}`,
    initial: DOWN,
    handle(connection, message) {
      switch (message.type) {
        case 'connect':
          return begin();
        case 'reconnect':
          return reconnect(connection);
        case 'opened':
          return opened(connection, message.socket);
        case 'data':
          return receive(connection, message.socket, message.chunk);
        case 'closed':
          return closed(connection, message.socket, message.reason);
        case 'probe':
          return check(connection);
      }
    },
    afterStop({socket}) {
      clearTimeout(retry);
      clearTimeout(probe);
      socket?.destroy();
      failAll('the link was closed');
    },
  });

  function begin(): Connection {
    const socket = connect({host, port: Number(port), noDelay: true});
    const giveUp = setTimeout(
      () => socket.destroy(new Error('connecting took too long')),
      CONNECT_TIMEOUT_MS,
    );
    let reason = 'closed by the peer';
    socket.on('connect', () => {
      clearTimeout(giveUp);
      task.post({type: 'opened', socket});
    });
    socket.on('data', chunk => task.post({type: 'data', socket, chunk}));
    socket.on('error', error => (reason = error.message));
    socket.on('close', () => {
      clearTimeout(giveUp);
      task.post({type: 'closed', socket, reason});
    });
    return {...DOWN, socket, decoder: createFrameDecoder()};
  }

  /** An attempt that began before the peer was up may hang. */
  function reconnect(connection: Connection): Connection {
    if (connection.open || stopped) return connection;
    clearTimeout(retry);
    connection.socket?.destroy();
    return begin();
  }

  function opened(connection: Connection, socket: Socket): Connection {
    if (socket !== connection.socket) return connection;
    current = socket;
    send({type: 'hello', name});
    armProbe();
    log.debug('link-up', {peer: address});
    options.onStateChange(true);
    return {...connection, open: true, heardMs: performance.now()};
  }

  function receive(
    connection: Connection,
    socket: Socket,
    chunk: Buffer,
  ): Connection {
    if (socket !== connection.socket) return connection;
    try {
      for (const value of connection.decoder.push(chunk)) {
        take(LinkMessage.parse(value));
      }
    } catch (error) {
      log.warn('link-refused', {
        peer: address,
        reason: (error as Error).message,
      });
      socket.destroy();
    }
    return {...connection, heardMs: performance.now()};
  }

  function take(message: LinkMessage): void {
    if (message.type === 'post') {
      options.onPost(message.kind, message.body);
    } else if (message.type === 'reply') {
      settle(message.id)?.resolve(message.body);
    } else if (message.type === 'failure') {
      settle(message.id)?.reject(
        new RequestUnansweredError(address, message.reason),
      );
    }
  }

  function settle(id: number): Waiting | undefined {
    const found = waiting.get(id);
    waiting.delete(id);
    if (found) clearTimeout(found.timer);
    return found;
  }

  function closed(
    connection: Connection,
    socket: Socket,
    reason: string,
  ): Connection {
    if (socket !== connection.socket) return connection;
    current = undefined;
    clearTimeout(probe);
    failAll(reason);
    if (connection.open) {
      log.info('link-down', {peer: address, reason});
      options.onStateChange(false);
    }
    if (!stopped) {
      retry = setTimeout(
        () => task.post({type: 'connect'}),
        RECONNECT_DELAY_MS,
      );
    }
    return DOWN;
  }

  function check(connection: Connection): Connection {
    if (!connection.open) return connection;
    const silentMs = performance.now() - connection.heardMs;
    if (silentMs > IDLE_TIMEOUT_MS) {
      connection.socket?.destroy(new Error(`silent for ${silentMs | 0} ms`));
      return connection;
    }
    send({type: 'ping'});
    armProbe();
    return connection;
  }

  function armProbe(): void {
    probe = setTimeout(() => task.post({type: 'probe'}), PING_INTERVAL_MS);
  }

  function failAll(reason: string): void {
    for (const id of [...waiting.keys()]) {
      settle(id)?.reject(new RequestUnansweredError(address, reason));
    }
  }

  function send(message: LinkMessage): boolean {
    if (!current || current.destroyed) return false;
    if (current.writableLength > MAX_UNSENT_BYTES) {
      current.destroy(new Error('the peer does not read'));
      return false;
    }
    current.write(encodeFrame(message));
    return true;
  }

  function request(body: unknown, timeoutMs: number): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const id = nextId++;
      if (!send({type: 'request', id, body})) {
        reject(new RequestNotSentError(address));
        return;
      }
      const timer = setTimeout(() => {
        settle(id)?.reject(
          new RequestUnansweredError(address, `${timeoutMs} ms passed`),
        );
      }, timeoutMs);
      waiting.set(id, {resolve, reject, timer});
    });
  }

  task.post({type: 'connect'});
  return {
    address,
    isOpen: () => current !== undefined,
    request,
    post: (kind, body) => void send({type: 'post', kind, body}),
    reconnect() {
      if (current === undefined) task.post({type: 'reconnect'});
    },
    async stop() {
      stopped = true;
      await task.stop();
    },
  };
}
