/** Loads table files, merges them into the current tables and compares. */
import {
  mergeTables,
  tableEditSchema,
  type TableEdit,
  type Tables,
} from '@lentildrift/model';
import {loadDocument, type LoadedDocument} from './document.js';

/** The content of a file for `apply`: a table edit without `basedOn`. */
export const tableFileSchema = tableEditSchema
  .omit({basedOn: true})
  .refine(file => file.teams ?? file.routes ?? file.pools, {
    message: 'at least one of the sections teams, routes and pools is needed',
  });
export type TableFile = Omit<TableEdit, 'basedOn'>;

/** Parses and checks a table file. Throws only `DocumentError`. */
export function loadTableFile(
  file: string,
  text: string,
): LoadedDocument<TableFile> {
  return loadDocument(file, text, tableFileSchema);
}

/**
 * Returns `tables` with the sections of the file replaced. Throws
 * `DocumentError` if the result is inconsistent.
 */
export function mergeTableFile(
  tables: Tables,
  loaded: LoadedDocument<TableFile>,
): Tables {
  const edit = {...loaded.value, basedOn: tables.version};
  const merged = mergeTables(tables, edit);
  if (merged.problems.length > 0) throw loaded.createError(merged.problems);
  return merged.tables;
}

/** A row that differs between two versions of the tables. */
export interface Difference {
  readonly section: 'teams' | 'routes' | 'pools';
  readonly name: string;
  readonly kind: 'added' | 'removed' | 'changed';
  /** Fields that differ, for a changed row. */
  readonly fields: readonly {
    readonly field: string;
    readonly from: unknown;
    readonly to: unknown;
  }[];
}

export function compareTables(before: Tables, after: Tables): Difference[] {
  return (['teams', 'pools', 'routes'] as const).flatMap(section =>
    compareRows(section, before[section], after[section]),
  );
}

function compareRows(
  section: Difference['section'],
  before: Readonly<Record<string, object>>,
  after: Readonly<Record<string, object>>,
): Difference[] {
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names].sort().flatMap((name): Difference[] => {
    const old = Object.hasOwn(before, name) ? before[name] : undefined;
    const row = Object.hasOwn(after, name) ? after[name] : undefined;
    if (!old) return [{section, name, kind: 'added', fields: []}];
    if (!row) return [{section, name, kind: 'removed', fields: []}];
    const fields = compareFields(old, row);
    if (fields.length === 0) return [];
    return [{section, name, kind: 'changed', fields}];
  });
}

function compareFields(old: object, row: object): Difference['fields'] {
  const fields = new Set([...Object.keys(old), ...Object.keys(row)]);
  const from = old as Record<string, unknown>;
  const to = row as Record<string, unknown>;
  return [...fields]
    .filter(field => JSON.stringify(from[field]) !== JSON.stringify(to[field]))
    .map(field => ({field, from: from[field], to: to[field]}));
}

/** Formats one line per row, as in `~ pools booking: minAvailable 1 -> 2`. */
export function formatDifferences(differences: readonly Difference[]): string {
  if (differences.length === 0) return 'no differences\n';
  const sign = {added: '+', removed: '-', changed: '~'};
  return differences
    .map(({section, name, kind, fields}) => {
      const texts = fields.map(
        ({field, from, to}) =>
          `${field} ${formatValue(from)} -> ${formatValue(to)}`,
      );
      const details = texts.length === 0 ? '' : `: ${texts.join(', ')}`;
      return `${sign[kind]} ${section} ${name}${details}\n`;
    })
    .join('');
}

function formatValue(value: unknown): string {
  return value === undefined ? 'none' : JSON.stringify(value);
}
