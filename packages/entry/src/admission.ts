/**
 * The task that admits calls: it owns the freshness lease, the teams' slices
 * and the count of running calls.
 */
import type {Refusal} from '@lentildrift/model';
import type {TeamUse} from '@lentildrift/protocol';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import {createCell, type Cell} from './cell.js';
import type {EntryRules} from './rules.js';
import {createLimiter, isGrant, type Grant, type Renewal} from './limiter.js';
import {createQueue} from './queue.js';

export type AdmissionMessage =
  | {
      type: 'admit';
      team: string;
      /** The team's limit of concurrent calls across the fleet. */
      limit: number;
      answer: (result: Grant | Refusal) => void;
    }
  | {type: 'release'; grant: Grant}
  /** Refuses the calls that have waited too long for a larger slice. */
  | {type: 'expire'}
  /** Starts a new session with control. */
  | {type: 'open'; session: string}
  /** Applies the slices and targets of a sync response. */
  | {type: 'renew'; renewal: Renewal}
  /** Replies with the use of each team since the previous `use` message. */
  | {type: 'use'; reply: Reply<Record<string, TeamUse>>};

type Admit = AdmissionMessage & {type: 'admit'};

export interface Admission {
  readonly task: Task<AdmissionMessage>;
  /** End of the freshness lease, on the monotonic clock, in milliseconds. */
  readonly freshUntilMs: Cell<number>;
}

/**
 * Creates the admission task. `requestSync` is called when control should
 * learn of the use of the slices before the next regular sync: a team's slice
 * is smaller than its demand, or this entry host has released a part of a
 * slice that another entry host may be waiting for.
 */
export function createAdmission(
  tasks: TaskSystem,
  requestSync: () => void,
  rules?: EntryRules,
): Admission {
  const limiter = createLimiter(rules);
  const freshUntilMs = createCell(limiter.freshUntilMs());
  const queue = createQueue<Admit>();
  let timer: NodeJS.Timeout | undefined;
  const task = tasks.spawn<undefined, AdmissionMessage>({
    name: 'admission',
    initial: undefined,
    handle(state, message) {
      handle(message);
      return state;
    },
    afterStop: () => clearTimeout(timer),
  });

  function handle(message: AdmissionMessage): void {
    switch (message.type) {
      case 'admit':
        return admit(message);
      case 'release':
        limiter.release(message.grant);
        return serveQueue();
      case 'expire':
        timer = undefined;
        return expireWaiting();
      case 'open':
        limiter.openSession(message.session);
        freshUntilMs.value = limiter.freshUntilMs();
        return;
      case 'renew':
        if (limiter.renew(message.renewal)) requestSync();
        freshUntilMs.value = limiter.freshUntilMs();
        serveQueue();
        // Control may not have decided yet about the calls that still wait.
        if (queue.size() > 0) requestSync();
        return;
      case 'use':
        return message.reply.resolve(limiter.reportUse());
    }
  }

  function admit(message: Admit): void {
    const {team, limit} = message;
    const now = performance.now();
    const result = limiter.admit(team, now);
    const isAtCeiling = !isGrant(result) && result.code === 'over-limit';
    // A team whose slice here equals its whole limit cannot get a larger one.
    if (!isAtCeiling || limiter.ceiling(team) >= limit) {
      return message.answer(result);
    }
    requestSync();
    if (!queue.add(team, message, now)) return message.answer(result);
    scheduleExpiry();
  }

  function serveQueue(): void {
    queue.serve(({team, answer}) => {
      if (!limiter.canAdmit(team, performance.now())) return false;
      answer(limiter.admit(team, performance.now()));
      return true;
    });
  }

  function expireWaiting(): void {
    const now = performance.now();
    for (const {team, answer} of queue.expired(now)) {
      answer(limiter.admit(team, now));
    }
    scheduleExpiry();
  }

  function scheduleExpiry(): void {
    const nextExpiryMs = queue.nextExpiryMs();
    if (timer || nextExpiryMs === undefined) return;
    const waitMs = Math.max(0, Math.ceil(nextExpiryMs - performance.now()));
    timer = setTimeout(() => task.post({type: 'expire'}), waitMs);
  }

  return {task, freshUntilMs};
}
