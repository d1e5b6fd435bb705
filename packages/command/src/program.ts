/** The command line: from arguments to a subcommand and an exit code. */
import sade from 'sade';
import {COMMANDS, COMMON_OPTIONS, type CommandSpec} from './catalogue.js';
import {createContext, type Options, type Surroundings} from './context.js';
import {
  CommandError,
  EXIT_DONE,
  EXIT_FAILED,
  OutcomeUnknown,
  UsageError,
} from './error.js';

const BINARY = 'lentildrift';
/** Flags without a value. */
const SWITCHES = ['json', 'help'];
/** sade leaves names with two underscores out of its help text. */
const NO_COMMAND = '__none';

interface Parsed {
  readonly spec: CommandSpec;
  readonly args: readonly string[];
  readonly options: Options;
  readonly json: boolean;
}

/** Runs one command line and returns the exit code; never throws. */
export async function runProgram(
  argv: readonly string[],
  surroundings: Surroundings,
): Promise<number> {
  let resend: (() => string) | undefined;
  try {
    const parsed = parse(argv);
    if (!parsed) return EXIT_DONE;
    const {spec, args, options, json} = parsed;
    const context = createContext(options, json, surroundings);
    resend = () => resendLine(parsed, context.requestId, context.resend);
    await spec.run(context, args);
    return EXIT_DONE;
  } catch (thrown) {
    const error = thrown as Error;
    surroundings.writeError(`${BINARY}: ${error.message}\n`);
    if (error instanceof OutcomeUnknown && resend) {
      surroundings.writeError(
        `${BINARY}: the outcome is unknown; resend with: ${resend()}\n`,
      );
    }
    return error instanceof CommandError ? error.exitCode : EXIT_FAILED;
  }
}

function parse(argv: readonly string[]): Parsed | undefined {
  const program = sade(BINARY);
  const names = new Set<string>();
  for (const {name, help} of COMMON_OPTIONS) {
    program.option(`--${name}`, help);
    names.add(name);
  }
  program.option('--json', 'Print JSON');
  for (const spec of COMMANDS) {
    // sade ends the process by itself when a required argument is missing.
    const usage = spec.usage.replace(/<(\w+)>/g, '[$1]');
    program.command(usage, spec.help).example(spec.usage);
    for (const {name, help} of spec.options ?? []) {
      program.option(`--${name}`, help);
      names.add(name);
    }
  }
  program.command(`${NO_COMMAND} [words]`, '', {default: true});
  // sade would take the word after a switch for its value.
  const switches = SWITCHES.map(name => `--${name}`);
  const ordered = [
    ...argv.filter(arg => !switches.includes(arg)),
    ...switches.filter(flag => argv.includes(flag)),
  ];
  const result = program.parse(['', '', ...ordered], {
    lazy: true,
    string: [...names],
    boolean: SWITCHES,
    unknown: flag => {
      throw new UsageError(`unknown flag ${flag}; see --help`);
    },
  });
  return result && toParsed(result);
}

function toParsed(result: sade.LazyOutput): Parsed {
  const given = result.args.at(-1) as unknown as Record<string, unknown>;
  const positional = [
    ...(result.args.slice(0, -1) as (string | undefined)[]),
    ...(given['_'] as string[]),
  ].filter(arg => arg !== undefined);
  const spec = COMMANDS.find(({usage}) => wordsOf(usage) === result.name);
  if (!spec) {
    const shown = positional.slice(0, 2).join(' ');
    throw new UsageError(
      shown === ''
        ? 'no command; see --help'
        : `unknown command "${shown}"; see --help`,
    );
  }
  checkCount(spec, positional);
  return {
    spec,
    args: positional,
    options: optionsOf(given),
    json: given['json'] === true,
  };
}

function wordsOf(usage: string): string {
  return usage.replace(/ <.*/, '');
}

function checkCount(spec: CommandSpec, args: readonly string[]): void {
  const needed = spec.usage.match(/<\w+>/g) ?? [];
  const missing = needed[args.length];
  if (missing !== undefined) {
    throw new UsageError(`missing ${missing}; usage: ${BINARY} ${spec.usage}`);
  }
  if (args.length > needed.length && !spec.variadic) {
    throw new UsageError(
      `unexpected argument "${args[needed.length]}"; usage: ${BINARY} ${spec.usage}`,
    );
  }
}

function optionsOf(given: Readonly<Record<string, unknown>>): Options {
  const options: Record<string, string> = {};
  for (const [name, value] of Object.entries(given)) {
    if (name === '_' || SWITCHES.includes(name) || value === undefined) {
      continue;
    }
    if (Array.isArray(value)) {
      throw new UsageError(`--${name} is given more than once`);
    }
    if (typeof value !== 'string' || value === '') {
      throw new UsageError(`--${name} needs a value`);
    }
    options[name] = value;
  }
  return options;
}

/** What to type; never shows a key. */
function resendLine(
  parsed: Parsed,
  requestId: string,
  more: Readonly<Record<string, string>>,
): string {
  const {spec, args, options, json} = parsed;
  const kept = {...options, ...more, 'request-id': requestId};
  const flags = Object.entries(kept)
    .filter(([name]) => !(name === 'within-hours' && 'deadline' in more))
    .map(([name, value]) =>
      name === 'key' ? '--key KEY' : `--${name} ${quote(value!)}`,
    );
  return [
    BINARY,
    wordsOf(spec.usage),
    ...args.map(quote),
    ...flags,
    ...(json ? ['--json'] : []),
  ].join(' ');
}

/** Quotes for a POSIX shell where needed. */
function quote(text: string): string {
  if (/^[\w@%+=:,./-]+$/.test(text)) return text;
  return `'${text.replaceAll("'", "'\\''")}'`;
}
