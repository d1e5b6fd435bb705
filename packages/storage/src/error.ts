/** Errors of the log stores. */
import VError from 'verror';

/**
 * Stored data is missing, or damaged elsewhere than in an interrupted last
 * write. The member must not start.
 */
export class CorruptStoreError extends VError {
  constructor(path: string, detail: string) {
    super({name: 'CorruptStoreError', info: {path}}, '%s: %s', path, detail);
  }
}

/** Another live process holds the lock of the data folder. */
export class FolderLockedError extends VError {
  constructor(path: string) {
    super(
      {name: 'FolderLockedError', info: {path}},
      'data folder %s is in use by another process',
      path,
    );
  }
}

/** The data folder belongs to a member of another consensus group. */
export class WrongGroupError extends VError {
  constructor(path: string, found: string, wanted: string) {
    super(
      {name: 'WrongGroupError', info: {path, found, wanted}},
      'data folder %s belongs to group %s, not %s',
      path,
      found,
      wanted,
    );
  }
}

/** A write or sync failed; the store accepts no further writes. */
export class StoreWriteError extends VError {
  constructor(path: string, cause: Error) {
    super(
      {name: 'StoreWriteError', cause, info: {path}},
      'cannot write %s',
      path,
    );
  }
}
