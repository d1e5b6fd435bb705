/**
 * The task that obtains read indexes. One round runs at a time and serves all
 * requests that arrived before it began; later ones wait for the next round,
 * since a round proves nothing about a request that arrived after its start.
 */
import {ServiceError} from '@lentildrift/protocol';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import type {StateReplica} from './machine.js';
import {toServiceError, type Peers} from './propose.js';
import {withTimeout} from './time.js';

/** An entry's lease is 3,000 ms: a later answer would be of no use to it. */
const ROUND_TIMEOUT_MS = 2000;
const ASK_TIMEOUT_MS = 2 * ROUND_TIMEOUT_MS + 500;

type FreshnessMessage =
  {type: 'confirm'; reply: Reply<number>} | {type: 'finished'};

interface FreshnessState {
  readonly running: boolean;
  readonly waiting: readonly Reply<number>[];
}

export interface ReadBarrier {
  /**
   * A read index confirmed after this call, which the replica has applied.
   * Rejects with `ServiceError` and `not-run` if no leader confirms one.
   */
  confirm(): Promise<number>;
  stop(): Promise<void>;
}

export interface ReadBarrierOptions {
  readonly replica: StateReplica;
  readonly peers: Peers;
  readonly tasks: TaskSystem;
  /** Rounds are the leader's regular heartbeats, so they cost no messages. */
  readonly patient?: boolean;
}

export function createReadBarrier(options: ReadBarrierOptions): ReadBarrier {
  const {replica, tasks} = options;

  function startRound(
    waiting: readonly Reply<number>[],
    self: Task<FreshnessMessage>,
  ): FreshnessState {
    if (waiting.length === 0) return {running: false, waiting};
    withTimeout(readIndex(options), ROUND_TIMEOUT_MS, 'no read index in time')
      .then(
        index => waiting.forEach(reply => reply.resolve(index)),
        error => waiting.forEach(reply => reply.reject(unconfirmed(error))),
      )
      .finally(() => self.post({type: 'finished'}));
    return {running: true, waiting: []};
  }

  const task = tasks.spawn<FreshnessState, FreshnessMessage>({
    name: options.patient ? 'patient-freshness' : 'freshness',
    initial: {running: false, waiting: []},
    handle(state, message, self) {
      if (message.type === 'finished') return startRound(state.waiting, self);
      const waiting = [...state.waiting, message.reply];
      return state.running ? {...state, waiting} : startRound(waiting, self);
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
      throw unconfirmed(error);
    }
  }

  return {confirm, stop: () => task.stop()};
}

/** Asks the leader itself; a follower's own index would prove nothing. */
async function readIndex(options: ReadBarrierOptions): Promise<number> {
  const {replica, peers, patient = false} = options;
  const {role, leader} = replica.status();
  if (role === 'leader') return replica.readIndex({patient});
  const peer = leader === undefined ? undefined : peers.get(leader);
  if (!peer) throw new ServiceError('unavailable', 'no leader is known');
  return (await peer.readIndex({patient})).revision;
}

/** A read index changes nothing, so that its failure is always `not-run`. */
function unconfirmed(error: unknown): ServiceError {
  return new ServiceError('unavailable', toServiceError(error).message);
}
