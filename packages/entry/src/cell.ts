/** Values that one task publishes and other code reads. */

/** Read-only side of a published value. */
export interface Cell<T> {
  readonly value: T;
}

/** Writable side of a published value; only the owning task may hold it. */
export interface OwnedCell<T> extends Cell<T> {
  value: T;
}

export function createCell<T>(value: T): OwnedCell<T> {
  return {value};
}
