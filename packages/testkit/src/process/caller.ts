/** Calls through entry hosts, recorded in the history. */
import {parseKey, verdictSchema, type Verdict} from '@lentildrift/model';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import type {History} from '../history.js';
import {LOOPBACK} from './port.js';

const CALL_TIMEOUT_MS = 40_000;
const PAUSE_MS = 20;

export interface CallOptions {
  readonly entry: {readonly name: string; readonly port: number};
  readonly route: string;
  readonly team: string;
  /** Text of the key. */
  readonly key: string;
  readonly workMs?: number;
  /** Idempotency key of a request that must run at most once. */
  readonly idempotencyKey?: string;
}

export interface CallResult {
  /** 0 when the connection broke. */
  readonly status: number;
  readonly verdict: Verdict | undefined;
  readonly body: string;
}

export interface Caller {
  call(options: CallOptions): Promise<CallResult>;
  /** Calls in a loop on each entry host in turn; the function ends it. */
  startLoad(
    next: () => CallOptions,
    callers: number,
  ): () => Promise<readonly CallResult[]>;
  stop(): Promise<void>;
}

export function createCaller(history: History): Caller {
  const agent = new Agent({connections: 256, pipelining: 1});
  let calls = 0;

  async function call(options: CallOptions): Promise<CallResult> {
    const {entry, route, team, key, workMs = 0, idempotencyKey: once} = options;
    const id = `call-${++calls}`;
    const keyId = parseKey(key)?.id;
    const sent = {call: id, entry: entry.name, team, keyId, once};
    history.record({type: 'call-sent', ...sent});
    try {
      const answer = await request(
        `http://${LOOPBACK}:${entry.port}/call/${route}/x`,
        {
          method: once === undefined ? 'GET' : 'POST',
          dispatcher: agent,
          signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
          headers: {
            authorization: `Bearer ${key}`,
            'test-call': id,
            'test-entry': entry.name,
            'test-team': team,
            'test-work-ms': String(workMs),
            ...(once === undefined ? {} : {'idempotency-key': once}),
          },
        },
      );
      const body = await answer.body.text();
      const {headers, statusCode: status} = answer;
      const told = headers['lentildrift-verdict'];
      const verdict = verdictSchema.parse(told ?? 'ran');
      const answerTo = headers['test-answer-to'] as string | undefined;
      history.record({
        type: 'call-answered',
        call: id,
        status,
        verdict,
        whole: answerTo === undefined || isWhole(body),
        answerTo,
      });
      return {status, verdict, body};
    } catch {
      history.record({type: 'call-broken', call: id});
      return {status: 0, verdict: undefined, body: ''};
    }
  }

  function load(next: () => CallOptions, callers: number) {
    const results: CallResult[] = [];
    let ended = false;
    const run = async () => {
      while (!ended) {
        results.push(await call(next()));
        await sleep(PAUSE_MS);
      }
    };
    const all = Promise.all(Array.from({length: callers}, run));
    return async () => {
      ended = true;
      await all;
      return results;
    };
  }

  return {call, startLoad: load, stop: () => agent.destroy()};
}

function isWhole(body: string): boolean {
  try {
    JSON.parse(body);
    return true;
  } catch {
    return false;
  }
}
