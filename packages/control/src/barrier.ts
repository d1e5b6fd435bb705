/**
 * The task that obtains read indexes for linearizable reads. One read-index
 * round runs at a time and serves all requests that arrived before the round
 * began. A later request waits for the next round, since a round proves
 * nothing about a request that arrived after its start.
 */
import {ServiceError} from '@lentildrift/protocol';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import type {StateReplica} from './machine.js';
import {toServiceError, type Peers} from './propose.js';
import {withTimeout} from './time.js';

/** Shorter than an entry's lease of 3,000 ms: later answers are useless. */
const ROUND_TIMEOUT_MS = 2000;
const ASK_TIMEOUT_MS = 2 * ROUND_TIMEOUT_MS + 500;

type BarrierMessage =
  {type: 'confirm'; reply: Reply<number>} | {type: 'finished'};

interface BarrierState {
  readonly isRunning: boolean;
  readonly pending: readonly Reply<number>[];
}

export interface ReadBarrier {
  /**
   * Resolves with a read index that the leader confirmed after this call, once
   * this replica has applied the log up to the index. Rejects with
   * `ServiceError` and the verdict `not-run` if no leader confirms one.
   */
  confirm(): Promise<number>;
  stop(): Promise<void>;
}

export interface ReadBarrierOptions {
  readonly replica: StateReplica;
  readonly peers: Peers;
  readonly tasks: TaskSystem;
  /**
   * Whether reads wait for the leader's regular heartbeats instead of starting
   * rounds of their own, so that they cost no extra messages.
   */
  readonly patient?: boolean;
}

export function createReadBarrier(options: ReadBarrierOptions): ReadBarrier {
  const {replica, tasks} = options;

  function startRound(
    pending: readonly Reply<number>[],
    self: Task<BarrierMessage>,
  ): BarrierState {
    if (pending.length === 0) return {isRunning: false, pending};
    withTimeout(
      readIndex(options),
      ROUND_TIMEOUT_MS,
      'the leader did not confirm a read index in time',
    )
      .then(
        index => pending.forEach(reply => reply.resolve(index)),
        error => pending.forEach(reply => reply.reject(toUnavailable(error))),
      )
      .finally(() => self.post({type: 'finished'}));
    return {isRunning: true, pending: []};
  }

  const task = tasks.spawn<BarrierState, BarrierMessage>({
    name: options.patient ? 'heartbeat-read-barrier' : 'read-barrier',
    initial: {isRunning: false, pending: []},
    handle(state, message, self) {
      if (message.type === 'finished') return startRound(state.pending, self);
      const pending = [...state.pending, message.reply];
      return state.isRunning ? {...state, pending} : startRound(pending, self);
    },
  });

  async function confirm(): Promise<number> {
    try {
      const index = await task.ask<number>(
        reply => ({type: 'confirm', reply}),
        ASK_TIMEOUT_MS,
      );
      const message = 'this replica lags behind the leader';
      await withTimeout(
        replica.waitForRevision(index),
        ROUND_TIMEOUT_MS,
        message,
      );
      return index;
    } catch (error) {
      throw toUnavailable(error);
    }
  }

  return {confirm, stop: () => task.stop()};
}

/** Asks the leader: the index that a follower has applied may be stale. */
async function readIndex(options: ReadBarrierOptions): Promise<number> {
  const {replica, peers, patient = false} = options;
  const {role, leader} = replica.status();
  if (role === 'leader') return replica.readIndex({patient});
  const peer = leader === undefined ? undefined : peers.get(leader);
  if (!peer) throw new ServiceError('unavailable', 'no leader is known');
  return (await peer.readIndex({patient})).revision;
}

/** A read index changes no state, so its failure always means `not-run`. */
function toUnavailable(error: unknown): ServiceError {
  return new ServiceError('unavailable', toServiceError(error).message);
}
