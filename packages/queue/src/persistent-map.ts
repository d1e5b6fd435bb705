/**
 * An immutable map that shares its unchanged parts with the maps it was edited
 * from: a hash trie with 16 branches. The cost of an edit, and of finding the
 * differences between two versions, depends on the number of changed entries
 * and hardly on the size of the map.
 */

/** An entry of a map. */
export interface MapEntry<V> {
  readonly key: string;
  readonly value: V;
  /** Higher for entries that were inserted later; kept when the value changes. */
  readonly sequence: number;
}

interface Leaf<V> extends MapEntry<V> {
  readonly hash: number;
  /** Next entry whose key has the same hash. */
  readonly next: Leaf<V> | undefined;
}

type Branch<V> = (Branch<V> | Leaf<V> | undefined)[];
type Child<V> = Branch<V> | Leaf<V> | undefined;

const BITS = 4;
const BRANCHES = 1 << BITS;

/** FNV-1a, followed by a mix so that the low bits depend on all characters. */
function hashKey(key: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < key.length; index++) {
    hash = Math.imul(hash ^ key.charCodeAt(index), 0x01000193);
  }
  return (hash ^ (hash >>> 15)) >>> 0;
}

function branchIndex(hash: number, shift: number): number {
  return (hash >>> shift) & (BRANCHES - 1);
}

function isBranch<V>(child: Child<V>): child is Branch<V> {
  return Array.isArray(child);
}

function newBranch<V>(): Branch<V> {
  return new Array<Child<V>>(BRANCHES).fill(undefined);
}

function findLeaf<V>(root: Branch<V>, key: string): Leaf<V> | undefined {
  const hash = hashKey(key);
  let child: Child<V> = root;
  for (let shift = 0; isBranch(child); shift += BITS) {
    child = child[branchIndex(hash, shift)];
  }
  while (child && child.key !== key) child = child.next;
  return child;
}

/** Iterates in the order in which the keys were inserted, like `Map`. */
export class PersistentMap<V> {
  private sortedEntries: readonly MapEntry<V>[] | undefined;

  /** For `MapEditor` only. */
  constructor(
    readonly root: Branch<V>,
    readonly size: number,
    /** Sequence of the next entry that is inserted. */
    readonly nextSequence: number,
  ) {}

  static empty<V>(): PersistentMap<V> {
    return new PersistentMap<V>(newBranch(), 0, 0);
  }

  static from<V>(entries: Iterable<readonly [string, V]>): PersistentMap<V> {
    const editor = PersistentMap.empty<V>().edit();
    for (const [key, value] of entries) editor.set(key, value);
    return editor.finish();
  }

  get(key: string): V | undefined {
    return findLeaf(this.root, key)?.value;
  }

  has(key: string): boolean {
    return findLeaf(this.root, key) !== undefined;
  }

  /** The values, in time that grows with the size of the map. */
  values(): V[] {
    return this.sorted().map(({value}) => value);
  }

  /** The values in no particular order, without the time to sort them. */
  unorderedValues(): V[] {
    const leaves: Leaf<V>[] = [];
    collectLeaves(this.root, leaves);
    return leaves.map(({value}) => value);
  }

  /** The entries, in time that grows with the size of the map. */
  *[Symbol.iterator](): Generator<[string, V]> {
    for (const {key, value} of this.sorted()) yield [key, value];
  }

  edit(): MapEditor<V> {
    return new MapEditor(this);
  }

  private sorted(): readonly MapEntry<V>[] {
    if (this.sortedEntries) return this.sortedEntries;
    const entries: Leaf<V>[] = [];
    collectLeaves(this.root, entries);
    entries.sort((a, b) => a.sequence - b.sequence);
    this.sortedEntries = entries;
    return entries;
  }
}

/** Edits a copy of a map. Each shared part is copied before its first change. */
export class MapEditor<V> {
  private root: Branch<V>;
  private size: number;
  private nextSequence: number;
  /** Branches that no other map contains. */
  private readonly owned = new Set<Branch<V>>();

  constructor(base: PersistentMap<V>) {
    ({
      root: this.root,
      size: this.size,
      nextSequence: this.nextSequence,
    } = base);
  }

  get(key: string): V | undefined {
    return findLeaf(this.root, key)?.value;
  }

  set(key: string, value: V): void {
    const hash = hashKey(key);
    let branch = (this.root = this.own(this.root));
    for (let shift = 0; ; shift += BITS) {
      const index = branchIndex(hash, shift);
      const child: Child<V> = branch[index];
      if (isBranch(child)) {
        branch = branch[index] = this.own(child);
        continue;
      }
      if (child && child.hash !== hash) {
        const split = newBranch<V>();
        this.owned.add(split);
        split[branchIndex(child.hash, shift + BITS)] = child;
        branch = branch[index] = split;
        continue;
      }
      branch[index] = this.withValue(child, key, value, hash);
      return;
    }
  }

  delete(key: string): void {
    if (!findLeaf(this.root, key)) return;
    const hash = hashKey(key);
    this.root = this.own(this.root);
    this.size--;
    this.deleteFrom(this.root, key, hash, 0);
  }

  /** Returns the edited map, which later edits do not affect. */
  finish(): PersistentMap<V> {
    this.owned.clear();
    return new PersistentMap(this.root, this.size, this.nextSequence);
  }

  private own(branch: Branch<V>): Branch<V> {
    if (this.owned.has(branch)) return branch;
    const copy = branch.slice();
    this.owned.add(copy);
    return copy;
  }

  /** Sets the value in a list of entries whose keys have the same hash. */
  private withValue(
    first: Leaf<V> | undefined,
    key: string,
    value: V,
    hash: number,
  ): Leaf<V> {
    // Each field is named: copies by spread took most of the time of an edit.
    if (!first) {
      this.size++;
      const sequence = this.nextSequence++;
      return {key, value, hash, sequence, next: undefined};
    }
    if (first.key !== key) {
      return {...first, next: this.withValue(first.next, key, value, hash)};
    }
    return {key, value, hash, sequence: first.sequence, next: first.next};
  }

  private deleteFrom(
    branch: Branch<V>,
    key: string,
    hash: number,
    shift: number,
  ): void {
    const index = branchIndex(hash, shift);
    const child = branch[index];
    if (isBranch(child)) {
      const owned = this.own(child);
      this.deleteFrom(owned, key, hash, shift + BITS);
      branch[index] = collapse(owned);
    } else {
      branch[index] = withoutKey(child, key);
    }
  }
}

function withoutKey<V>(
  first: Leaf<V> | undefined,
  key: string,
): Leaf<V> | undefined {
  if (!first || first.key === key) return first?.next;
  return {...first, next: withoutKey(first.next, key)};
}

/** Replaces a branch that holds a single leaf by the leaf. */
function collapse<V>(branch: Branch<V>): Child<V> {
  let only: Child<V>;
  for (const child of branch) {
    if (!child) continue;
    if (only) return branch;
    only = child;
  }
  return isBranch(only) ? branch : only;
}

function collectLeaves<V>(child: Child<V>, leaves: Leaf<V>[]): void {
  if (isBranch(child)) {
    for (const each of child) if (each) collectLeaves(each, leaves);
    return;
  }
  for (let leaf = child; leaf; leaf = leaf.next) leaves.push(leaf);
}

/**
 * Calls `visit` for each key whose value differs between the two maps, and for
 * each key that was deleted and inserted again.
 */
export function visitDifferences<V>(
  before: PersistentMap<V>,
  after: PersistentMap<V>,
  visit: (
    before: MapEntry<V> | undefined,
    after: MapEntry<V> | undefined,
  ) => void,
): void {
  compare(before.root, after.root);

  function compare(a: Child<V>, b: Child<V>): void {
    if (a === b) return;
    if (isBranch(a) && isBranch(b)) {
      for (let index = 0; index < BRANCHES; index++) {
        if (a[index] !== b[index]) compare(a[index], b[index]);
      }
      return;
    }
    const old: Leaf<V>[] = [];
    const current: Leaf<V>[] = [];
    collectLeaves(a, old);
    collectLeaves(b, current);
    for (const leaf of old) {
      const match = current.find(({key}) => key === leaf.key);
      const isSame =
        match?.value === leaf.value && match.sequence === leaf.sequence;
      if (!isSame) visit(leaf, match);
    }
    for (const leaf of current) {
      if (!old.some(({key}) => key === leaf.key)) visit(undefined, leaf);
    }
  }
}
