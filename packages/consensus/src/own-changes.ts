/**
 * The changes that a member has proposed itself, as every other member decodes
 * them. They are decoded when they are proposed, so that a change that cannot be
 * decoded never enters the log, and need not be decoded again when they are
 * applied. A member learns of a commit by the encoded form alone, so they are
 * found by it; equal changes share an entry.
 */
export interface OwnChanges<C> {
  /** Notes a change that is being proposed under the ID of its request. */
  note(id: number, text: string, change: C): void;
  /** The change is in the log now. */
  accept(id: number): void;
  /** The change will never be in the log. */
  refuse(id: number): void;
  /**
   * Returns the change with this encoded form and forgets it; undefined if it
   * was not proposed here.
   */
  take(text: string): C | undefined;
  /** Forgets all changes, for instance when the leadership ends. */
  clear(): void;
}

export function createOwnChanges<C>(): OwnChanges<C> {
  const changes = new Map<string, C>();
  /** Encoded forms of changes that are not in the log yet, by request. */
  const proposed = new Map<number, string>();
  return {
    note(id, text, change) {
      proposed.set(id, text);
      changes.set(text, change);
    },
    accept: id => void proposed.delete(id),
    refuse(id) {
      const text = proposed.get(id);
      proposed.delete(id);
      if (text !== undefined) changes.delete(text);
    },
    take(text) {
      const change = changes.get(text);
      changes.delete(text);
      return change;
    },
    clear() {
      changes.clear();
      proposed.clear();
    },
  };
}
