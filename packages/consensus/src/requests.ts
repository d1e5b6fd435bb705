/** The requests to a replica that have not been answered yet. */
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
  /** Log index of the entry, once the request is proposed. */
  index?: number;
  term?: number;
}

/** Each submit function calls `post` with the ID of the new request. */
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
  /**
   * Rejects the requests proposed after log index `commitIndex` with
   * `OutcomeUnknown`, because the next leader may or may not commit them. The
   * others are answered once they are applied.
   */
  onLeadershipLost(commitIndex: number): void;
  /**
   * Rejects the proposed requests with `OutcomeUnknown`: a snapshot, which
   * holds no answers, has taken the place of their entries.
   */
  onRestored(revision: number): void;
  /** Rejects all pending requests and all later ones. */
  rejectAll(error: Error): void;
}

export function createPendingRequests<A>(): PendingRequests<A> {
  const pending = new Map<number, PendingRequest>();
  const byIndex = new Map<number, number>();
  let revisionWaiters: {revision: number; request: PendingRequest}[] = [];
  let nextId = 1;
  let stopError: Error | undefined;

  function submit<T>(post: (id: number) => void): Promise<T> {
    return new Promise<T>((resolve, reject) => {
      if (stopError) {
        reject(new NotLeader(undefined));
        return;
      }
      const id = nextId++;
      pending.set(id, {resolve, reject});
      post(id);
    });
  }

  /** Removes a pending request and returns it. */
  function pop(id: number): PendingRequest | undefined {
    const request = pending.get(id);
    pending.delete(id);
    if (request?.index !== undefined) byIndex.delete(request.index);
    return request;
  }

  function unknownError(): OutcomeUnknown {
    return new OutcomeUnknown(
      'leadership ended before the change was committed',
    );
  }

  function onRevisionApplied(revision: number): void {
    const ready = revisionWaiters.filter(waiter => waiter.revision <= revision);
    if (ready.length === 0) return;
    revisionWaiters = revisionWaiters.filter(
      waiter => waiter.revision > revision,
    );
    for (const waiter of ready) waiter.request.resolve(undefined as never);
  }

  function rejectProposedAfter(lastIndex: number): void {
    for (const [index, id] of [...byIndex]) {
      if (index > lastIndex) pop(id)?.reject(unknownError());
    }
  }

  return {
    submitChange: submit,
    submitMemberChange: submit,
    submitRead: submit,
    waitForRevision(revision, current) {
      if (stopError) return Promise.reject(stopError);
      if (current >= revision) return Promise.resolve();
      return new Promise((resolve, reject) => {
        revisionWaiters.push({revision, request: {resolve, reject}});
      });
    },
    onAccepted(id, index, term) {
      const request = pending.get(id);
      if (!request) return;
      Object.assign(request, {index, term});
      byIndex.set(index, id);
    },
    onRefused(id, reason, leader) {
      const error = reason ? new ChangeRefused(reason) : new NotLeader(leader);
      pop(id)?.reject(error);
    },
    onReadConfirmed(id, revision) {
      pop(id)?.resolve(revision as never);
    },
    onCommitted({index, term, revision}, answer) {
      const id = byIndex.get(index);
      const request = id === undefined ? undefined : pop(id);
      if (!request) return;
      if (request.term === term) request.resolve({answer, revision} as never);
      else request.reject(unknownError());
    },
    onRevisionApplied,
    onLeadershipLost: rejectProposedAfter,
    onRestored(revision) {
      rejectProposedAfter(0);
      onRevisionApplied(revision);
    },
    rejectAll(error) {
      stopError ??= error;
      for (const {reject, index} of pending.values()) {
        reject(index === undefined ? new NotLeader(undefined) : unknownError());
      }
      for (const waiter of revisionWaiters) waiter.request.reject(error);
      pending.clear();
      byIndex.clear();
      revisionWaiters = [];
    },
  };
}
