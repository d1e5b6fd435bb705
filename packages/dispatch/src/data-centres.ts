/** What the leader knows of the data centres that exist. */
import {isEvacuated, type State} from '@lentildrift/queue';
import type {StateView} from '@lentildrift/scheduling';
import type {ProvidedHost} from './provider.js';

type Hosts = ReadonlyMap<string, ProvidedHost>;

/**
 * `unlisted`: none of the workers and hosts that are known is there, and others
 * may exist, of which the provider has not told yet.
 */
export type DataCentreStatus = 'known' | 'unknown' | 'unlisted';

/**
 * Whether the host with this ID gets no new runs since its data centre is
 * evacuated. `host` is its row in the provider's list; the newest worker on it
 * is asked if that does not name the data centre.
 */
export function isHostEvacuated(
  host: ProvidedHost | undefined,
  id: string,
  view: Pick<StateView, 'evacuated' | 'fleet'>,
): boolean {
  if (view.evacuated.size === 0) return false;
  const dataCentre = host?.dataCentre ?? view.fleet.newestOn(id)?.dataCentre;
  return dataCentre !== undefined && isEvacuated(view, dataCentre);
}

/**
 * Whether the data centre exists. `hosts` is the provider's list, undefined
 * before the first. A data centre that is evacuated counts as known for as long,
 * so that its evacuation can be ended after all its hosts are gone.
 */
export function findDataCentre(
  name: string,
  state: State,
  hosts: Hosts | undefined,
): DataCentreStatus {
  if (isEvacuated(state, name)) return 'known';
  const placedHosts = new Set<string>();
  for (const worker of state.workers.unorderedValues()) {
    if (worker.dataCentre === name) return 'known';
    placedHosts.add(worker.host);
  }
  if (!hosts || hosts.size === 0) return 'unlisted';
  let isComplete = true;
  for (const {id, dataCentre} of hosts.values()) {
    if (dataCentre === name) return 'known';
    if (dataCentre === undefined && !placedHosts.has(id)) isComplete = false;
  }
  return isComplete ? 'unknown' : 'unlisted';
}

/** Counts the data centres with workers that may still get new runs. */
export function countDataCentresInUse(state: State): number {
  const names = new Set<string>();
  for (const {dataCentre, phase} of state.workers.unorderedValues()) {
    if (phase === 'gone' || isEvacuated(state, dataCentre)) continue;
    names.add(dataCentre);
  }
  return names.size;
}
