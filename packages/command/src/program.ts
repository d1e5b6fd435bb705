/** Parses a command line, runs its subcommand and returns the exit code. */
import sade from 'sade';
import {COMMANDS, COMMON_OPTIONS, type CommandSpec} from './catalogue.js';
import {createContext, type Options, type ProcessContext} from './context.js';
import {
  CommandError,
  EXIT_SUCCESS,
  EXIT_FAILURE,
  OutcomeUnknownError,
  UsageError,
} from './error.js';

const PROGRAM_NAME = 'lentildrift';
/** Flags that have no value. */
const BOOLEAN_FLAGS = ['json', 'help'];
/**
 * Name of the default command, which runs without a subcommand. sade omits
 * names that start with two underscores from its help text.
 */
const NO_COMMAND = '__none';

/** A command line that names a known subcommand. */
interface ParsedCommandLine {
  readonly spec: CommandSpec;
  readonly args: readonly string[];
  readonly options: Options;
  readonly json: boolean;
}

/** Runs one command line and returns the exit code. Never rejects. */
export async function runProgram(
  argv: readonly string[],
  processContext: ProcessContext,
): Promise<number> {
  let resend: (() => string) | undefined;
  try {
    const parsed = parseCommandLine(argv);
    if (!parsed) return EXIT_SUCCESS;
    const {spec, args, options, json} = parsed;
    const context = createContext(options, json, processContext);
    resend = () =>
      formatResendCommand(parsed, context.requestId, context.resendOptions);
    await spec.run(context, args);
    return EXIT_SUCCESS;
  } catch (thrown) {
    const error = thrown as Error;
    processContext.writeError(`${PROGRAM_NAME}: ${error.message}\n`);
    if (error instanceof OutcomeUnknownError && resend) {
      processContext.writeError(
        `${PROGRAM_NAME}: the outcome is unknown; resend with: ${resend()}\n`,
      );
    }
    return error instanceof CommandError ? error.exitCode : EXIT_FAILURE;
  }
}

/** Returns undefined if the command line asks for the help text. */
function parseCommandLine(
  argv: readonly string[],
): ParsedCommandLine | undefined {
  const program = sade(PROGRAM_NAME);
  const names = new Set<string>();
  for (const {name, help} of COMMON_OPTIONS) {
    program.option(`--${name}`, help);
    names.add(name);
  }
  program.option('--json', 'Print JSON');
  for (const spec of COMMANDS) {
    // Arguments are declared optional for sade, because sade exits the process
    // when a required argument is missing.
    const usage = spec.usage.replace(/<(\w+)>/g, '[$1]');
    program.command(usage, spec.help).example(spec.usage);
    for (const {name, help} of spec.options ?? []) {
      program.option(`--${name}`, help);
      names.add(name);
    }
  }
  program.command(`${NO_COMMAND} [words]`, '', {default: true});
  // Boolean flags are moved to the end, because sade would read the word after
  // such a flag as its value.
  const booleanFlags = BOOLEAN_FLAGS.map(name => `--${name}`);
  const ordered = [
    ...argv.filter(arg => !booleanFlags.includes(arg)),
    ...booleanFlags.filter(flag => argv.includes(flag)),
  ];
  const result = program.parse(['', '', ...ordered], {
    lazy: true,
    string: [...names],
    boolean: BOOLEAN_FLAGS,
    unknown: flag => {
      throw new UsageError(`unknown flag ${flag}; see --help`);
    },
  });
  return result && toParsedCommandLine(result);
}

function toParsedCommandLine(result: sade.LazyOutput): ParsedCommandLine {
  const given = result.args.at(-1) as unknown as Record<string, unknown>;
  const positional = [
    ...(result.args.slice(0, -1) as (string | undefined)[]),
    ...(given['_'] as string[]),
  ].filter(arg => arg !== undefined);
  const spec = COMMANDS.find(
    ({usage}) => getCommandWords(usage) === result.name,
  );
  if (!spec) {
    const shown = positional.slice(0, 2).join(' ');
    throw new UsageError(
      shown === ''
        ? 'no command; see --help'
        : `unknown command "${shown}"; see --help`,
    );
  }
  checkArgumentCount(spec, positional);
  return {
    spec,
    args: positional,
    options: collectOptions(given),
    json: given['json'] === true,
  };
}

/** Returns the usage without its `<arguments>`. */
function getCommandWords(usage: string): string {
  return usage.replace(/ <.*/, '');
}

function checkArgumentCount(spec: CommandSpec, args: readonly string[]): void {
  const required = spec.usage.match(/<\w+>/g) ?? [];
  const missing = required[args.length];
  if (missing !== undefined) {
    throw new UsageError(
      `missing ${missing}; usage: ${PROGRAM_NAME} ${spec.usage}`,
    );
  }
  if (args.length > required.length && !spec.isVariadic) {
    throw new UsageError(
      `unexpected argument "${args[required.length]}"; usage: ${PROGRAM_NAME} ${spec.usage}`,
    );
  }
}

function collectOptions(given: Readonly<Record<string, unknown>>): Options {
  const options: Record<string, string> = {};
  for (const [name, value] of Object.entries(given)) {
    if (name === '_' || BOOLEAN_FLAGS.includes(name) || value === undefined) {
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

/** Formats the command line of a resend, which never contains a key's text. */
function formatResendCommand(
  parsed: ParsedCommandLine,
  requestId: string,
  resendOptions: Readonly<Record<string, string>>,
): string {
  const {spec, args, options, json} = parsed;
  const allOptions = {...options, ...resendOptions, 'request-id': requestId};
  const flags = Object.entries(allOptions)
    .filter(
      ([name]) => !(name === 'within-hours' && 'deadline' in resendOptions),
    )
    .map(([name, value]) =>
      name === 'key' ? '--key KEY' : `--${name} ${quoteForShell(value!)}`,
    );
  return [
    PROGRAM_NAME,
    getCommandWords(spec.usage),
    ...args.map(quoteForShell),
    ...flags,
    ...(json ? ['--json'] : []),
  ].join(' ');
}

/** Quotes `text` for a POSIX shell if needed. */
function quoteForShell(text: string): string {
  if (/^[\w@%+=:,./-]+$/.test(text)) return text;
  return `'${text.replaceAll("'", "'\\''")}'`;
}
