/** Reads the settings from flags and environment variables. */
import {readFileSync} from 'node:fs';
import sade from 'sade';
import type {z} from 'zod';
import {check} from './check.js';
import {SettingsError} from './error.js';
import {
  flagOf,
  KEY_HASH_RANGE,
  keyHashSchema,
  SECRET_RANGE,
  secretSchema,
  SETTINGS,
  variableOf,
  type SettingName,
  type Values,
} from './table.js';

/** Checked settings; secrets that stood in files are filled in. */
export type Settings = Values;

/** Flag or variable that a value came from; absent for a default. */
export type Sources = Readonly<Partial<Record<SettingName, string>>>;

/** Names of all settings, in the order of the table. */
export const SETTING_NAMES = Object.keys(SETTINGS) as SettingName[];

/** What the parser needs from its process; tests replace it. */
export interface Surroundings {
  readonly env: Readonly<Record<string, string | undefined>>;
  readFile(path: string): string;
}

const PROCESS: Surroundings = {
  env: process.env,
  readFile: path => readFileSync(path, 'utf8'),
};

/** Pairs of settings that say the same thing; a flag beats a variable. */
const ALTERNATIVES: readonly (readonly [SettingName, SettingName])[] = [
  ['clusterSecret', 'clusterSecretFile'],
  ['operatorKeyHash', 'operatorKeyFile'],
];

/**
 * Parses `args` (without the node binary and the script). Returns undefined
 * after it printed the help text. Throws `SettingsError`.
 */
export function parseSettings(
  args: readonly string[],
  surroundings: Surroundings = PROCESS,
): Settings | undefined {
  const flags = parseFlags(args);
  if (!flags) return undefined;
  const texts: Partial<Record<SettingName, string>> = {};
  const sources: Partial<Record<SettingName, string>> = {};
  for (const name of SETTING_NAMES) {
    const flag = flags[flagOf(name)];
    const variable = surroundings.env[variableOf(name)];
    if (flag !== undefined) {
      texts[name] = flagText(name, flag);
      sources[name] = `--${flagOf(name)}`;
    } else if (variable !== undefined) {
      texts[name] = variable;
      sources[name] = variableOf(name);
    }
  }
  dropOverruled(texts, sources);
  const values = Object.fromEntries(
    SETTING_NAMES.map(name => [name, valueOf(name, texts[name], sources)]),
  ) as unknown as Values;
  check(values, sources);
  return withFiles(values, sources, surroundings);
}

function parseFlags(
  args: readonly string[],
): Record<string, unknown> | undefined {
  const program = sade('lentildriftd', true);
  program.describe('Runs the roles of lentildrift.');
  for (const name of SETTING_NAMES) {
    const {help, range, fallback} = SETTINGS[name];
    const shown = fallback === undefined ? '' : `; default ${fallback}`;
    // A default given to sade would hide the environment variable.
    program.option(
      `--${flagOf(name)}`,
      `${help} [${range}${shown}] (${variableOf(name)})`,
    );
  }
  const result = program.parse(['', '', ...args], {
    lazy: true,
    string: SETTING_NAMES.filter(name => name !== 'embedded').map(flagOf),
    boolean: ['embedded'],
    unknown: flag => {
      throw new SettingsError(`unknown flag ${flag}; see --help`);
    },
  });
  if (!result) return undefined;
  const parsed = result.args.at(-1) as unknown as Record<string, unknown>;
  const [stray] = parsed['_'] as string[];
  if (stray !== undefined) {
    throw new SettingsError(`unexpected argument "${stray}"; see --help`);
  }
  const given = (flag: string) =>
    args.some(arg => arg.replace(/^--(no-)?/, '').split('=')[0] === flag);
  return Object.fromEntries(
    Object.entries(parsed).filter(([flag]) => given(flag)),
  );
}

function flagText(name: SettingName, flag: unknown): string {
  if (Array.isArray(flag)) {
    throw new SettingsError(`--${flagOf(name)} is given more than once`);
  }
  return String(flag);
}

function dropOverruled(
  texts: Partial<Record<SettingName, string>>,
  sources: Partial<Record<SettingName, string>>,
): void {
  for (const [a, b] of ALTERNATIVES) {
    const [first, second] = [sources[a], sources[b]];
    if (!first || !second) continue;
    if (first.startsWith('--') === second.startsWith('--')) {
      throw new SettingsError(`${first} and ${second} exclude each other`);
    }
    const overruled = first.startsWith('--') ? b : a;
    delete texts[overruled];
    delete sources[overruled];
  }
}

function valueOf(
  name: SettingName,
  text: string | undefined,
  sources: Sources,
): unknown {
  const {schema, fallback, range} = SETTINGS[name];
  const parsed = schema.safeParse(text ?? fallback);
  if (parsed.success) return parsed.data;
  // A secret that fails the check must not appear in a log.
  const shown = name === 'clusterSecret' ? '' : ` "${text}"`;
  throw new SettingsError(`${sources[name]}${shown} must be ${range}`);
}

function withFiles(
  values: Values,
  sources: Sources,
  surroundings: Surroundings,
): Settings {
  const read = <S extends z.ZodType>(
    name: 'clusterSecretFile' | 'operatorKeyFile',
    schema: S,
    range: string,
  ): z.output<S> | undefined => {
    const path = values[name];
    if (path === undefined) return undefined;
    let text;
    try {
      text = surroundings.readFile(path).trim();
    } catch (error) {
      const reason = (error as NodeJS.ErrnoException).code ?? String(error);
      throw new SettingsError(
        `${sources[name]} "${path}" cannot be read: ${reason}`,
      );
    }
    const parsed = schema.safeParse(text);
    if (parsed.success) return parsed.data;
    throw new SettingsError(
      `${sources[name]} "${path}" must be a file that holds ${range}`,
    );
  };
  return {
    ...values,
    clusterSecret:
      values.clusterSecret ??
      read('clusterSecretFile', secretSchema, SECRET_RANGE),
    operatorKeyHash:
      values.operatorKeyHash ??
      read('operatorKeyFile', keyHashSchema, KEY_HASH_RANGE),
  };
}
