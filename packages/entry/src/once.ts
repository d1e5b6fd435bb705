/** Idempotency keys: claims on them, and the first responses that are kept. */
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
  type KeptResponse,
} from './exchange.js';
import {createKeep} from './keep.js';
import type {EntryRules} from './rules.js';

/** Claims that arrive within this time go to control as one batch. */
const BATCH_MS = 5;
const SETTLE_RETRY_MS = 1000;
const MAX_KEY_LENGTH = 200;
const RETRY_AFTER_MS = 1000;

export interface Outcome {
  readonly verdict: Verdict;
  readonly status?: number;
  readonly kept?: KeptResponse;
}

export interface Once {
  /** Claims the key of a request on a route marked `once`. */
  claim(exchange: Admitted): StepResult<Claimed> | Promise<StepResult<Claimed>>;
  /** Records how a claimed request ended. */
  settle(exchange: Claimed, outcome: Outcome): void;
  stop(): Promise<void>;
}

interface Want {
  readonly team: string;
  readonly key: string;
  /** Tells this claim of the key from earlier and later ones. */
  readonly attempt: string;
  /** Answered without an argument when the key is claimed. */
  readonly answer: (refusal?: Refusal, kept?: KeptResponse) => void;
}

interface OpenClaim {
  readonly attempt: string;
  /** Absent until the claim is answered. */
  readonly session?: string;
}

type Settlement = SettleRequest['claims'][number] & {readonly session: string};

type OnceMessage =
  | {type: 'want'; want: Want}
  | {type: 'flush'}
  | {type: 'claimed'; wants: readonly Want[]; session: string; result: Result}
  | {type: 'settle'; team: string; key: string; outcome: Outcome}
  | {type: 'unsettled'; settlements: readonly Settlement[]};

type Result = ClaimResponse | {readonly error: Error};

export interface OnceOptions {
  readonly tasks: TaskSystem;
  readonly log: Log;
  readonly control: ControlService;
  readonly session: Cell<string | undefined>;
  readonly rules: EntryRules;
}

export function createOnce(options: OnceOptions): Once {
  const {tasks, log, control, session} = options;
  const keep = createKeep();
  /** Claims of this entry host that are open, by ID. */
  const open = new Map<string, OpenClaim>();
  let wants: Want[] = [];
  let settlements: Settlement[] = [];
  let timer: NodeJS.Timeout | undefined;

  const task = tasks.spawn<undefined, OnceMessage>({
    name: 'once',
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

  function handle(message: OnceMessage): void {
    switch (message.type) {
      case 'want':
        return want(message.want);
      case 'flush':
        timer = undefined;
        sendClaims();
        void sendSettlements();
        return;
      case 'claimed':
        return answerClaims(message.wants, message.session, message.result);
      case 'settle':
        return settle(message.team, message.key, message.outcome);
      case 'unsettled':
        settlements = [...message.settlements, ...settlements];
        return schedule(SETTLE_RETRY_MS);
    }
  }

  function schedule(delayMs: number): void {
    timer ??= setTimeout(() => task.post({type: 'flush'}), delayMs);
  }

  function want(item: Want): void {
    const id = claimId(item.team, item.key);
    const kept = keep.get(id, performance.now());
    if (kept) return item.answer(duplicate('ran'), kept);
    // Control could not tell two claims of one batch apart.
    if (open.has(id)) return item.answer(duplicate('may-have-run'));
    open.set(id, {attempt: item.attempt});
    wants.push(item);
    schedule(BATCH_MS);
  }

  function sendClaims(): void {
    const batch = wants;
    wants = [];
    if (batch.length === 0) return;
    const held = session.value;
    if (held === undefined) {
      const error = new Error('no session');
      return answerClaims(batch, '', {error});
    }
    const claims = batch.map(({team, key, attempt}) => ({team, key, attempt}));
    const post = (result: Result) =>
      task.post({type: 'claimed', wants: batch, session: held, result});
    void control
      .claim({session: held, claims})
      .then(post, error => post({error: error as Error}));
  }

  function answerClaims(
    batch: readonly Want[],
    held: string,
    result: Result,
  ): void {
    if ('error' in result)
      log.warn('claim-failed', {error: result.error.message});
    for (const item of batch) {
      const id = claimId(item.team, item.key);
      if ('error' in result) {
        abandon(item, held);
        continue;
      }
      const taken = result.taken.find(
        each => each.team === item.team && each.key === item.key,
      );
      if (taken) {
        open.delete(id);
        item.answer(duplicate(taken.phase === 'ran' ? 'ran' : 'may-have-run'));
      } else {
        open.set(id, {attempt: item.attempt, session: held});
        item.answer();
      }
    }
  }

  /** The claim may have been committed although no answer came. */
  function abandon(item: Want, held: string): void {
    const {team, key, attempt} = item;
    open.delete(claimId(team, key));
    if (held !== '')
      addSettlement({
        team,
        key,
        attempt,
        verdict: 'not-run',
        session: held,
      });
    const text = 'the idempotency key could not be claimed';
    item.answer(refuse('stale', text, {retryAfterMs: RETRY_AFTER_MS}));
  }

  function settle(team: string, key: string, outcome: Outcome): void {
    const id = claimId(team, key);
    const held = open.get(id);
    open.delete(id);
    const {verdict, status, kept} = outcome;
    if (kept) keep.set(id, kept, performance.now() + CLAIM_WINDOW_MS);
    // A claim whose request may have run stays as it is.
    if (held?.session === undefined || verdict === 'may-have-run') return;
    const {session: own, attempt} = held;
    addSettlement({team, key, attempt, verdict, status, session: own});
  }

  function addSettlement(settlement: Settlement): void {
    settlements.push(settlement);
    schedule(BATCH_MS);
  }

  async function sendSettlements(): Promise<void> {
    const batch = settlements;
    settlements = [];
    for (const held of new Set(batch.map(each => each.session))) {
      const items = batch.filter(each => each.session === held);
      const claims = items.map(({session: _, ...claim}) => claim);
      await control.settle({session: held, claims}).catch(error => {
        log.warn('settle-failed', {error: String(error)});
        task.post({type: 'unsettled', settlements: items});
      });
    }
  }

  function claim(
    exchange: Admitted,
  ): StepResult<Claimed> | Promise<StepResult<Claimed>> {
    const key = exchange.request.headers['idempotency-key'];
    if (!options.rules.claimsFirst(exchange.route) || key === undefined) {
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
    const {refusal, kept} = await waitForClaim(exchange, key);
    if (!refusal) return pass(extend(exchange, {claimedKey: key}));
    exchange.release();
    if (kept) exchange.facts.kept = kept;
    log.debug('claim-refused', {team, code: refusal.code});
    return stopWith(refusal);
  }

  function waitForClaim(
    exchange: Admitted,
    key: string,
  ): Promise<{refusal?: Refusal; kept?: KeptResponse}> {
    const team = exchange.team.name;
    const {arrivedMs, route} = exchange;
    return new Promise(resolve => {
      let late = false;
      const onDeadline = () => {
        late = true;
        resolve({refusal: refuse('timeout', 'no claim before the deadline')});
      };
      const leftMs = arrivedMs + route.timeoutMs - performance.now();
      const deadline = setTimeout(onDeadline, Math.max(0, leftMs));
      const answer: Want['answer'] = (refusal, kept) => {
        clearTimeout(deadline);
        if (late && !refusal) settle(team, key, {verdict: 'not-run'});
        resolve({refusal, kept});
      };
      if (
        !task.post({
          type: 'want',
          want: {team, key, attempt: randomUUID(), answer},
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

function duplicate(verdict: Verdict): Refusal {
  const text = 'a request with this idempotency key came before';
  return refuse('duplicate', text, {verdict});
}
