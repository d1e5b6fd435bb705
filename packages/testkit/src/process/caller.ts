/** Sends calls through entry hosts and records each one in the history. */
import {parseKey, verdictSchema, type Verdict} from '@lentildrift/model';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import type {History} from '../history.js';
import {LOOPBACK} from './port.js';

const CALL_TIMEOUT_MS = 40_000;
const PAUSE_BETWEEN_CALLS_MS = 20;

export interface CallOptions {
  readonly entry: {readonly name: string; readonly port: number};
  readonly route: string;
  readonly team: string;
  /** API key of the team, as sent in the `Authorization` header. */
  readonly key: string;
  /** Time that the upstream takes to answer, in milliseconds; 0 by default. */
  readonly workMs?: number;
  /** Idempotency key of a request that must run at most once. */
  readonly idempotencyKey?: string;
}

export interface CallResult {
  /** HTTP status; 0 if the connection broke or the call timed out. */
  readonly status: number;
  /** Undefined if the connection broke or the call timed out. */
  readonly verdict: Verdict | undefined;
  readonly body: string;
}

export interface Caller {
  call(options: CallOptions): Promise<CallResult>;
  /**
   * Runs `callers` loops that each send the call which `next` returns. The
   * returned function stops the loops and resolves with all results.
   */
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
    const {entry, route, team, key, workMs = 0, idempotencyKey} = options;
    const id = `call-${++calls}`;
    const keyId = parseKey(key)?.id;
    const sent = {
      call: id,
      entry: entry.name,
      team,
      keyId,
      once: idempotencyKey,
    };
    history.record({type: 'call-sent', ...sent});
    try {
      const answer = await request(
        `http://${LOOPBACK}:${entry.port}/call/${route}/x`,
        {
          method: idempotencyKey === undefined ? 'GET' : 'POST',
          dispatcher: agent,
          signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
          headers: {
            authorization: `Bearer ${key}`,
            'test-call': id,
            'test-entry': entry.name,
            'test-team': team,
            'test-work-ms': String(workMs),
            ...(idempotencyKey === undefined
              ? {}
              : {'idempotency-key': idempotencyKey}),
          },
        },
      );
      const body = await answer.body.text();
      const {headers, statusCode: status} = answer;
      const verdictHeader = headers['lentildrift-verdict'];
      const verdict = verdictSchema.parse(verdictHeader ?? 'ran');
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

  function startLoad(next: () => CallOptions, callers: number) {
    const results: CallResult[] = [];
    let stopped = false;
    const runLoop = async () => {
      while (!stopped) {
        results.push(await call(next()));
        await sleep(PAUSE_BETWEEN_CALLS_MS);
      }
    };
    const loops = Promise.all(Array.from({length: callers}, runLoop));
    return async () => {
      stopped = true;
      await loops;
      return results;
    };
  }

  return {call, startLoad, stop: () => agent.destroy()};
}

/** Whether the body is complete, that is, valid JSON. */
function isWhole(body: string): boolean {
  try {
    JSON.parse(body);
    return true;
  } catch {
    return false;
  }
}
