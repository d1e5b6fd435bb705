/** The task that owns the freshness lease, the slices and the running calls. */
import {refuse, type Refusal, type Slice} from '@lentildrift/model';
import type {TeamUse} from '@lentildrift/protocol';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';

export const FRESHNESS_LEASE_MS = 3000;

export type AdmissionMessage =
  | {type: 'admit'; team: string; answer: (refusal?: Refusal) => void}
  | {type: 'release'; team: string}
  | {
      type: 'renew';
      /** When the sync that renewed the lease was sent. */
      sentMs: number;
      slices: Readonly<Record<string, Slice>>;
    }
  | {type: 'use'; reply: Reply<Record<string, TeamUse>>};

interface AdmissionState {
  readonly freshUntilMs: number;
  readonly slices: Readonly<Record<string, Slice>>;
  readonly running: Map<string, number>;
}

export function createAdmission(tasks: TaskSystem): Task<AdmissionMessage> {
  return tasks.spawn<AdmissionState, AdmissionMessage>({
    name: 'admission',
    initial: {freshUntilMs: 0, slices: {}, running: new Map()},
    handle(state, message) {
      switch (message.type) {
        case 'admit':
          message.answer(admit(state, message.team));
          return state;
        case 'release':
          add(state.running, message.team, -1);
          return state;
        case 'renew':
          return {
            ...state,
            slices: message.slices,
            freshUntilMs: message.sentMs + FRESHNESS_LEASE_MS,
          };
        case 'use':
          message.reply.resolve(teamUse(state));
          return state;
      }
    },
  });
}

function admit(state: AdmissionState, team: string): Refusal | undefined {
  if (performance.now() >= state.freshUntilMs) {
    return refuse('stale', 'this entry host has no current configuration');
  }
  const running = state.running.get(team) ?? 0;
  const amount = state.slices[team]?.amount ?? 0;
  if (running >= amount) {
    return refuse('over-limit', `team "${team}" is at its limit`, {
      retryAfterMs: 1000,
    });
  }
  add(state.running, team, 1);
  return undefined;
}

function add(running: Map<string, number>, team: string, by: number): void {
  running.set(team, (running.get(team) ?? 0) + by);
}

function teamUse(state: AdmissionState): Record<string, TeamUse> {
  const entries = Object.entries(state.slices).map(([team, slice]) => {
    const running = state.running.get(team) ?? 0;
    const {generation, amount} = slice;
    return [team, {running, demand: running, generation, ceiling: amount}];
  });
  return Object.fromEntries(entries);
}
