/**
 * Forwards a call: attempts within the rules on repetition, the deadline, and
 * the passing on of the response.
 */
import {refuse, type Refusal, type Verdict} from '@lentildrift/model';
import {pass, stopWith, type StepResult} from '@lentildrift/pipe';
import type {Task} from '@lentildrift/task';
import {BodyTooLarge, refuseBody, streamBody} from './body.js';
import type {Attempt, AttemptFailure} from './connection.js';
import {extend, type Forwarded, type Selected} from './exchange.js';
import {requestHeaders} from './header.js';
import {createRelay} from './relay.js';
import type {EntryRules} from './rules.js';
import {
  isLease,
  type Lease,
  type LeaseOutcome,
  type UpstreamMessage,
} from './upstream.js';

/** Further upstreams that one call may try. */
const MAX_ATTEMPTS = 3;

export interface ForwardContext {
  readonly upstreams: Task<UpstreamMessage>;
  readonly rules: EntryRules;
  /** Why the call may not be sent any more; asked before the first byte. */
  recheck(exchange: Selected): Refusal | undefined;
  /** Another lease for the call, on none of the addresses tried. */
  reselect(
    exchange: Selected,
    tried: readonly string[],
  ): Promise<Lease | Refusal>;
}

export function forward(
  context: ForwardContext,
  exchange: Selected,
): Promise<StepResult<Forwarded>> {
  return new Promise(resolve => runForward(context, exchange, resolve));
}

function runForward(
  context: ForwardContext,
  exchange: Selected,
  resolve: (step: StepResult<Forwarded>) => void,
): void {
  const {request, response, route} = exchange;
  const method = request.method!;
  const relay = createRelay(exchange);
  const outgoing = {
    method,
    path: exchange.path,
    headers: requestHeaders(request.rawHeaders),
    body: streamBody(request, route.maxBodyBytes),
  };
  const tried: string[] = [];
  let attempt: Attempt | undefined;
  let openLeases = 0;
  let mayHaveRun = false;
  let ended = false;
  let refused: Refusal | undefined;

  const leftMs = exchange.arrivedMs + route.timeoutMs - performance.now();
  const deadline = setTimeout(onDeadline, Math.max(0, leftMs));
  response.once('close', onCallerGone);
  if (response.destroyed || leftMs <= 0) {
    returnUnused(exchange.lease);
    if (response.destroyed) onCallerGone();
    else onDeadline();
  } else send(exchange.lease);

  function send(lease: Lease): void {
    let outcome: LeaseOutcome = 'unused';
    openLeases += 1;
    tried.push(lease.address);
    const current = lease.connection.send(outgoing, {
      mayStart() {
        refused = ended ? undefined : context.recheck(exchange);
        if (!ended && !refused) outcome = 'reached';
        return !ended && !refused;
      },
      head: (status, headers) => relay.head(status, headers),
      data: chunk => relay.data(chunk, () => current.resume()),
      end(failure) {
        if (!failure) return relay.end();
        mayHaveRun ||= failure.written;
        if (isUnreachable(failure)) outcome = 'unreachable';
        void onFailure(failure);
      },
      closed() {
        openLeases -= 1;
        context.upstreams.post({type: 'release', lease, outcome});
        releaseWhenDone();
      },
    });
    attempt = current;
  }

  async function onFailure(failure: AttemptFailure): Promise<void> {
    if (ended) return;
    if (relay.started()) return finishBroken();
    if (refused) return finish(stopWith(refused));
    const refusal = failureRefusal(failure);
    const {body} = outgoing;
    const intact = body === null || (!failure.written && !body.destroyed);
    const allowed = isUnreachable(failure) || failure.written;
    const repeatable =
      !failure.written || context.rules.mayRepeat(route, method);
    const more = tried.length < MAX_ATTEMPTS;
    if (!intact || !allowed || !repeatable || !more) {
      return finish(stopWith(refusal));
    }
    const next = await context.reselect(exchange, tried);
    if (ended) return returnUnused(next);
    if (!isLease(next)) return finish(stopWith(refusal));
    send(next);
  }

  function returnUnused(lease: Lease | Refusal): void {
    if (!isLease(lease)) return;
    context.upstreams.post({type: 'release', lease, outcome: 'unused'});
  }

  function failureRefusal(failure: AttemptFailure): Refusal {
    const verdict = context.rules.verdict(mayHaveRun);
    const {error} = failure;
    if (outgoing.body?.errored instanceof BodyTooLarge) {
      return {...refuseBody(route.maxBodyBytes), verdict};
    }
    const {code} = error as {code?: string};
    if (code === 'UND_ERR_INVALID_ARG' || code === 'UND_ERR_NOT_SUPPORTED') {
      return refuse('malformed', error.message, {verdict});
    }
    return refuse('upstream-failed', 'the upstream failed', {verdict});
  }

  function verdictNow(): Verdict {
    return context.rules.verdict(mayHaveRun || attempt?.written() === true);
  }

  function onDeadline(): void {
    if (relay.started()) return finishBroken();
    const verdict = verdictNow();
    const text = `no answer within ${route.timeoutMs} ms`;
    finish(stopWith(refuse('timeout', text, {verdict})));
  }

  function onCallerGone(): void {
    if (ended) return;
    exchange.facts.callerLeft = !response.writableFinished;
    if (relay.ended()) {
      const complete = response.writableFinished;
      return finish(pass(extend(exchange, relay.result(complete))));
    }
    if (relay.started()) return finishBroken();
    const verdict = verdictNow();
    finish(stopWith(refuse('upstream-failed', 'the caller left', {verdict})));
  }

  /** Closes the caller's connection, so that no response looks complete. */
  function finishBroken(): void {
    if (context.rules.breaksCaller()) response.destroy();
    else response.end();
    finish(pass(extend(exchange, relay.result(false))));
  }

  function finish(step: StepResult<Forwarded>): void {
    if (ended) return;
    ended = true;
    clearTimeout(deadline);
    attempt?.abort();
    outgoing.body?.destroy();
    releaseWhenDone();
    resolve(step);
  }

  function releaseWhenDone(): void {
    if ((ended || relay.ended()) && openLeases === 0) exchange.release();
  }
}

/** Failures that prove that no connection was made. */
function isUnreachable(failure: AttemptFailure): boolean {
  if (failure.written) return false;
  const {code, syscall} = failure.error as {code?: string; syscall?: string};
  return (
    syscall === 'connect' ||
    code === 'UND_ERR_CONNECT_TIMEOUT' ||
    code === 'UND_ERR_SOCKET'
  );
}
