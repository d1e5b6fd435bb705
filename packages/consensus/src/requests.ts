/** The requests to a replica that wait for an answer. */
import type {LogRecord} from '@lentildrift/storage';
import {
  ChangeRefused,
  NotLeader,
  OutcomeUnknown,
  type CommitResult,
} from './replica.js';

interface PendingRequest {
  resolve(value: never): void;
  reject(error: Error): void;
  /** Where the log holds it, once it is proposed. */
  index?: number;
  term?: number;
}

export interface PendingRequests<A> {
  submitChange(post: (id: number) => void): Promise<CommitResult<A>>;
  submitMemberChange(post: (id: number) => void): Promise<void>;
  submitRead(post: (id: number) => void): Promise<number>;
  waitForRevision(revision: number, current: number): Promise<void>;
  onAccepted(id: number, index: number, term: number): void;
  onRefused(id: number, reason: string, leader: string | undefined): void;
  onReadConfirmed(id: number, revision: number): void;
  onCommitted(record: LogRecord, answer: A | undefined): void;
  onRevisionApplied(revision: number): void;
  /** Proposals may or may not be committed by the next leader. */
  onLeadershipLost(): void;
  /** Rejects everything that waits, and all that comes later. */
  rejectAll(error: Error): void;
}

export function createPendingRequests<A>(): PendingRequests<A> {
  const waiting = new Map<number, PendingRequest>();
  const proposed = new Map<number, number>();
  let readers: {revision: number; waiting: PendingRequest}[] = [];
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

  function takeOut(id: number): PendingRequest | undefined {
    const found = waiting.get(id);
    waiting.delete(id);
    if (found?.index !== undefined) proposed.delete(found.index);
    return found;
  }

  function unknown(): OutcomeUnknown {
    return new OutcomeUnknown('leadership ended before the commit');
  }

  return {
    submitChange: request,
    submitMemberChange: request,
    submitRead: request,
    waitForRevision(revision, current) {
      if (ended) return Promise.reject(ended);
      if (current >= revision) return Promise.resolve();
      return new Promise((resolve, reject) => {
        readers.push({revision, waiting: {resolve, reject}});
      });
    },
    onAccepted(id, index, term) {
      const found = waiting.get(id);
      if (!found) return;
      Object.assign(found, {index, term});
      proposed.set(index, id);
    },
    onRefused(id, reason, leader) {
      const error = reason ? new ChangeRefused(reason) : new NotLeader(leader);
      takeOut(id)?.reject(error);
    },
    onReadConfirmed(id, revision) {
      takeOut(id)?.resolve(revision as never);
    },
    onCommitted({index, term, revision}, answer) {
      const id = proposed.get(index);
      const found = id === undefined ? undefined : takeOut(id);
      if (!found) return;
      if (found.term === term) found.resolve({answer, revision} as never);
      else found.reject(unknown());
    },
    onRevisionApplied(revision) {
      const ready = readers.filter(reader => reader.revision <= revision);
      if (ready.length === 0) return;
      readers = readers.filter(reader => reader.revision > revision);
      for (const reader of ready) reader.waiting.resolve(undefined as never);
    },
    onLeadershipLost() {
      for (const id of [...proposed.values()]) takeOut(id)?.reject(unknown());
    },
    rejectAll(error) {
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
