/** Creates the context of a subcommand from its options and the process. */
import {isEndpoint} from '@lentildrift/settings';
import {randomUUID} from 'node:crypto';
import {UsageError} from './error.js';
import {createJobClient, type JobClient} from './job-client.js';
import {createQueueClient, type QueueClient} from './queue-client.js';
import {createControlClient, type ControlClient} from './control-client.js';

/** Environment, files and output of the process; tests provide their own. */
export interface ProcessContext {
  readonly env: Readonly<Record<string, string | undefined>>;
  readFile(path: string): string;
  write(text: string): void;
  writeError(text: string): void;
}

/** Values of the options given on the command line, by name without dashes. */
export type Options = Readonly<Record<string, string | undefined>>;

/** What a subcommand needs: its options, clients, files and output. */
export interface CommandContext {
  readonly options: Options;
  readonly json: boolean;
  readonly requestId: string;
  /** Options that a resend needs in addition to those given. */
  readonly resendOptions: Record<string, string>;
  createControlClient(): ControlClient;
  createJobClient(): JobClient;
  createQueueClient(): QueueClient;
  /** Reads a file; throws `UsageError` if the file cannot be read. */
  readFile(path: string): string;
  /** Prints `value` as JSON with `--json`, otherwise `text`. */
  print(value: unknown, text: string): void;
}

const DEFAULT_SERVER = '127.0.0.1:8481';
const DEFAULT_ENTRY = '127.0.0.1:8480';
const DEFAULT_TIMEOUT_MS = 5000;
const MAX_TIMEOUT_MS = 60_000;
const REQUEST_ID_PATTERN = /^[A-Za-z0-9._:-]{1,100}$/;

export function createContext(
  options: Options,
  json: boolean,
  processContext: ProcessContext,
): CommandContext {
  const {env} = processContext;
  const requestId = options['request-id'] ?? randomUUID();
  if (!REQUEST_ID_PATTERN.test(requestId)) {
    throw new UsageError(
      '--request-id must be 1 to 100 characters of A-Z, a-z, 0-9, ".", "_", ":" or "-"',
    );
  }
  const timeoutMs = parseTimeout(options['timeout-ms']);
  function readFile(path: string): string {
    try {
      return processContext.readFile(path);
    } catch (error) {
      const reason = (error as NodeJS.ErrnoException).code ?? String(error);
      throw new UsageError(`${path}: cannot be read: ${reason}`);
    }
  }

  function readKey(): string {
    const {key: keyOption, 'key-file': file} = options;
    if (keyOption !== undefined && file !== undefined) {
      throw new UsageError('--key and --key-file exclude each other');
    }
    const text =
      keyOption ??
      (file === undefined ? env['LENTILDRIFT_KEY'] : readFile(file).trim());
    if (text) return text;
    throw new UsageError(
      'a key is needed: LENTILDRIFT_KEY, --key-file FILE or --key KEY',
    );
  }

  return {
    options,
    json,
    requestId,
    resendOptions: {},
    readFile,
    createControlClient: () =>
      createControlClient({
        serverAddresses: readAddresses(options, env, 'server', DEFAULT_SERVER),
        key: readKey(),
        timeoutMs,
      }),
    createJobClient: () =>
      createJobClient({
        entryAddresses: readAddresses(options, env, 'entry', DEFAULT_ENTRY),
        key: readKey(),
        timeoutMs,
      }),
    createQueueClient: () =>
      createQueueClient({
        linkAddresses: readAddresses(options, env, 'links', undefined),
        timeoutMs,
      }),
    print: (value, text) =>
      processContext.write(json ? JSON.stringify(value) + '\n' : text),
  };
}

/**
 * Reads a list of IP:PORT from an option, its variable or the default, if there
 * is one.
 */
function readAddresses(
  options: Options,
  env: ProcessContext['env'],
  name: 'server' | 'entry' | 'links',
  defaultAddress: string | undefined,
): string[] {
  const variable = `LENTILDRIFT_${name.toUpperCase()}`;
  const text = options[name] ?? env[variable] ?? defaultAddress;
  if (text === undefined) {
    throw new UsageError(`addresses are needed: --${name} or ${variable}`);
  }
  const list = text.split(',');
  const invalid = list.find(address => !isEndpoint(address));
  if (invalid === undefined) return list;
  throw new UsageError(
    `--${name} (${variable}) must be IP:PORT, separated by commas; "${invalid}" is not`,
  );
}

function parseTimeout(text: string | undefined): number {
  if (text === undefined) return DEFAULT_TIMEOUT_MS;
  const value = Number(text);
  if (/^\d{1,6}$/.test(text) && value >= 1 && value <= MAX_TIMEOUT_MS) {
    return value;
  }
  throw new UsageError(`--timeout-ms must be 1 to ${MAX_TIMEOUT_MS}`);
}
