/** Caches the provider's list of hosts and refreshes it at intervals. */
import type {Log} from '@lentildrift/observe';
import type {HostProvider, ProvidedHost} from './provider.js';

export interface Inventory {
  /** Hosts by ID, as last listed; undefined before the first list arrives. */
  hosts(): ReadonlyMap<string, ProvidedHost> | undefined;
  /** Monotonic time at which the current list was requested. */
  requestedMs(): number;
  /** Requests the list again unless the last request is too recent. */
  refresh(): void;
}

/** Shortest interval between two requests; the provider charges for each. */
const REFRESH_INTERVAL_MS = 1000;

export function createInventory(provider: HostProvider, log: Log): Inventory {
  let listed: ReadonlyMap<string, ProvidedHost> | undefined;
  let listRequestedMs = -Infinity;
  let lastRequestMs = -Infinity;
  let isRequesting = false;

  async function requestList(requestMs: number): Promise<void> {
    try {
      const hosts = await provider.list();
      listed = new Map(hosts.map(host => [host.id, host]));
      listRequestedMs = requestMs;
    } catch (error) {
      log.info('host-list-failed', {reason: (error as Error).message});
    }
    isRequesting = false;
  }

  return {
    hosts: () => listed,
    requestedMs: () => listRequestedMs,
    refresh() {
      const nowMs = performance.now();
      if (isRequesting || nowMs - lastRequestMs < REFRESH_INTERVAL_MS) return;
      isRequesting = true;
      lastRequestMs = nowMs;
      void requestList(nowMs);
    },
  };
}
