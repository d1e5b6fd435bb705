/** Upstreams that record when work begins and ends, and connections to them. */
import {
  Connection,
  Connector,
  type Attempt,
  type AttemptEvents,
  type AttemptRequest,
} from '@lentildrift/entry';
import type {Announcement} from '@lentildrift/model';
import type {History} from '../history.js';
import type {Network} from './network.js';
import {runOutsideProcess, type SimulatedProcess} from './process.js';

const CONNECT_TIMEOUT_MS = 1000;
const LEASE_MS = 10_000;

/** Headers that tell an upstream what to do with a call. */
export const CALL_HEADER = 'x-call';
export const RUN_TIME_HEADER = 'x-run-ms';
/** Where the upstream breaks the connection: before or in its answer. */
export const BREAK_HEADER = 'x-break';

/** The whole answer to a call. */
export function formatAnswer(call: string): string {
  return `answer to ${call}.`;
}

/** The call that an answer names, and whether the answer is whole. */
export function parseAnswer(text: string): {call: string; whole: boolean} {
  const match = /^answer to ([^.]*)(\.?)/.exec(text);
  return {call: match?.[1] ?? '', whole: match?.[2] === '.'};
}

export interface Upstream {
  readonly name: string;
  readonly address: string;
  readonly pool: string;
  readonly service: string;
  isUp: boolean;
  hasLeft: boolean;
  incarnation: number;
  sequence: number;
}

export function createUpstream(
  index: number,
  pool: string,
  service: string,
): Upstream {
  const name = `u${index + 1}`;
  const address = `10.0.0.${index + 1}:80`;
  const rest = {isUp: true, hasLeft: false, incarnation: 1, sequence: 0};
  return {name, address, pool, service, ...rest};
}

/** The next announcement of the upstream. */
export function nextAnnouncement(upstream: Upstream): Announcement {
  const {name, address, pool, service, incarnation} = upstream;
  const sequence = ++upstream.sequence;
  const place = {pool, service, host: name, address};
  return {...place, incarnation, sequence, leaseMs: LEASE_MS};
}

export interface UpstreamContext {
  readonly network: Network;
  readonly history: History;
  readonly upstreams: readonly Upstream[];
  /** Name and process of the entry host, and the tables it holds. */
  readonly entry: string;
  readonly process: SimulatedProcess;
  version(): number;
  teamOf(call: string): string;
}

function headerOf(headers: readonly string[], name: string) {
  const at = headers.indexOf(name);
  return at < 0 ? undefined : headers[at + 1];
}

class ConnectError extends Error {
  readonly syscall = 'connect';
}

export class FakeConnector extends Connector {
  constructor(private readonly context: UpstreamContext) {
    super();
  }

  override connect(address: string): Connection {
    const upstream = this.context.upstreams.find(u => u.address === address);
    return new FakeConnection(this.context, upstream);
  }
}

class FakeConnection extends Connection {
  destroyed = false;
  private connected = false;

  constructor(
    private readonly context: UpstreamContext,
    private readonly upstream: Upstream | undefined,
  ) {
    super();
  }

  override async destroy(): Promise<void> {
    this.destroyed = true;
  }

  override send(request: AttemptRequest, events: AttemptEvents): Attempt {
    const {context, upstream} = this;
    const {network, process, entry} = context;
    let written = false;
    let over = false;
    let stopRun: (() => void) | undefined;

    const close = () => {
      this.destroyed = true;
      stopRun?.();
      setImmediate(() => events.onClosed());
    };
    const fail = (error: Error) => {
      if (over) return;
      over = true;
      clearTimeout(timer);
      events.onEnd({error, written});
      close();
    };
    const answer = (whole: boolean, text: string) => {
      if (over) return;
      if (text !== '') {
        events.onHeaders(200, []);
        events.onData(Buffer.from(text));
      }
      if (!whole) return fail(new Error('connection reset'));
      over = true;
      events.onEnd();
      events.onClosed();
    };
    const write = () => {
      if (over) return;
      clearTimeout(timer);
      this.connected = true;
      if (!events.canSend()) return fail(new Error('not to be sent'));
      written = true;
      network.sendInOrder(entry, upstream!.name, () => {
        if (over || process.hasExited || !upstream!.isUp) return;
        if (stopRun) return;
        stopRun = run(context, upstream!, request, (whole, text) =>
          network.sendInOrder(upstream!.name, entry, () =>
            process.dispatch(() => answer(whole, text)),
          ),
        );
        process.onExit(stopRun);
      });
    };
    const refuse = () => fail(new ConnectError('connection refused'));
    const timer = setTimeout(refuse, CONNECT_TIMEOUT_MS);
    if (this.connected) write();
    else if (upstream) {
      network.sendInOrder(entry, upstream.name, () =>
        network.sendInOrder(upstream.name, entry, () =>
          process.dispatch(upstream.isUp ? write : refuse),
        ),
      );
    }
    return {
      hasWritten: () => written,
      resume: () => undefined,
      abort: () => {
        if (over) return;
        over = true;
        clearTimeout(timer);
        close();
      },
    };
  }
}

/** Executes a request; returns what ends the work early. */
function run(
  context: UpstreamContext,
  upstream: Upstream,
  {headers}: AttemptRequest,
  onEnd: (whole: boolean, text: string) => void,
): () => void {
  const {history} = context;
  const call = headerOf(headers, CALL_HEADER) ?? '';
  const team = context.teamOf(call);
  let running = true;
  history.record({
    type: 'run-began',
    call,
    upstream: upstream.name,
    entry: context.entry,
    team,
    version: context.version(),
  });
  const stop = () => {
    if (!running) return;
    running = false;
    history.record({type: 'run-ended', call, upstream: upstream.name});
  };
  runOutsideProcess(() => {
    setTimeout(
      () => {
        if (!running) return;
        stop();
        const broken = headerOf(headers, BREAK_HEADER);
        const text = broken === 'before-answer' ? '' : formatAnswer(call);
        onEnd(!broken, broken === 'in-answer' ? text.slice(0, -2) : text);
      },
      Number(headerOf(headers, RUN_TIME_HEADER) ?? 10),
    );
  });
  return stop;
}
