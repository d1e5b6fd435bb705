/** Errors of storage. */
import VError from 'verror';

/** Durable data is damaged before its tail; the member must not start. */
export class CorruptStoreError extends VError {
  constructor(path: string, detail: string) {
    super({name: 'CorruptStoreError', info: {path}}, '%s: %s', path, detail);
  }
}

/** A live process holds the data folder. */
export class FolderLockedError extends VError {
  constructor(path: string) {
    super(
      {name: 'FolderLockedError', info: {path}},
      'data folder %s is in use by another process',
      path,
    );
  }
}

/** The data folder belongs to another group. */
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
