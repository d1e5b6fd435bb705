/** Reads scenario files; error messages name file and line. */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {isNode, LineCounter, parseDocument} from 'yaml';
import {scenarioSchema, type Scenario} from './schema.js';

/** Thrown for a scenario file that is not valid. */
export class ScenarioError extends Error {
  override readonly name = 'ScenarioError';
}

/** Parses a file. Throws `ScenarioError` with one line for each problem. */
export function parseScenario(file: string, text: string): Scenario {
  const lines = new LineCounter();
  const document = parseDocument(text, {lineCounter: lines});
  const lineAt = (offset: number) => lines.linePos(offset).line;
  if (document.errors.length > 0) {
    const texts = document.errors.map(
      ({pos, message}) =>
        `${file}:${lineAt(pos[0])}: ${message.split('\n')[0]}`,
    );
    throw new ScenarioError(texts.join('\n'));
  }
  /** Line of the deepest node on `path` that the document contains. */
  const lineOf = (path: readonly PropertyKey[]): number => {
    for (let length = path.length; length >= 0; length--) {
      const node = document.getIn(path.slice(0, length), true);
      if (isNode(node) && node.range) return lineAt(node.range[0]);
    }
    return 1;
  };
  const result = scenarioSchema.safeParse(document.toJS());
  if (result.success) {
    const {steps, lastsMs} = result.data;
    const lateIndex = steps.findIndex(({at}) => at > lastsMs);
    if (lateIndex < 0) return result.data;
    const line = lineOf(['steps', lateIndex]);
    const text = `steps.${lateIndex}.at is after lastsMs`;
    throw new ScenarioError(`${file}:${line}: ${text}`);
  }
  const texts = result.error.issues.map(({path, message}) => {
    const field = path.length > 0 ? `${path.map(String).join('.')}: ` : '';
    return `${file}:${lineOf(path)}: ${field}${message}`;
  });
  throw new ScenarioError(texts.join('\n'));
}

/** The scenario folder, found from `src` and from `dist/src` alike. */
const FOLDER = fileURLToPath(
  new URL(
    import.meta.url.includes('/dist/')
      ? '../../../scenarios/'
      : '../../scenarios/',
    import.meta.url,
  ),
);

/** Reads all scenarios of the folder, sorted by file name. */
export function loadScenarios(folder = FOLDER): Scenario[] {
  return readdirSync(folder)
    .filter(name => name.endsWith('.yaml'))
    .sort()
    .map(name => parseScenario(name, readFileSync(join(folder, name), 'utf8')));
}
