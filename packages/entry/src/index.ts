export {startEntry, type Entry, type EntryOptions} from './entry.js';
export {FailoverControl} from './failover.js';
export {FRESHNESS_LEASE_MS} from './ledger.js';
export {CallObserver, NullObserver, type FinishedCall} from './observer.js';
