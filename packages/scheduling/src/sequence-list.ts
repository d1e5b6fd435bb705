import type {MapEntry} from '@lentildrift/queue';

/**
 * Replaces an entry of an indexed map: adds it if `before` is absent, removes it
 * if `after` is. If both are present, their sequences are equal.
 */
export type UpdateEntry<V> = (
  before: MapEntry<V> | undefined,
  after: MapEntry<V> | undefined,
) => void;

/** A list that is ordered by the sequence of its items in a `PersistentMap`. */
export interface SequenceList<T> {
  readonly items: readonly T[];
  /** Inserts the item, or replaces the one with the same sequence. */
  set(sequence: number, item: T): void;
  delete(sequence: number): void;
}

export function createSequenceList<T>(): SequenceList<T> {
  const sequences: number[] = [];
  const items: T[] = [];

  /** Position of the first item whose sequence is not lower. */
  function find(sequence: number): number {
    let low = 0;
    let high = sequences.length;
    if (high > 0 && sequences[high - 1]! < sequence) return high;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (sequences[middle]! < sequence) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  return {
    items,
    set(sequence, item) {
      const at = find(sequence);
      if (sequences[at] === sequence) {
        items[at] = item;
        return;
      }
      sequences.splice(at, 0, sequence);
      items.splice(at, 0, item);
    },
    delete(sequence) {
      const at = find(sequence);
      if (sequences[at] !== sequence) return;
      sequences.splice(at, 1);
      items.splice(at, 1);
    },
  };
}
