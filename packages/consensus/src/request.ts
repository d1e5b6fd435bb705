/** The requests to a replica that wait for an answer. */
import type {LogRecord} from '@lentildrift/storage';
import {
  ChangeRefused,
  NotLeader,
  OutcomeUnknown,
  type Committed,
} from './replica.js';

interface Waiting {
  resolve(value: never): void;
  reject(error: Error): void;
  /** Where the log holds it, once it is proposed. */
  index?: number;
  term?: number;
}

export interface Requests<A> {
  change(post: (id: number) => void): Promise<Committed<A>>;
  members(post: (id: number) => void): Promise<void>;
  read(post: (id: number) => void): Promise<number>;
  reached(revision: number, current: number): Promise<void>;
  accepted(id: number, index: number, term: number): void;
  refused(id: number, reason: string, leader: string | undefined): void;
  confirmed(id: number, revision: number): void;
  committed(record: LogRecord, answer: A | undefined): void;
  advance(revision: number): void;
  /** Proposals may or may not be committed by the next leader. */
  lostLeadership(): void;
  /** Rejects everything that waits, and all that comes later. */
  end(error: Error): void;
}

export function createRequests<A>(): Requests<A> {
  const waiting = new Map<number, Waiting>();
  const proposed = new Map<number, number>();
  let readers: {revision: number; waiting: Waiting}[] = [];
  let nextId = 1;
  let ended: Error | undefined;

  function request<T>(post: (id: number) => void): Promise<T> {
    return new Promise<T>((resolve, reject) => {
      if (ended) {
        reject(new NotLeader(undefined));
        return;
      }
      const id = nextId++;
      waiting.set(id, {resolve, reject});
      post(id);
    });
  }

  function takeOut(id: number): Waiting | undefined {
    const found = waiting.get(id);
    waiting.delete(id);
    if (found?.index !== undefined) proposed.delete(found.index);
    return found;
  }

  function unknown(): OutcomeUnknown {
    return new OutcomeUnknown('leadership ended before the commit');
  }

  return {
    change: request,
    members: request,
    read: request,
    reached(revision, current) {
      if (ended) return Promise.reject(ended);
      if (current >= revision) return Promise.resolve();
      return new Promise((resolve, reject) => {
        readers.push({revision, waiting: {resolve, reject}});
      });
    },
    accepted(id, index, term) {
      const found = waiting.get(id);
      if (!found) return;
      Object.assign(found, {index, term});
      proposed.set(index, id);
    },
    refused(id, reason, leader) {
      const error = reason ? new ChangeRefused(reason) : new NotLeader(leader);
      takeOut(id)?.reject(error);
    },
    confirmed(id, revision) {
      takeOut(id)?.resolve(revision as never);
    },
    committed({index, term, revision}, answer) {
      const id = proposed.get(index);
      const found = id === undefined ? undefined : takeOut(id);
      if (!found) return;
      if (found.term === term) found.resolve({answer, revision} as never);
      else found.reject(unknown());
    },
    advance(revision) {
      const ready = readers.filter(reader => reader.revision <= revision);
      if (ready.length === 0) return;
      readers = readers.filter(reader => reader.revision > revision);
      for (const reader of ready) reader.waiting.resolve(undefined as never);
    },
    lostLeadership() {
      for (const id of [...proposed.values()]) takeOut(id)?.reject(unknown());
    },
    end(error) {
      ended ??= error;
      for (const {reject, index} of waiting.values()) {
        reject(index === undefined ? new NotLeader(undefined) : unknown());
      }
      for (const reader of readers) reader.waiting.reject(error);
      waiting.clear();
      proposed.clear();
      readers = [];
    },
  };
}
