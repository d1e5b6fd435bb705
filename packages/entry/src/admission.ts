/** The task that owns the freshness lease, the slices and the running calls. */
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
      /** The team's limit across the fleet. */
      limit: number;
      answer: (result: Grant | Refusal) => void;
    }
  | {type: 'release'; grant: Grant}
  /** Calls that waited for a slice may have waited too long. */
  | {type: 'expire'}
  | {type: 'open'; session: string}
  | {type: 'renew'; renewal: Renewal}
  | {type: 'use'; reply: Reply<Record<string, TeamUse>>};

type Admit = AdmissionMessage & {type: 'admit'};

export interface Admission {
  readonly task: Task<AdmissionMessage>;
  /** End of the freshness lease, on the monotonic clock, in milliseconds. */
  readonly freshUntilMs: Cell<number>;
}

/**
 * `onNews` is called when control should hear of the slices at once: a team's
 * slice is smaller than its demand, or an entry has given up a part of one
 * for which another may be waiting.
 */
export function createAdmission(
  tasks: TaskSystem,
  requestSync: () => void,
  rules?: EntryRules,
): Admission {
  const ledger = createLimiter(rules);
  const freshUntilMs = createCell(ledger.freshUntilMs());
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
        ledger.release(message.grant);
        return serveQueue();
      case 'expire':
        timer = undefined;
        return expire();
      case 'open':
        ledger.openSession(message.session);
        freshUntilMs.value = ledger.freshUntilMs();
        return;
      case 'renew':
        if (ledger.renew(message.renewal)) requestSync();
        freshUntilMs.value = ledger.freshUntilMs();
        serveQueue();
        // Control may have had no time yet to decide about those that wait.
        if (queue.size() > 0) requestSync();
        return;
      case 'use':
        return message.reply.resolve(ledger.reportUse());
    }
  }

  function admit(message: Admit): void {
    const {team, limit} = message;
    const now = performance.now();
    const result = ledger.admit(team, now);
    const refusedForSlice = !isGrant(result) && result.code === 'over-limit';
    // A team that holds its whole limit cannot get more from control.
    if (!refusedForSlice || ledger.ceiling(team) >= limit) {
      return message.answer(result);
    }
    requestSync();
    if (!queue.add(team, message, now)) return message.answer(result);
    arm();
  }

  function serveQueue(): void {
    queue.serve(({team, answer}) => {
      if (!ledger.canAdmit(team, performance.now())) return false;
      answer(ledger.admit(team, performance.now()));
      return true;
    });
  }

  function expire(): void {
    const now = performance.now();
    for (const {team, answer} of queue.expired(now)) {
      answer(ledger.admit(team, now));
    }
    arm();
  }

  function arm(): void {
    const next = queue.nextExpiryMs();
    if (timer || next === undefined) return;
    const waitMs = Math.max(0, Math.ceil(next - performance.now()));
    timer = setTimeout(() => task.post({type: 'expire'}), waitMs);
  }

  return {task, freshUntilMs};
}
