/**
 * Forwards a call to an upstream: makes attempts as far as the route permits
 * retries, enforces the deadline and relays the response.
 */
import {refuse, type Refusal, type Verdict} from '@lentildrift/model';
import {pass, stopWith, type StepResult} from '@lentildrift/pipe';
import type {Task} from '@lentildrift/task';
import {BodyTooLarge, refuseLargeBody, streamBody} from './body.js';
import type {Attempt, AttemptFailure} from './connection.js';
import {extend, type Forwarded, type Selected} from './exchange.js';
import {filterRequestHeaders} from './header.js';
import {createRelay} from './relay.js';
import type {EntryRules} from './rules.js';
import {
  isLease,
  type Lease,
  type LeaseOutcome,
  type UpstreamMessage,
} from './upstream.js';

/** Most attempts of one call, each at another upstream. */
const MAX_ATTEMPTS = 3;

export interface ForwardContext {
  readonly upstreams: Task<UpstreamMessage>;
  readonly rules: EntryRules;
  /**
   * Returns a refusal if the call must no longer be sent. Called immediately
   * before the first byte is written.
   */
  revalidate(exchange: Selected): Refusal | undefined;
  /** Returns another lease for the call, at none of the addresses `tried`. */
  reselect(
    exchange: Selected,
    tried: readonly string[],
  ): Promise<Lease | Refusal>;
}

/** Forwards a call; resolves when the call has ended. */
export function forward(
  context: ForwardContext,
  exchange: Selected,
): Promise<StepResult<Forwarded>> {
  return new Promise(resolve => forwardCall(context, exchange, resolve));
}

function forwardCall(
  context: ForwardContext,
  exchange: Selected,
  resolve: (step: StepResult<Forwarded>) => void,
): void {
  const {request, response, route} = exchange;
  const method = request.method!;
  const relay = createRelay(exchange);
  const upstreamRequest = {
    method,
    path: exchange.path,
    headers: filterRequestHeaders(request.rawHeaders),
    body: streamBody(request, route.maxBodyBytes),
  };
  const triedAddresses: string[] = [];
  let attempt: Attempt | undefined;
  let heldLeases = 0;
  let mayHaveRun = false;
  let ended = false;
  let revalidationRefusal: Refusal | undefined;

  const remainingMs = exchange.arrivedMs + route.timeoutMs - performance.now();
  const deadline = setTimeout(onDeadline, Math.max(0, remainingMs));
  response.once('close', onCallerClose);
  if (response.destroyed || remainingMs <= 0) {
    releaseUnused(exchange.lease);
    if (response.destroyed) onCallerClose();
    else onDeadline();
  } else send(exchange.lease);

  function send(lease: Lease): void {
    let outcome: LeaseOutcome = 'unused';
    heldLeases += 1;
    triedAddresses.push(lease.address);
    const current = lease.connection.send(upstreamRequest, {
      canSend() {
        revalidationRefusal = ended ? undefined : context.revalidate(exchange);
        if (!ended && !revalidationRefusal) outcome = 'reached';
        return !ended && !revalidationRefusal;
      },
      onHeaders: (status, headers) => relay.onHeaders(status, headers),
      onData: chunk => relay.onData(chunk, () => current.resume()),
      onEnd(failure) {
        if (!failure) return relay.onEnd();
        mayHaveRun ||= failure.written;
        if (isUnreachable(failure)) outcome = 'unreachable';
        void onFailure(failure);
      },
      onClosed() {
        heldLeases -= 1;
        context.upstreams.post({type: 'release', lease, outcome});
        releaseWhenDone();
      },
    });
    attempt = current;
  }

  async function onFailure(failure: AttemptFailure): Promise<void> {
    if (ended) return;
    if (relay.hasStarted()) return finishTruncated();
    if (revalidationRefusal) return finish(stopWith(revalidationRefusal));
    const refusal = createFailureRefusal(failure);
    const {body} = upstreamRequest;
    const canResendBody =
      body === null || (!failure.written && !body.destroyed);
    const isRetryableFailure = isUnreachable(failure) || failure.written;
    const mayResend = !failure.written || context.rules.canRetry(route, method);
    const hasAttemptsLeft = triedAddresses.length < MAX_ATTEMPTS;
    if (
      !canResendBody ||
      !isRetryableFailure ||
      !mayResend ||
      !hasAttemptsLeft
    ) {
      return finish(stopWith(refusal));
    }
    const nextLease = await context.reselect(exchange, triedAddresses);
    if (ended) return releaseUnused(nextLease);
    if (!isLease(nextLease)) return finish(stopWith(refusal));
    send(nextLease);
  }

  function releaseUnused(lease: Lease | Refusal): void {
    if (!isLease(lease)) return;
    context.upstreams.post({type: 'release', lease, outcome: 'unused'});
  }

  function createFailureRefusal(failure: AttemptFailure): Refusal {
    const verdict = context.rules.verdictWithoutResponse(mayHaveRun);
    const {error} = failure;
    if (upstreamRequest.body?.errored instanceof BodyTooLarge) {
      return {...refuseLargeBody(route.maxBodyBytes), verdict};
    }
    const {code} = error as {code?: string};
    if (code === 'UND_ERR_INVALID_ARG' || code === 'UND_ERR_NOT_SUPPORTED') {
      return refuse('malformed', error.message, {verdict});
    }
    return refuse('upstream-failed', 'the upstream failed', {verdict});
  }

  function currentVerdict(): Verdict {
    return context.rules.verdictWithoutResponse(
      mayHaveRun || attempt?.hasWritten() === true,
    );
  }

  function onDeadline(): void {
    if (relay.hasStarted()) return finishTruncated();
    const verdict = currentVerdict();
    const text = `no answer within ${route.timeoutMs} ms`;
    finish(stopWith(refuse('timeout', text, {verdict})));
  }

  function onCallerClose(): void {
    if (ended) return;
    exchange.facts.callerLeft = !response.writableFinished;
    if (relay.hasEnded()) {
      const complete = response.writableFinished;
      return finish(pass(extend(exchange, relay.result(complete))));
    }
    if (relay.hasStarted()) return finishTruncated();
    const verdict = currentVerdict();
    finish(stopWith(refuse('upstream-failed', 'the caller left', {verdict})));
  }

  /**
   * Ends a call whose response broke off. Closing the caller's connection keeps
   * the caller from taking the truncated response for a complete one.
   */
  function finishTruncated(): void {
    if (context.rules.closesOnTruncatedResponse()) response.destroy();
    else response.end();
    finish(pass(extend(exchange, relay.result(false))));
  }

  function finish(step: StepResult<Forwarded>): void {
    if (ended) return;
    ended = true;
    clearTimeout(deadline);
    attempt?.abort();
    upstreamRequest.body?.destroy();
    releaseWhenDone();
    resolve(step);
  }

  function releaseWhenDone(): void {
    if ((ended || relay.hasEnded()) && heldLeases === 0) exchange.release();
  }
}

/** Whether the failure proves that no connection was established. */
function isUnreachable(failure: AttemptFailure): boolean {
  if (failure.written) return false;
  const {code, syscall} = failure.error as {code?: string; syscall?: string};
  return (
    syscall === 'connect' ||
    code === 'UND_ERR_CONNECT_TIMEOUT' ||
    code === 'UND_ERR_SOCKET'
  );
}
