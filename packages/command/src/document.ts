/** Loads YAML and JSON files; errors name the file, line, column and field. */
import {
  isAlias,
  isMap,
  isScalar,
  isSeq,
  LineCounter,
  parseDocument,
  visit,
  type Document,
} from 'yaml';
import type {z} from 'zod';
import {CommandError} from './error.js';

const MAX_FILE_CHARACTERS = 8 * 1024 * 1024;
const MAX_PROBLEMS_SHOWN = 20;

export type FieldPath = readonly PropertyKey[];

/** One error in a file; `line` and `column` start at 1. */
export interface Problem {
  readonly line: number;
  readonly column: number;
  /** Path such as `pools[0].hosts[2]`; empty for the whole file. */
  readonly field: string;
  readonly message: string;
}

/** The whole file is rejected because of `problems`. */
export class DocumentError extends CommandError {
  constructor(
    readonly file: string,
    readonly problems: readonly Problem[],
  ) {
    super(formatProblems(file, problems));
    this.name = 'DocumentError';
  }
}

export interface LoadedDocument<T> {
  readonly value: T;
  /** Creates the error for problems found in `value` by later checks. */
  createError(
    found: readonly {path: FieldPath; message: string}[],
  ): DocumentError;
}

/** Parses and checks `text` against `schema`. Throws only `DocumentError`. */
export function loadDocument<S extends z.ZodType>(
  file: string,
  text: string,
  schema: S,
): LoadedDocument<z.output<S>> {
  const lineCounter = new LineCounter();
  const document = parseYaml(file, text, lineCounter);
  const createError = (found: readonly {path: FieldPath; message: string}[]) =>
    new DocumentError(
      file,
      found.map(({path, message}) => ({
        ...locateField(document, lineCounter, path),
        field: formatFieldPath(path),
        message,
      })),
    );
  const checked = schema.safeParse(convertToValue(file, document));
  if (checked.success) return {value: checked.data, createError};
  throw createError(checked.error.issues.flatMap(expandIssue));
}

/** Moves the report of an unknown key from its parent to the key itself. */
function expandIssue(issue: z.core.$ZodIssue) {
  const {path, message} = issue;
  if (issue.code !== 'unrecognized_keys') return [{path, message}];
  return issue.keys.map(key => ({
    path: [...path, key],
    message: 'unknown field',
  }));
}

function parseYaml(
  file: string,
  text: string,
  lineCounter: LineCounter,
): Document {
  if (text.length > MAX_FILE_CHARACTERS) {
    throw createWholeFileError(
      file,
      `the file is above ${MAX_FILE_CHARACTERS} characters`,
    );
  }
  let document: Document;
  try {
    document = parseDocument(text, {
      lineCounter,
      logLevel: 'error',
      prettyErrors: false,
    });
    checkAliases(file, document, lineCounter);
  } catch (error) {
    if (error instanceof DocumentError) throw error;
    throw createWholeFileError(
      file,
      `cannot be parsed: ${describeParseError(error)}`,
    );
  }
  const yamlErrors = [...document.errors, ...document.warnings];
  if (yamlErrors.length === 0) return document;
  throw new DocumentError(
    file,
    yamlErrors.map(({pos, message}) => ({
      ...toPosition(lineCounter, pos[0]),
      field: '',
      message,
    })),
  );
}

function checkAliases(
  file: string,
  document: Document,
  lineCounter: LineCounter,
): void {
  visit(document, {
    Alias(_key, node) {
      if (node.resolve(document)) return;
      const {line, column} = toPosition(lineCounter, node.range?.[0] ?? 0);
      const message = `unknown alias "${node.source}"`;
      throw new DocumentError(file, [{line, column, field: '', message}]);
    },
  });
}

function convertToValue(file: string, document: Document): unknown {
  try {
    return document.toJS();
  } catch (error) {
    throw createWholeFileError(
      file,
      `cannot be parsed: ${describeParseError(error)}`,
    );
  }
}

function createWholeFileError(file: string, message: string): DocumentError {
  return new DocumentError(file, [{line: 1, column: 1, field: '', message}]);
}

function describeParseError(error: unknown): string {
  return error instanceof RangeError
    ? 'nested too deeply'
    : String((error as Error).message).split('\n')[0]!;
}

/** Returns the position of the field at `path`, or of its nearest ancestor. */
function locateField(
  document: Document,
  lineCounter: LineCounter,
  path: FieldPath,
) {
  let node: unknown = document.contents;
  let offset = getStartOffset(node) ?? 0;
  for (const step of path) {
    if (isAlias(node)) node = node.resolve(document);
    if (isMap(node)) {
      const pair = node.items.find(
        ({key}) => String(isScalar(key) ? key.value : key) === String(step),
      );
      if (!pair) break;
      node = pair.value;
      offset = getStartOffset(pair.key) ?? offset;
    } else if (isSeq(node)) {
      node = node.items[Number(step)];
      offset = getStartOffset(node) ?? offset;
    } else {
      break;
    }
  }
  return toPosition(lineCounter, offset);
}

function getStartOffset(node: unknown): number | undefined {
  const {range} = (node ?? {}) as {range?: readonly number[] | null};
  return range?.[0];
}

function toPosition(lineCounter: LineCounter, offset: number) {
  const {line, col} = lineCounter.linePos(offset);
  // `linePos` returns line 0 for an empty file.
  return {line: Math.max(1, line), column: Math.max(1, col)};
}

function formatFieldPath(path: FieldPath): string {
  return path
    .map(step => (typeof step === 'number' ? `[${step}]` : `.${String(step)}`))
    .join('')
    .replace(/^\./, '');
}

function formatProblems(file: string, problems: readonly Problem[]): string {
  const shown = problems.slice(0, MAX_PROBLEMS_SHOWN);
  const texts = shown.map(({line, column, field, message}) => {
    const subject = field === '' ? '' : `${field}: `;
    return `${file}:${line}:${column}: ${subject}${message}`;
  });
  const more = problems.length - shown.length;
  return [...texts, ...(more > 0 ? [`and ${more} more`] : [])].join('\n');
}
