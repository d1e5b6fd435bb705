/**
 * Claims of idempotency keys, and cached first responses for duplicates of the
 * claimed requests.
 */
import {
  CLAIM_WINDOW_MS,
  claimId,
  refuse,
  type Refusal,
  type Verdict,
} from '@lentildrift/model';
import type {Log} from '@lentildrift/observe';
import {pass, stopWith, type StepResult} from '@lentildrift/pipe';
import type {
  ClaimResponse,
  ControlService,
  SettleRequest,
} from '@lentildrift/protocol';
import type {TaskSystem} from '@lentildrift/task';
import {randomUUID} from 'node:crypto';
import type {Cell} from './cell.js';
import {
  extend,
  type Admitted,
  type Claimed,
  type CachedResponse,
} from './exchange.js';
import {createResponseCache} from './response-cache.js';
import type {EntryRules} from './rules.js';

/** Claims that arrive within this time are sent to control as one batch. */
const BATCH_MS = 5;
const SETTLE_RETRY_MS = 1000;
const MAX_KEY_LENGTH = 200;
const RETRY_AFTER_MS = 1000;

/** How a claimed request ended. */
export interface ClaimOutcome {
  readonly verdict: Verdict;
  readonly status?: number;
  readonly cachedResponse?: CachedResponse;
}

export interface Claims {
  /** Claims the key of a request on a route marked `once`. */
  claim(exchange: Admitted): StepResult<Claimed> | Promise<StepResult<Claimed>>;
  /** Settles the claim of a request that has ended, if it holds one. */
  settle(exchange: Claimed, outcome: ClaimOutcome): void;
  stop(): Promise<void>;
}

/** A claim that control has not answered yet. */
interface PendingClaim {
  readonly team: string;
  readonly key: string;
  /** Unique ID, which tells this claim from other claims of the same key. */
  readonly attempt: string;
  /** Called without arguments when the key was claimed. */
  readonly answer: (refusal?: Refusal, cached?: CachedResponse) => void;
}

interface OpenClaim {
  readonly attempt: string;
  /** Session of the claim; absent until control has answered the claim. */
  readonly session?: string;
}

type Settlement = SettleRequest['claims'][number] & {readonly session: string};

type ClaimsMessage =
  | {type: 'add'; claim: PendingClaim}
  /** Sends pending claims and settlements to control. */
  | {type: 'flush'}
  /** The result of a batch of claims. */
  | {
      type: 'claimed';
      batch: readonly PendingClaim[];
      session: string;
      result: ClaimResult;
    }
  | {type: 'settle'; team: string; key: string; outcome: ClaimOutcome}
  /** Settlements that control did not accept; they are sent again later. */
  | {type: 'retry-settlements'; settlements: readonly Settlement[]};

type ClaimResult = ClaimResponse | {readonly error: Error};

export interface ClaimsOptions {
  readonly tasks: TaskSystem;
  readonly log: Log;
  readonly control: ControlService;
  /** Session with control; undefined while there is none. */
  readonly session: Cell<string | undefined>;
  readonly rules: EntryRules;
}

export function createClaims(options: ClaimsOptions): Claims {
  const {tasks, log, control, session} = options;
  const responses = createResponseCache();
  /** Claims of this entry host that are not settled, by claim ID. */
  const openClaims = new Map<string, OpenClaim>();
  let pendingClaims: PendingClaim[] = [];
  let settlements: Settlement[] = [];
  let timer: NodeJS.Timeout | undefined;

  const task = tasks.spawn<undefined, ClaimsMessage>({
    name: 'claims',
    initial: undefined,
    handle(state, message) {
      handle(message);
      return state;
    },
    async afterStop() {
      clearTimeout(timer);
      await sendSettlements();
    },
  });

  function handle(message: ClaimsMessage): void {
    switch (message.type) {
      case 'add':
        return addClaim(message.claim);
      case 'flush':
        timer = undefined;
        sendClaims();
        void sendSettlements();
        return;
      case 'claimed':
        return answerClaims(message.batch, message.session, message.result);
      case 'settle':
        return settle(message.team, message.key, message.outcome);
      case 'retry-settlements':
        settlements = [...message.settlements, ...settlements];
        return schedule(SETTLE_RETRY_MS);
    }
  }

  function schedule(delayMs: number): void {
    timer ??= setTimeout(() => task.post({type: 'flush'}), delayMs);
  }

  function addClaim(claim: PendingClaim): void {
    const id = claimId(claim.team, claim.key);
    const cached = responses.get(id, performance.now());
    if (cached) return claim.answer(refuseDuplicate('ran'), cached);
    // One batch must not hold two claims of the same key, since control could
    // not tell them apart.
    if (openClaims.has(id))
      return claim.answer(refuseDuplicate('may-have-run'));
    openClaims.set(id, {attempt: claim.attempt});
    pendingClaims.push(claim);
    schedule(BATCH_MS);
  }

  function sendClaims(): void {
    const batch = pendingClaims;
    pendingClaims = [];
    if (batch.length === 0) return;
    const sessionId = session.value;
    if (sessionId === undefined) {
      const error = new Error('no session with control');
      return answerClaims(batch, '', {error});
    }
    const claims = batch.map(({team, key, attempt}) => ({team, key, attempt}));
    const post = (result: ClaimResult) =>
      task.post({type: 'claimed', batch, session: sessionId, result});
    void control
      .claim({session: sessionId, claims})
      .then(post, error => post({error: error as Error}));
  }

  function answerClaims(
    batch: readonly PendingClaim[],
    sessionId: string,
    result: ClaimResult,
  ): void {
    if ('error' in result)
      log.warn('claim-failed', {error: result.error.message});
    for (const claim of batch) {
      const id = claimId(claim.team, claim.key);
      if ('error' in result) {
        abandonClaim(claim, sessionId);
        continue;
      }
      const taken = result.taken.find(
        each => each.team === claim.team && each.key === claim.key,
      );
      if (taken) {
        openClaims.delete(id);
        claim.answer(
          refuseDuplicate(taken.phase === 'ran' ? 'ran' : 'may-have-run'),
        );
      } else {
        openClaims.set(id, {attempt: claim.attempt, session: sessionId});
        claim.answer();
      }
    }
  }

  /**
   * Refuses a request whose claim failed. Control may have committed the claim
   * although its response was lost, so the claim is settled as not run.
   */
  function abandonClaim(claim: PendingClaim, sessionId: string): void {
    const {team, key, attempt} = claim;
    openClaims.delete(claimId(team, key));
    if (sessionId !== '')
      addSettlement({
        team,
        key,
        attempt,
        verdict: 'not-run',
        session: sessionId,
      });
    const text = 'the idempotency key could not be claimed';
    claim.answer(refuse('stale', text, {retryAfterMs: RETRY_AFTER_MS}));
  }

  function settle(team: string, key: string, outcome: ClaimOutcome): void {
    const id = claimId(team, key);
    const claim = openClaims.get(id);
    openClaims.delete(id);
    const {verdict, status, cachedResponse} = outcome;
    if (cachedResponse)
      responses.set(id, cachedResponse, performance.now() + CLAIM_WINDOW_MS);
    // The claim of a request that may have run stays unsettled, so that control
    // keeps refusing duplicates.
    if (claim?.session === undefined || verdict === 'may-have-run') return;
    const {session: sessionId, attempt} = claim;
    addSettlement({team, key, attempt, verdict, status, session: sessionId});
  }

  function addSettlement(settlement: Settlement): void {
    settlements.push(settlement);
    schedule(BATCH_MS);
  }

  async function sendSettlements(): Promise<void> {
    const batch = settlements;
    settlements = [];
    for (const sessionId of new Set(batch.map(each => each.session))) {
      const items = batch.filter(each => each.session === sessionId);
      const claims = items.map(({session: _, ...claim}) => claim);
      await control.settle({session: sessionId, claims}).catch(error => {
        log.warn('settle-failed', {error: String(error)});
        task.post({type: 'retry-settlements', settlements: items});
      });
    }
  }

  function claim(
    exchange: Admitted,
  ): StepResult<Claimed> | Promise<StepResult<Claimed>> {
    const key = exchange.request.headers['idempotency-key'];
    if (
      !options.rules.claimsBeforeForwarding(exchange.route) ||
      key === undefined
    ) {
      return pass(exchange);
    }
    if (typeof key !== 'string' || key === '' || key.length > MAX_KEY_LENGTH) {
      exchange.release();
      return stopWith(refuse('malformed', 'malformed idempotency key'));
    }
    return claimKey(exchange, key);
  }

  async function claimKey(
    exchange: Admitted,
    key: string,
  ): Promise<StepResult<Claimed>> {
    const team = exchange.team.name;
    const {refusal, cached} = await waitForClaim(exchange, key);
    if (!refusal) return pass(extend(exchange, {claimedKey: key}));
    exchange.release();
    if (cached) exchange.facts.cachedResponse = cached;
    log.debug('claim-refused', {team, code: refusal.code});
    return stopWith(refusal);
  }

  function waitForClaim(
    exchange: Admitted,
    key: string,
  ): Promise<{refusal?: Refusal; cached?: CachedResponse}> {
    const team = exchange.team.name;
    const {arrivedMs, route} = exchange;
    return new Promise(resolve => {
      let expired = false;
      const onDeadline = () => {
        expired = true;
        resolve({
          refusal: refuse('timeout', 'no claim before the deadline'),
        });
      };
      const remainingMs = arrivedMs + route.timeoutMs - performance.now();
      const deadline = setTimeout(onDeadline, Math.max(0, remainingMs));
      const answer: PendingClaim['answer'] = (refusal, cached) => {
        clearTimeout(deadline);
        if (expired && !refusal) settle(team, key, {verdict: 'not-run'});
        resolve({refusal, cached});
      };
      if (
        !task.post({
          type: 'add',
          claim: {team, key, attempt: randomUUID(), answer},
        })
      ) {
        answer(refuse('stopping', 'this entry host is stopping'));
      }
    });
  }

  return {
    claim,
    settle(exchange, outcome) {
      const {claimedKey: key, team} = exchange;
      if (key === undefined) return;
      task.post({type: 'settle', team: team.name, key, outcome});
    },
    stop: () => task.stop(),
  };
}

function refuseDuplicate(verdict: Verdict): Refusal {
  const text = 'a request with this idempotency key came before';
  return refuse('duplicate', text, {verdict});
}
