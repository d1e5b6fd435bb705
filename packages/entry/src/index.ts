export * from './connection.js';
export {startEntry, type Entry, type EntryOptions} from './entry.js';
export {FailoverControl} from './failover.js';
export type {Listener} from './listener.js';
export {CallObserver, NullObserver, type FinishedCall} from './observer.js';
export * from './rules.js';
