/**
 * Differences between two versions of the tables. Operators send complete
 * tables with thousands of rows of which an edit changes a few, so recording
 * the difference costs a small part of recording the tables.
 */
import {z} from 'zod';
import {Pool, Queue, Team, type Tables} from './table.js';

/** A range of the base: from an index up to, but not including, another one. */
const Copy = z.object({
  from: z.int().nonnegative(),
  to: z.int().nonnegative(),
});
type Copy = z.infer<typeof Copy>;

function rowPieces<T extends z.ZodType>(row: T) {
  return z.array(z.union([Copy, z.object({rows: z.array(row)})]));
}

/**
 * Describes tables by pieces that are either copied from the base or new. A
 * version is recorded at most once and never replaced by other content of the
 * same version, so the version identifies the base.
 */
export const TablesDifference = z.object({
  /** Version of the tables that the pieces are copied from. */
  base: z.number().nonnegative(),
  /** Version of the described tables. */
  version: z.number().nonnegative(),
  queues: rowPieces(Queue),
  pools: rowPieces(Pool),
  teams: rowPieces(Team),
  /** Indexes count UTF-16 units. */
  document: z.array(z.union([Copy, z.object({text: z.string()})])),
});
export type TablesDifference = z.infer<typeof TablesDifference>;

type Piece<T> = Copy | T[];

/** Finds the difference that turns `base` into `tables`. */
export function findDifference(base: Tables, tables: Tables): TablesDifference {
  return {
    base: base.version,
    version: tables.version,
    queues: findRowPieces(base.queues, tables.queues),
    pools: findRowPieces(base.pools, tables.pools),
    teams: findRowPieces(base.teams, tables.teams),
    document: findDocumentPieces(base.document, tables.document),
  };
}

function findRowPieces<T extends {readonly name: string}>(
  base: readonly T[],
  rows: readonly T[],
): (Copy | {rows: T[]})[] {
  const pieces = findPieces(base, rows, row => row.name, isEqual);
  return pieces.map(piece => (Array.isArray(piece) ? {rows: piece} : piece));
}

function findDocumentPieces(
  base: string,
  document: string,
): (Copy | {text: string})[] {
  const segments = splitDocument(base);
  const ends: number[] = [];
  let end = 0;
  for (const {length} of segments) ends.push((end += length));
  const pieces = findPieces(
    segments,
    splitDocument(document),
    segment => segment,
    (one, other) => one === other,
  );
  return pieces.map(piece =>
    Array.isArray(piece)
      ? {text: piece.join('')}
      : {from: ends[piece.from - 1] ?? 0, to: ends[piece.to - 1]!},
  );
}

/**
 * Splits the text behind each closing brace. In JSON a row is an object, so a
 * changed row changes the segments of this row only. A text of another kind is
 * compared in longer segments, which is correct as well.
 */
function splitDocument(text: string): string[] {
  const segments: string[] = [];
  let start = 0;
  while (start < text.length) {
    const brace = text.indexOf('}', start);
    const end = brace < 0 ? text.length : brace + 1;
    segments.push(text.slice(start, end));
    start = end;
  }
  return segments;
}

/** Describes `items` by ranges of `base` and by items that it does not have. */
function findPieces<T>(
  base: readonly T[],
  items: readonly T[],
  keyOf: (item: T) => string,
  isSame: (one: T, other: T) => boolean,
): Piece<T>[] {
  const pieces: Piece<T>[] = [];
  let last: Piece<T> | undefined;
  let indexes: ReadonlyMap<string, number> | undefined;
  const find = (item: T, expected: number): number | undefined => {
    const candidate = base[expected];
    if (candidate !== undefined && isSame(candidate, item)) return expected;
    indexes ??= new Map(base.map((each, at) => [keyOf(each), at]));
    const at = indexes.get(keyOf(item));
    return at !== undefined && isSame(base[at]!, item) ? at : undefined;
  };
  /** Most changed items replace one of the base, so the next one follows it. */
  let expected = 0;
  for (const item of items) {
    const at = find(item, expected);
    if (at === undefined) {
      if (Array.isArray(last)) last.push(item);
      else pieces.push((last = [item]));
      expected++;
    } else {
      if (last && !Array.isArray(last) && last.to === at) last.to++;
      else pieces.push((last = {from: at, to: at + 1}));
      expected = at + 1;
    }
  }
  return pieces;
}

/** Compares the values of two rows. */
function isEqual(one: unknown, other: unknown): boolean {
  if (one === other) return true;
  if (!isObject(one) || !isObject(other)) return false;
  const keys = Object.keys(one);
  if (keys.length !== Object.keys(other).length) return false;
  if (Array.isArray(one) !== Array.isArray(other)) return false;
  for (const key of keys) {
    const value = other[key];
    if (value === undefined && !Object.hasOwn(other, key)) return false;
    if (one[key] !== value && !isEqual(one[key], value)) return false;
  }
  return true;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

/**
 * The last difference applied to each version of the tables. The leader applies
 * a change twice, when it is projected and when it is committed; with one result
 * for both, the lookups in the new tables are built once.
 */
const lastApplied = new WeakMap<
  Tables,
  {readonly difference: TablesDifference; readonly tables: Tables}
>();

/**
 * Returns the tables that the difference describes, which share the unchanged
 * rows with the base; undefined if `base` is not the base of the difference.
 */
export function applyDifference(
  base: Tables,
  difference: TablesDifference,
): Tables | undefined {
  if (difference.base !== base.version) return undefined;
  const last = lastApplied.get(base);
  if (last && isEqual(last.difference, difference)) return last.tables;
  if (!isWithin(base, difference)) return undefined;
  const tables: Tables = {
    version: difference.version,
    queues: buildRows(base.queues, difference.queues),
    pools: buildRows(base.pools, difference.pools),
    teams: buildRows(base.teams, difference.teams),
    document: buildDocument(base.document, difference.document),
  };
  lastApplied.set(base, {difference, tables});
  return tables;
}

function isWithin(base: Tables, difference: TablesDifference): boolean {
  return (['queues', 'pools', 'teams', 'document'] as const).every(part => {
    const pieces: readonly (Copy | object)[] = difference[part];
    return pieces.every(
      piece =>
        !('to' in piece) ||
        (piece.from <= piece.to && piece.to <= base[part].length),
    );
  });
}

function buildRows<T>(base: T[], pieces: readonly (Copy | {rows: T[]})[]): T[] {
  return pieces.flatMap(piece =>
    'rows' in piece ? piece.rows : base.slice(piece.from, piece.to),
  );
}

/** Joined, not concatenated: the result must not keep the base in memory. */
function buildDocument(
  base: string,
  pieces: readonly (Copy | {text: string})[],
): string {
  return pieces
    .map(piece =>
      'text' in piece ? piece.text : base.slice(piece.from, piece.to),
    )
    .join('');
}
