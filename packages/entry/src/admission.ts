/** The task that owns the freshness lease, the slices and the running calls. */
import type {Refusal} from '@lentildrift/model';
import type {TeamUse} from '@lentildrift/protocol';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import {createCell, type Cell} from './cell.js';
import type {EntryRules} from './rules.js';
import {createLedger, isGrant, type Grant, type Renewal} from './ledger.js';

export type AdmissionMessage =
  | {
      type: 'admit';
      team: string;
      /** The team's limit across the fleet. */
      limit: number;
      answer: (result: Grant | Refusal) => void;
    }
  | {type: 'release'; grant: Grant}
  | {type: 'open'; session: string}
  | {type: 'renew'; renewal: Renewal}
  | {type: 'use'; reply: Reply<Record<string, TeamUse>>};

export interface Admission {
  readonly task: Task<AdmissionMessage>;
  /** End of the freshness lease, on the monotonic clock, in milliseconds. */
  readonly lease: Cell<number>;
}

/** `onShort` is called when a team's slice is smaller than its demand. */
export function createAdmission(
  tasks: TaskSystem,
  onShort: () => void,
  rules?: EntryRules,
): Admission {
  const ledger = createLedger(rules);
  const lease = createCell(ledger.freshUntilMs());
  const task = tasks.spawn<undefined, AdmissionMessage>({
    name: 'admission',
    initial: undefined,
    handle(state, message) {
      handle(message);
      return state;
    },
  });

  function handle(message: AdmissionMessage): void {
    switch (message.type) {
      case 'admit':
        return admit(message);
      case 'release':
        return ledger.release(message.grant);
      case 'open':
        ledger.open(message.session);
        lease.value = ledger.freshUntilMs();
        return;
      case 'renew':
        ledger.renew(message.renewal);
        lease.value = ledger.freshUntilMs();
        return;
      case 'use':
        return message.reply.resolve(ledger.report());
    }
  }

  function admit(message: AdmissionMessage & {type: 'admit'}): void {
    const {team, limit} = message;
    const result = ledger.admit(team, performance.now());
    // A team that holds its whole limit cannot get more from control.
    const refusedForSlice = !isGrant(result) && result.code === 'over-limit';
    if (refusedForSlice && ledger.ceiling(team) < limit) onShort();
    message.answer(result);
  }

  return {task, lease};
}
