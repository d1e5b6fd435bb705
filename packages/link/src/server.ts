/** The accepting side of links: one task for each connection. */
import {createServer, type Server, type Socket} from 'node:net';
import type {Holder, Intake} from '@lentildrift/intake-limits';
import type {Log} from '@lentildrift/observe';
import {afterInput, type Task, type TaskSystem} from '@lentildrift/task';
import {createFrameDecoder, encodeFrame, FrameRoomError} from './frame.js';
import {LinkMessage} from './message.js';
import {ACCEPTED_IDLE_TIMEOUT_MS} from './timing.js';
import {createFrameWriter, type FrameWriter} from './writer.js';

export interface LinkServerOptions {
  readonly host: string;
  readonly port: number;
  readonly tasks: TaskSystem;
  readonly log: Log;
  /** Bounds connections and incomplete frames; unbounded if absent. */
  readonly intake?: Intake;
  /** Answers a request; a rejection is sent to the peer as a `failure`. */
  onRequest(from: string, body: unknown): Promise<unknown>;
  /**
   * Handles a message that has no answer. Must return without waiting for the
   * effects of the message.
   */
  onPost(from: string, kind: string, body: unknown): void;
  /** Called when a process has connected and sent its name. */
  onPeerConnect?(from: string): void;
  /** Returns the post to send to each process that connects. */
  initialPost(): {kind: string; body: unknown};
}

export interface LinkServer {
  readonly port: number;
  /** Sends a post to every connected process. */
  broadcast(kind: string, body: unknown): void;
  stop(): Promise<void>;
}

type TaskMessage =
  | {type: 'data'; chunk: Buffer}
  | {type: 'send'; frame: Buffer}
  | {type: 'closed'};

/** State of one accepted connection. */
interface PeerSession {
  /** Name of the connected process; empty until its `hello` arrives. */
  readonly name: string;
}

/**
 * An incomplete frame that makes no progress for this long is given up. The
 * whole frame has no limit in time: the largest takes 34 s at 2 Mbit/s.
 */
const FRAME_STALL_TIMEOUT_MS = 25_000;
/** Fewer bytes of an incomplete frame than this are no progress. */
const PROGRESS_BYTES = 1024;

/** What a connection holds of the budget for incomplete frames. */
interface FrameHolder extends Holder {
  /** Monotonic time at which the incomplete frame last made progress. */
  progressMs: number | undefined;
  /** Bytes since `progressMs`. */
  recentBytes: number;
}

function createFrameHolder(
  socket: Socket,
  onEvict: (holder: FrameHolder) => void,
): FrameHolder {
  const holder: FrameHolder = {
    heldBytes: 0,
    progressMs: undefined,
    recentBytes: 0,
    waitsSinceMs: () => holder.progressMs,
    evict() {
      onEvict(holder);
      socket.destroy();
    },
  };
  return holder;
}

/** Records a read that completed `frames` frames and may have begun another. */
function addProgress(
  holder: FrameHolder,
  isPartial: boolean,
  frames: number,
  bytes: number,
  nowMs: number,
): void {
  holder.recentBytes += bytes;
  if (!isPartial) {
    holder.progressMs = undefined;
  } else if (
    frames > 0 ||
    holder.progressMs === undefined ||
    holder.recentBytes >= PROGRESS_BYTES
  ) {
    holder.progressMs = nowMs;
    holder.recentBytes = 0;
  }
}

/** Starts a server; rejects if it cannot listen on the port. */
export async function startLinkServer(
  options: LinkServerOptions,
): Promise<LinkServer> {
  const sessions = new Set<Task<TaskMessage>>();
  const writers = new Map<Socket, FrameWriter>();
  let nextId = 1;

  const {intake} = options;
  const holders = new Map<Socket, FrameHolder>();

  function accept(socket: Socket): void {
    const holder = createFrameHolder(socket, evicted => {
      intake?.refused('budget');
      intake?.budget.release(evicted, evicted.heldBytes);
    });
    if (intake?.connections.add(socket, holder.waitsSinceMs) === false) return;
    holders.set(socket, holder);
    const writer = createFrameWriter(socket);
    writers.set(socket, writer);
    const name = `link-in-${nextId++}`;
    const session = spawnSession(options, socket, writer, holder, name);
    sessions.add(session);
    socket.on('data', chunk => session.post({type: 'data', chunk}));
    socket.on('error', error =>
      options.log.debug('link-error', {reason: error.message}),
    );
    socket.on('close', () => {
      writers.delete(socket);
      sessions.delete(session);
      holders.delete(socket);
      intake?.budget.release(holder, holder.heldBytes);
      void session.stop();
    });
  }

  const removeCheck = intake?.addCheck(nowMs => {
    for (const [socket, {progressMs}] of holders) {
      if (progressMs === undefined) continue;
      if (nowMs - progressMs <= FRAME_STALL_TIMEOUT_MS) continue;
      intake.refused('body-slow');
      socket.destroy();
    }
  });
  const server = createServer({noDelay: true}, accept);
  await listen(server, options.host, options.port);
  const address = server.address();
  return {
    port: typeof address === 'object' && address ? address.port : options.port,
    broadcast(kind, body) {
      const frame = encodeFrame({type: 'post', kind, body});
      for (const session of sessions) session.post({type: 'send', frame});
    },
    async stop() {
      removeCheck?.();
      const closed = new Promise<void>(resolve =>
        server.close(() => resolve()),
      );
      for (const [socket, writer] of writers) {
        writer.flush();
        socket.destroy();
      }
      await closed;
    },
  };
}

function listen(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

function spawnSession(
  options: LinkServerOptions,
  socket: Socket,
  writer: FrameWriter,
  holder: FrameHolder,
  name: string,
): Task<TaskMessage> {
  const {intake} = options;
  const decoder = createFrameDecoder(
    intake && {
      reserve: bytes =>
        !socket.destroyed && intake.budget.reserve(holder, bytes),
      release: bytes => intake.budget.release(holder, bytes),
    },
  );
  socket.setTimeout(ACCEPTED_IDLE_TIMEOUT_MS, () => {
    const {bytesRead} = socket;
    afterInput(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  });

  /** Answers may wait for others of the same turn, other messages may not. */
  function send(message: LinkMessage): void {
    const frame = encodeFrame(message);
    const isAnswer = message.type === 'reply' || message.type === 'failure';
    if (isAnswer) writer.write(frame);
    else writer.writeSoon(frame);
  }

  function answerRequest(from: string, id: number, body: unknown): void {
    options.onRequest(from, body).then(
      reply => send({type: 'reply', id, body: reply}),
      (error: Error) => send({type: 'failure', id, reason: error.message}),
    );
  }

  function handleMessage(
    session: PeerSession,
    message: LinkMessage,
  ): PeerSession {
    switch (message.type) {
      case 'hello': {
        const {kind, body} = options.initialPost();
        send({type: 'post', kind, body});
        intake?.connections.markUsed(socket);
        options.onPeerConnect?.(message.name);
        return {name: message.name};
      }
      case 'ping':
        send({type: 'pong'});
        return session;
      case 'request':
        answerRequest(session.name, message.id, message.body);
        return session;
      case 'post':
        options.onPost(session.name, message.kind, message.body);
        return session;
      default:
        return session;
    }
  }

  return options.tasks.spawn<PeerSession, TaskMessage>({
    name,
    initial: {name: ''},
    handle(session, message) {
      if (message.type === 'send') writer.writeSoon(message.frame);
      if (message.type !== 'data' || socket.destroyed) return session;
      try {
        const values = decoder.push(message.chunk);
        if (intake) {
          const {length} = message.chunk;
          const isPartial = decoder.isPartial();
          addProgress(holder, isPartial, values.length, length, intake.nowMs());
        }
        return values
          .map(value => LinkMessage.parse(value))
          .reduce(handleMessage, session);
      } catch (error) {
        if (error instanceof FrameRoomError) intake?.refused('budget');
        options.log.warn('link-refused', {
          peer: session.name,
          reason: (error as Error).message,
        });
        socket.destroy();
        return session;
      }
    },
  });
}
