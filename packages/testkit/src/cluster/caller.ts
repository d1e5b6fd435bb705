/**
 * Simulated callers, which resend requests that may be repeated: those with an
 * idempotency key whose verdict is not `ran`.
 */
import type {Verdict} from '@lentildrift/model';
import type {History} from '../history.js';
import type {EntryHost} from './entry.js';
import type {CompletedResponse} from './http.js';
import {runOutsideProcess} from './process.js';
import type {Random} from './random.js';
import {
  BREAK_HEADER,
  CALL_HEADER,
  RUN_TIME_HEADER,
  parseAnswer,
} from './upstream.js';

const RESEND_DELAY_MS = 200;

export interface CallSpec {
  readonly id?: string;
  readonly team: string;
  readonly route: string;
  readonly method: string;
  readonly runMs: number;
  /** Entry host; if absent, any running one, as a load balancer would pick. */
  readonly entry?: string;
  /** Maximum number of times that a request with an idempotency key is resent. */
  readonly resends: number;
  /** Whether the request has an idempotency key. */
  readonly once: boolean;
  /** Where the upstream breaks the connection; absent if it does not. */
  readonly breaks?: 'before-answer' | 'in-answer';
}

interface ApiKey {
  readonly id: string;
  readonly text: string;
}

export interface CallerContext {
  readonly history: History;
  readonly random: Random;
  readonly entries: readonly EntryHost[];
  /** The key that the callers of the team currently use. */
  currentKey(team: string): ApiKey;
}

export interface CallResult {
  readonly status: number;
  readonly verdict: Verdict | 'broken';
}

export interface Callers {
  send(spec: CallSpec): void;
  /** The result of the latest attempt of a request, by the ID of its spec. */
  result(id: string): CallResult | undefined;
  teamOf(call: string): string;
  /** Number of calls that an upstream answered. */
  answeredCount(): number;
}

export function createCallers(context: CallerContext): Callers {
  const {history, random} = context;
  const teams = new Map<string, string>();
  /** Request of each call; the attempts of a request are separate calls. */
  const requests = new Map<string, string>();
  const results = new Map<string, CallResult>();
  let count = 0;
  let answered = 0;

  function pickEntry(spec: CallSpec, attempt: number): EntryHost | undefined {
    const {entries} = context;
    if (spec.entry !== undefined && attempt === 0) {
      return entries.find(({name}) => name === spec.entry);
    }
    const running = entries.filter(({entry, stopping}) => entry && !stopping);
    return running.length > 0 ? random.pick(running) : undefined;
  }

  function send(spec: CallSpec): void {
    const request = spec.id ?? `call-${++count}`;
    runOutsideProcess(() => sendOnce(spec, request, 0));
  }

  function sendOnce(spec: CallSpec, request: string, attempt: number): void {
    const host = pickEntry(spec, attempt);
    if (!host) return;
    const {team, route} = spec;
    const call = attempt === 0 ? request : `${request}-${attempt}`;
    const key = context.currentKey(team);
    const isSafe = spec.method === 'GET' && !spec.once;
    // A call that is not safe to repeat must run at most once, with or without
    // an idempotency key.
    const once = isSafe ? undefined : spec.once ? request : call;
    teams.set(call, team);
    requests.set(call, request);
    const sent = {call, entry: host.name, team, keyId: key.id};
    history.record({type: 'call-sent', ...sent, ...(once ? {once} : {})});
    const headers = {
      host: 'entry',
      authorization: `Bearer ${key.text}`,
      [CALL_HEADER]: call,
      [RUN_TIME_HEADER]: String(spec.runMs),
      ...(spec.breaks ? {[BREAK_HEADER]: spec.breaks} : {}),
      ...(spec.once ? {'idempotency-key': request} : {}),
    };
    const url = `/call/${route}/`;
    const onEnd = (answer?: CompletedResponse) =>
      runOutsideProcess(() => finish(spec, request, attempt, call, answer));
    const {process, server} = host;
    if (!process || !server) return onEnd();
    let accepted = true;
    process.dispatch(() => {
      accepted = server.send({method: spec.method, url, headers}, onEnd);
    });
    // A refused connection does not count as a call that was interrupted.
    if (!accepted) onEnd({status: 503, headers: {}, body: ''});
  }

  function finish(
    spec: CallSpec,
    request: string,
    attempt: number,
    call: string,
    answer: CompletedResponse | undefined,
  ): void {
    const result = record(call, answer);
    results.set(request, result);
    const shouldResend = spec.once && result.verdict !== 'ran';
    if (!shouldResend || attempt >= spec.resends) return;
    setTimeout(() => sendOnce(spec, request, attempt + 1), RESEND_DELAY_MS);
  }

  function record(
    call: string,
    answer: CompletedResponse | undefined,
  ): CallResult {
    if (!answer) {
      history.record({type: 'call-broken', call});
      return {status: 0, verdict: 'broken'};
    }
    const {status, headers, body} = answer;
    const verdict = (headers['lentildrift-verdict'] ?? 'not-run') as Verdict;
    const fromUpstream = status === 200;
    const parsed = parseAnswer(body);
    // A recorded response answers every attempt of its request.
    const sameRequest = requests.get(parsed.call) === requests.get(call);
    history.record({
      type: 'call-answered',
      call,
      status,
      verdict,
      whole: !fromUpstream || parsed.whole,
      ...(fromUpstream ? {answerTo: sameRequest ? call : parsed.call} : {}),
    });
    if (fromUpstream) answered += 1;
    return {status, verdict};
  }

  return {
    send,
    result: id => results.get(id),
    teamOf: call => teams.get(call) ?? '',
    answeredCount: () => answered,
  };
}
