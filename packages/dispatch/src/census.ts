/** Counts the provider's hosts by what keeps them from getting runs. */
import {workerKey, type Worker} from '@lentildrift/queue';
import type {ProvidedHost} from './provider.js';

export interface CensusOptions {
  readonly hosts: ReadonlyMap<string, ProvidedHost>;
  readonly workers: Iterable<Worker>;
  /** Names of the standby pools. */
  readonly standbyPools: ReadonlySet<string>;
  isUsable(worker: Worker): boolean;
  isAnswering(worker: string): boolean;
  isMoving(host: string): boolean;
  isInWave(host: string): boolean;
  isEvacuated(host: string): boolean;
}

/** Each listed host counts once, in the first field that applies to it. */
export interface Census {
  /** Hosts in the provider's list; the sum of all other fields. */
  readonly hosts: number;
  /** Kept free of new runs because the host is to move or moves. */
  readonly moving: number;
  /** Kept free of new runs for a maintenance wave, or being maintained. */
  readonly cordoned: number;
  /** Up, or on standby, in a data centre that is out of use. */
  readonly evacuated: number;
  readonly usable: number;
  /** The worker does not answer. */
  readonly silent: number;
  /** The worker answers but is draining or not yet reconciled. */
  readonly unready: number;
  readonly standby: number;
  /** In a pool that serves, but without a worker in the directory. */
  readonly absent: number;
}

export function countHosts(options: CensusOptions): Census {
  const newest = new Map<string, Worker>();
  for (const worker of options.workers) {
    if (worker.phase === 'gone') continue;
    const known = newest.get(worker.host);
    if (!known || worker.bornMs > known.bornMs) newest.set(worker.host, worker);
  }
  const counts = {
    moving: 0,
    cordoned: 0,
    evacuated: 0,
    usable: 0,
    silent: 0,
    unready: 0,
    standby: 0,
    absent: 0,
  };
  for (const host of options.hosts.values()) {
    counts[classify(host, newest.get(host.id), options)]++;
  }
  return {hosts: options.hosts.size, ...counts};
}

function classify(
  {id, pool}: ProvidedHost,
  worker: Worker | undefined,
  options: CensusOptions,
): Exclude<keyof Census, 'hosts'> {
  if (options.isMoving(id)) return 'moving';
  if (options.isInWave(id)) return 'cordoned';
  if (options.isEvacuated(id)) return 'evacuated';
  if (!worker) return options.standbyPools.has(pool) ? 'standby' : 'absent';
  if (options.isUsable(worker)) return 'usable';
  return options.isAnswering(workerKey(worker)) ? 'unready' : 'silent';
}
