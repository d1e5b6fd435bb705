/** Requests and responses of `node:http` without a socket. */
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

class FakeRequest extends Readable {
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

/** Ends with `onEnd`: the answer, or nothing if the connection broke. */
class FakeResponse extends EventEmitter {
  headersSent = false;
  destroyed = false;
  writableFinished = false;
  private status = 0;
  private headers: Record<string, string> = {};
  private body = '';

  constructor(private readonly onEnd: (answered?: CompletedResponse) => void) {
    super();
  }

  setHeader(): void {}
  flushHeaders(): void {}

  writeHead(status: number, headers: string[] | Record<string, string> = {}) {
    this.status = status;
    this.headersSent = true;
    this.headers = Array.isArray(headers) ? pairs(headers) : headers;
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

  private close(answered?: CompletedResponse): void {
    this.destroyed = true;
    this.onEnd(answered);
    setImmediate(() => this.emit('close'));
  }
}

function pairs(raw: readonly string[]): Record<string, string> {
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

/** Takes requests in place of a listening socket. */
export class FakeServer {
  private handle?: (request: IncomingMessage, response: ServerResponse) => void;
  private listening = false;
  private readonly open = new Set<FakeResponse>();
  private onIdle?: () => void;

  /** Stands in for the listener of an entry host. */
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

  /** Returns false if the connection is refused. */
  send(
    request: HttpRequest,
    onEnd: (answered?: CompletedResponse) => void,
  ): boolean {
    if (!this.listening) return false;
    const {method, url, headers, body = ''} = request;
    const response = new FakeResponse(answered => {
      this.open.delete(response);
      onEnd(answered);
      if (this.open.size === 0) this.onIdle?.();
    });
    this.open.add(response);
    this.handle!(
      new FakeRequest(method, url, headers, body) as unknown as IncomingMessage,
      response as unknown as ServerResponse,
    );
    return true;
  }

  /** Breaks every open connection. */
  breakConnections(): void {
    this.listening = false;
    for (const response of [...this.open]) response.destroy();
  }

  private async drain(limitMs: number): Promise<number> {
    this.listening = false;
    if (this.open.size > 0 && limitMs > 0) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, limitMs);
        this.onIdle = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    const left = this.open.size;
    this.breakConnections();
    return left;
  }
}
