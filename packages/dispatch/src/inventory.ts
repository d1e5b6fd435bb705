/** The provider's list of hosts, read at intervals. */
import type {Log} from '@lentildrift/observe';
import type {HostProvider, ProvidedHost} from './provider.js';

export interface Inventory {
  /** The last list; undefined until there is one. */
  hosts(): ReadonlyMap<string, ProvidedHost> | undefined;
  /** When the last list was asked for; monotonic. */
  requestedMs(): number;
  /** Reads the list again if it is older than the interval. */
  refresh(): void;
}

/** Each reading is paid for. */
const INTERVAL_MS = 1000;

export function createInventory(provider: HostProvider, log: Log): Inventory {
  let listed: ReadonlyMap<string, ProvidedHost> | undefined;
  let listedMs = -Infinity;
  let askedMs = -Infinity;
  let asking = false;

  async function read(nowMs: number): Promise<void> {
    try {
      const hosts = await provider.list();
      listed = new Map(hosts.map(host => [host.id, host]));
      listedMs = nowMs;
    } catch (error) {
      log.info('hosts-unlisted', {reason: (error as Error).message});
    }
    asking = false;
  }

  return {
    hosts: () => listed,
    requestedMs: () => listedMs,
    refresh() {
      const nowMs = performance.now();
      if (asking || nowMs - askedMs < INTERVAL_MS) return;
      asking = true;
      askedMs = nowMs;
      void read(nowMs);
    },
  };
}
