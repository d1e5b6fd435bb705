import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {PersistentMap, visitDifferences} from '../src/index.js';

interface Edit {
  readonly key: string;
  /** Absent to delete the key. */
  readonly value?: number | undefined;
}

/** Keys with equal hashes, which must not replace one another. */
const COLLIDING_KEYS = findCollidingKeys();

const EDITS = fc.array(
  fc.record({
    key: fc.oneof(
      fc.integer({min: 0, max: 60}).map(number => `job-${number}`),
      fc.constantFrom(...COLLIDING_KEYS),
    ),
    value: fc.option(fc.integer({min: 0, max: 3}), {nil: undefined}),
  }),
  {maxLength: 80},
);

/** Two texts with the same FNV-1a hash, found by comparing random texts. */
function findCollidingKeys(): [string, string] {
  const byHash = new Map<number, string>();
  for (let number = 0; ; number++) {
    const key = `k${number}`;
    let hash = 0x811c9dc5;
    for (const character of key) {
      hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193);
    }
    const other = byHash.get(hash);
    if (other !== undefined) return [other, key];
    byHash.set(hash, key);
  }
}

function edit(
  map: PersistentMap<number>,
  edits: readonly Edit[],
): PersistentMap<number> {
  const editor = map.edit();
  for (const {key, value} of edits) {
    if (value === undefined) editor.delete(key);
    else editor.set(key, value);
    expect(editor.get(key)).toBe(value);
  }
  return editor.finish();
}

function editPlain(map: ReadonlyMap<string, number>, edits: readonly Edit[]) {
  const next = new Map(map);
  for (const {key, value} of edits) {
    if (value === undefined) next.delete(key);
    else next.set(key, value);
  }
  return next;
}

describe('PersistentMap', () => {
  it('has the entries of a Map, in the same order, after any edits', () => {
    fc.assert(
      fc.property(fc.array(EDITS, {maxLength: 6}), versions => {
        let map = PersistentMap.empty<number>();
        let plain = new Map<string, number>();
        for (const edits of versions) {
          map = edit(map, edits);
          plain = editPlain(plain, edits);
          expect([...map]).toEqual([...plain]);
          expect(map.values()).toEqual([...plain.values()]);
          expect(map.unorderedValues().sort()).toEqual(
            [...plain.values()].sort(),
          );
          expect(map.size).toBe(plain.size);
          for (const key of plain.keys()) {
            expect(map.get(key)).toBe(plain.get(key));
            expect(map.has(key)).toBe(true);
          }
        }
      }),
    );
  });

  it('leaves the maps unchanged from which others were edited', () => {
    fc.assert(
      fc.property(EDITS, EDITS, EDITS, (first, second, third) => {
        const base = edit(PersistentMap.empty(), first);
        const entries = [...base];
        const editor = base.edit();
        for (const {key, value} of second) {
          if (value === undefined) editor.delete(key);
          else editor.set(key, value);
        }
        const edited = editor.finish();
        const editedEntries = [...edited];
        // The editor stays usable and must not change what it has returned.
        for (const {key} of third) editor.set(key, -1);
        edit(base, third);
        expect([...PersistentMap.from(base)]).toEqual(entries);
        expect(base.values()).toEqual(entries.map(([, value]) => value));
        expect([...edited]).toEqual(editedEntries);
        for (const [key, value] of editedEntries) {
          expect(edited.get(key)).toBe(value);
        }
      }),
    );
  });

  it('finds every difference between two versions and no others', () => {
    fc.assert(
      fc.property(EDITS, EDITS, EDITS, (common, first, second) => {
        const base = edit(PersistentMap.empty(), common);
        const before = edit(base, first);
        const after = edit(base, second);
        const next = new Map(before);
        const visited = new Set<string>();
        visitDifferences(before, after, (old, current) => {
          const key = (old ?? current)!.key;
          expect(visited.has(key)).toBe(false);
          visited.add(key);
          expect(old?.value).toBe(before.get(key));
          expect(current?.value).toBe(after.get(key));
          const isChange =
            old?.value !== current?.value ||
            old?.sequence !== current?.sequence;
          expect(isChange).toBe(true);
          if (current) next.set(key, current.value);
          else next.delete(key);
        });
        const byKey = (a: [string, number], b: [string, number]) =>
          a[0] < b[0] ? -1 : 1;
        expect([...next].sort(byKey)).toEqual([...after].sort(byKey));
      }),
    );
  });

  it('shares what an edit does not change', () => {
    let map = PersistentMap.from(
      Array.from(
        {length: 10_000},
        (_, at) => [`job-${at}`, 0] as [string, number],
      ),
    );
    const before = map;
    const editor = map.edit();
    editor.set('job-77', 1);
    map = editor.finish();
    let visited = 0;
    visitDifferences(before, map, () => visited++);
    expect(visited).toBe(1);
    const shared = map.root.filter((child, at) => child === before.root[at]);
    expect(shared).toHaveLength(15);
  });
});
