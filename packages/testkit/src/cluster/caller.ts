/** Callers, who resend what certainly did not run or may be repeated. */
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
  /** Entry host; absent means any that is up, as the load balancer chooses. */
  readonly entry?: string;
  /** Times that a request with an idempotency key is sent again. */
  readonly resends: number;
  readonly once: boolean;
  readonly breaks?: 'before-answer' | 'in-answer';
}

interface HeldKey {
  readonly id: string;
  readonly text: string;
}

export interface CallerContext {
  readonly history: History;
  readonly random: Random;
  readonly entries: readonly EntryHost[];
  /** The key that the team's callers show now. */
  keyOf(team: string): HeldKey;
}

export interface CallResult {
  readonly status: number;
  readonly verdict: Verdict | 'broken';
}

export interface Callers {
  send(spec: CallSpec): void;
  /** The last result of a call by its ID. */
  result(id: string): CallResult | undefined;
  teamOf(call: string): string;
  /** Calls that an upstream answered. */
  answeredCount(): number;
}

export function createCallers(context: CallerContext): Callers {
  const {history, random} = context;
  const teams = new Map<string, string>();
  const requests = new Map<string, string>();
  const results = new Map<string, CallResult>();
  let count = 0;
  let answered = 0;

  function pick(spec: CallSpec, attempt: number): EntryHost | undefined {
    const {entries} = context;
    if (spec.entry !== undefined && attempt === 0) {
      return entries.find(({name}) => name === spec.entry);
    }
    const up = entries.filter(({entry, stopping}) => entry && !stopping);
    return up.length > 0 ? random.pick(up) : undefined;
  }

  function send(spec: CallSpec): void {
    const request = spec.id ?? `call-${++count}`;
    runOutsideProcess(() => sendOnce(spec, request, 0));
  }

  function sendOnce(spec: CallSpec, request: string, attempt: number): void {
    const host = pick(spec, attempt);
    if (!host) return;
    const {team, route} = spec;
    const call = attempt === 0 ? request : `${request}-${attempt}`;
    const key = context.keyOf(team);
    const safe = spec.method === 'GET' && !spec.once;
    // A call that is not safe to repeat runs at most once, with a key or not.
    const once = safe ? undefined : spec.once ? request : call;
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
    // A refused connection is no call that was cut.
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
    const again = spec.once && result.verdict !== 'ran';
    if (!again || attempt >= spec.resends) return;
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
    const named = parseAnswer(body);
    // A kept response answers every sending of its request.
    const same = requests.get(named.call) === requests.get(call);
    history.record({
      type: 'call-answered',
      call,
      status,
      verdict,
      whole: !fromUpstream || named.whole,
      ...(fromUpstream ? {answerTo: same ? call : named.call} : {}),
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
