/** A value that one task publishes and other code reads. */

export interface Cell<T> {
  readonly value: T;
}

/** The publisher's side of a cell; it stays with the task that owns it. */
export interface OwnedCell<T> extends Cell<T> {
  value: T;
}

export function createCell<T>(value: T): OwnedCell<T> {
  return {value};
}
