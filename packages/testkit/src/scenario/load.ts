/** Reads scenario files; errors name file and line. */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {isNode, LineCounter, parseDocument} from 'yaml';
import {scenarioSchema, type Scenario} from './schema.js';

/** A scenario file that cannot be used. */
export class ScenarioError extends Error {
  override readonly name = 'ScenarioError';
}

/** Throws `ScenarioError` with one line for each problem. */
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
  /** The deepest part of the document on the way to `path`. */
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
    const late = steps.findIndex(({at}) => at > lastsMs);
    if (late < 0) return result.data;
    const line = lineOf(['steps', late]);
    const text = `steps.${late}.at is after lastsMs`;
    throw new ScenarioError(`${file}:${line}: ${text}`);
  }
  const texts = result.error.issues.map(({path, message}) => {
    const field = path.length > 0 ? `${path.map(String).join('.')}: ` : '';
    return `${file}:${lineOf(path)}: ${field}${message}`;
  });
  throw new ScenarioError(texts.join('\n'));
}

/** From `src` as from `dist/src`. */
const FOLDER = fileURLToPath(
  new URL(
    import.meta.url.includes('/dist/')
      ? '../../../scenarios/'
      : '../../scenarios/',
    import.meta.url,
  ),
);

/** Every scenario of the repository, by file name. */
export function loadScenarios(folder = FOLDER): Scenario[] {
  return readdirSync(folder)
    .filter(name => name.endsWith('.yaml'))
    .sort()
    .map(name => parseScenario(name, readFileSync(join(folder, name), 'utf8')));
}
