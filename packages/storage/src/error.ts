/** Errors of storage. */
import VError from 'verror';

/** Durable data is damaged before its tail; the member must not start. */
export class CorruptStore extends VError {
  constructor(path: string, detail: string) {
    super({name: 'CorruptStore', info: {path}}, '%s: %s', path, detail);
  }
}

/** A live process holds the data folder. */
export class FolderLocked extends VError {
  constructor(path: string) {
    super(
      {name: 'FolderLocked', info: {path}},
      'data folder %s is in use by another process',
      path,
    );
  }
}

/** The data folder belongs to another group. */
export class WrongGroup extends VError {
  constructor(path: string, found: string, wanted: string) {
    super(
      {name: 'WrongGroup', info: {path, found, wanted}},
      'data folder %s belongs to group %s, not %s',
      path,
      found,
      wanted,
    );
  }
}

/** A write or sync failed; the store accepts no further writes. */
export class StoreFailed extends VError {
  constructor(path: string, cause: Error) {
    super({name: 'StoreFailed', cause, info: {path}}, 'cannot write %s', path);
  }
}
