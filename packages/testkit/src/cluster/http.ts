/** Fakes of the `node:http` server, request and response, without sockets. */
import type {Listener} from '@lentildrift/entry';
import type {TaskSystem} from '@lentildrift/task';
import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Readable} from 'node:stream';

export interface CompletedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

class FakeIncomingMessage extends Readable {
  readonly method = 'POST' as string;
  readonly rawHeaders: string[];
  readonly headers: Record<string, string>;
  readonly complete = true;
  readonly socket = {destroy: () => undefined};

  constructor(
    method: string,
    readonly url: string,
    headers: Record<string, string>,
    body: string,
  ) {
    super({read: () => undefined});
    this.method = method;
    const length = {'content-length': String(Buffer.byteLength(body))};
    this.headers = {...headers, ...length};
    this.rawHeaders = Object.entries(this.headers).flat();
    if (body !== '') this.push(body);
    this.push(null);
  }

  override iterator() {
    return this[Symbol.asyncIterator]();
  }
}

/** Calls `onEnd` with the response, or without one if the connection broke. */
class FakeServerResponse extends EventEmitter {
  headersSent = false;
  destroyed = false;
  writableFinished = false;
  private status = 0;
  private headers: Record<string, string> = {};
  private body = '';

  constructor(private readonly onEnd: (completed?: CompletedResponse) => void) {
    super();
  }

  setHeader(): void {}
  flushHeaders(): void {}

  writeHead(status: number, headers: string[] | Record<string, string> = {}) {
    this.status = status;
    this.headersSent = true;
    this.headers = Array.isArray(headers) ? toHeaders(headers) : headers;
    return this;
  }

  write(chunk: Buffer | string): boolean {
    this.body += chunk.toString();
    return true;
  }

  end(chunk?: Buffer | string): void {
    if (this.destroyed) return;
    if (chunk !== undefined) this.write(chunk);
    this.writableFinished = true;
    this.close({status: this.status, headers: this.headers, body: this.body});
  }

  destroy(): void {
    if (!this.destroyed) this.close();
  }

  private close(completed?: CompletedResponse): void {
    this.destroyed = true;
    this.onEnd(completed);
    setImmediate(() => this.emit('close'));
  }
}

function toHeaders(raw: readonly string[]): Record<string, string> {
  const result: Record<string, string> = {};
  for (let i = 0; i < raw.length; i += 2) result[raw[i]!] = raw[i + 1]!;
  return result;
}

export interface HttpRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: Record<string, string>;
  readonly body?: string;
}

/** Passes requests to the handler of an entry host without a listening socket. */
export class FakeServer {
  private handle?: (request: IncomingMessage, response: ServerResponse) => void;
  private listening = false;
  private readonly openResponses = new Set<FakeServerResponse>();
  private onIdle?: () => void;

  /** Creates the listener of an entry host. */
  readonly createListener = (
    _tasks: TaskSystem,
    handle: (request: IncomingMessage, response: ServerResponse) => void,
  ): Listener => {
    this.handle = handle;
    return {
      listen: async () => {
        this.listening = true;
        return 0;
      },
      drain: limitMs => this.drain(limitMs),
    };
  };

  /** Sends a request; returns false if the connection is refused. */
  send(
    request: HttpRequest,
    onEnd: (completed?: CompletedResponse) => void,
  ): boolean {
    if (!this.listening) return false;
    const {method, url, headers, body = ''} = request;
    const response = new FakeServerResponse(completed => {
      this.openResponses.delete(response);
      onEnd(completed);
      if (this.openResponses.size === 0) this.onIdle?.();
    });
    this.openResponses.add(response);
    this.handle!(
      new FakeIncomingMessage(
        method,
        url,
        headers,
        body,
      ) as unknown as IncomingMessage,
      response as unknown as ServerResponse,
    );
    return true;
  }

  /** Breaks every open connection. */
  breakConnections(): void {
    this.listening = false;
    for (const response of [...this.openResponses]) response.destroy();
  }

  private async drain(limitMs: number): Promise<number> {
    this.listening = false;
    if (this.openResponses.size > 0 && limitMs > 0) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, limitMs);
        this.onIdle = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    const left = this.openResponses.size;
    this.breakConnections();
    return left;
  }
}
