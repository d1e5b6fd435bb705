/** Parses the settings from flags and environment variables. */
import {readFileSync} from 'node:fs';
import sade from 'sade';
import type {z} from 'zod';
import {checkCombinations} from './check.js';
import {SettingsError} from './error.js';
import {
  toFlagName,
  KEY_HASH_RANGE,
  keyHashSchema,
  SECRET_RANGE,
  secretSchema,
  SETTINGS,
  toVariableName,
  type SettingName,
  type SettingValues,
} from './table.js';

/** Checked settings, including the secrets that were read from files. */
export type Settings = SettingValues;

/** The flag or variable that each value comes from; absent for a default. */
export type SettingSources = Readonly<Partial<Record<SettingName, string>>>;

/** Names of all settings, in the order of `SETTINGS`. */
export const SETTING_NAMES = Object.keys(SETTINGS) as SettingName[];

/** Environment and file access of the process; tests provide their own. */
export interface ProcessContext {
  readonly env: Readonly<Record<string, string | undefined>>;
  readFile(path: string): string;
}

const CURRENT_PROCESS: ProcessContext = {
  env: process.env,
  readFile: path => readFileSync(path, 'utf8'),
};

/**
 * Pairs of settings that set the same value. If both are given, a flag
 * overrides an environment variable.
 */
const ALTERNATIVES: readonly (readonly [SettingName, SettingName])[] = [
  ['clusterSecret', 'clusterSecretFile'],
  ['operatorKeyHash', 'operatorKeyFile'],
];

/**
 * Parses `args`, the command line without the node binary and the script.
 * Returns undefined if `args` asks for the help text, which is then printed.
 * Throws `SettingsError` if a setting is wrong.
 */
export function parseSettings(
  args: readonly string[],
  processContext: ProcessContext = CURRENT_PROCESS,
): Settings | undefined {
  const flags = parseFlags(args);
  if (!flags) return undefined;
  const texts: Partial<Record<SettingName, string>> = {};
  const sources: Partial<Record<SettingName, string>> = {};
  for (const name of SETTING_NAMES) {
    const flag = flags[toFlagName(name)];
    const variable = processContext.env[toVariableName(name)];
    if (flag !== undefined) {
      texts[name] = readFlagText(name, flag);
      sources[name] = `--${toFlagName(name)}`;
    } else if (variable !== undefined) {
      texts[name] = variable;
      sources[name] = toVariableName(name);
    }
  }
  dropOverriddenAlternatives(texts, sources);
  const values = Object.fromEntries(
    SETTING_NAMES.map(name => [name, parseValue(name, texts[name], sources)]),
  ) as unknown as SettingValues;
  checkCombinations(values, sources);
  return readSecretFiles(values, sources, processContext);
}

/** Returns the flags in `args`, or undefined if they ask for the help text. */
function parseFlags(
  args: readonly string[],
): Record<string, unknown> | undefined {
  const program = sade('lentildriftd', true);
  program.describe('Runs the roles of lentildrift.');
  for (const name of SETTING_NAMES) {
    const {help, range, defaultText} = SETTINGS[name];
    const shown = defaultText === undefined ? '' : `; default ${defaultText}`;
    // A default passed to sade would override the environment variable.
    program.option(
      `--${toFlagName(name)}`,
      `${help} [${range}${shown}] (${toVariableName(name)})`,
    );
  }
  const result = program.parse(['', '', ...args], {
    lazy: true,
    string: SETTING_NAMES.filter(name => name !== 'embedded').map(toFlagName),
    boolean: ['embedded'],
    unknown: flag => {
      throw new SettingsError(`unknown flag ${flag}; see --help`);
    },
  });
  if (!result) return undefined;
  const parsed = result.args.at(-1) as unknown as Record<string, unknown>;
  const [extraArgument] = parsed['_'] as string[];
  if (extraArgument !== undefined) {
    throw new SettingsError(
      `unexpected argument "${extraArgument}"; see --help`,
    );
  }
  const isGiven = (flag: string) =>
    args.some(arg => arg.replace(/^--(no-)?/, '').split('=')[0] === flag);
  return Object.fromEntries(
    Object.entries(parsed).filter(([flag]) => isGiven(flag)),
  );
}

function readFlagText(name: SettingName, flag: unknown): string {
  if (Array.isArray(flag)) {
    throw new SettingsError(`--${toFlagName(name)} is given more than once`);
  }
  return String(flag);
}

/** Removes the variable of each pair in `ALTERNATIVES` whose flag is given. */
function dropOverriddenAlternatives(
  texts: Partial<Record<SettingName, string>>,
  sources: Partial<Record<SettingName, string>>,
): void {
  for (const [a, b] of ALTERNATIVES) {
    const [first, second] = [sources[a], sources[b]];
    if (!first || !second) continue;
    if (first.startsWith('--') === second.startsWith('--')) {
      throw new SettingsError(`${first} and ${second} exclude each other`);
    }
    const overridden = first.startsWith('--') ? b : a;
    delete texts[overridden];
    delete sources[overridden];
  }
}

function parseValue(
  name: SettingName,
  text: string | undefined,
  sources: SettingSources,
): unknown {
  const {schema, defaultText, range} = SETTINGS[name];
  const parsed = schema.safeParse(text ?? defaultText);
  if (parsed.success) return parsed.data;
  // A rejected secret must not appear in a log.
  const shown = name === 'clusterSecret' ? '' : ` "${text}"`;
  throw new SettingsError(`${sources[name]}${shown} must be ${range}`);
}

/** Fills in the secrets whose settings name a file. */
function readSecretFiles(
  values: SettingValues,
  sources: SettingSources,
  processContext: ProcessContext,
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
      text = processContext.readFile(path).trim();
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
