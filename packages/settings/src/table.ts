/** The schema, default, allowed range and help text of every setting. */
import {isIP} from 'node:net';
import {z} from 'zod';

const NAME_RANGE = '1 to 63 characters of a-z, 0-9, "." or "-"';
const MIN_SECRET_LENGTH = 16;
const MAX_SECRET_LENGTH = 256;
const MAX_PORT = 65_535;
const MAX_WEIGHT = 1000;
/** Room for the largest body of the control address, of 16 MiB, to grow. */
const MIN_BODY_BUDGET_BYTES = 33_554_432;
const MAX_BODY_BUDGET_BYTES = 999_999_999;
const MIN_CONNECTIONS = 10;
const MAX_CONNECTIONS = 100_000;

export const ROLES = ['entry', 'control'] as const;
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/);
const ip = z.string().refine(text => isIP(text) !== 0);
const port = integerSchema(0, MAX_PORT);
const weight = z
  .string()
  .regex(/^\d+(\.\d+)?$/)
  .transform(Number)
  .refine(value => value <= MAX_WEIGHT);
const secret = z
  .string()
  .regex(
    new RegExp(`^[\\x21-\\x7e]{${MIN_SECRET_LENGTH},${MAX_SECRET_LENGTH}}$`),
  );
const endpoint = z.string().refine(isEndpoint);
const path = z.string().min(1).max(4096);

const roles = z
  .string()
  .transform(text => text.split(','))
  .pipe(z.array(z.enum(ROLES)).min(1))
  .refine(list => new Set(list).size === list.length);

const members = z
  .string()
  .transform(text => text.split(',').map(parseMember))
  .pipe(
    z
      .array(z.object({id: name, address: endpoint}))
      .min(1)
      .max(32),
  )
  .refine(list => new Set(list.map(m => m.id)).size === list.length)
  .refine(list => new Set(list.map(m => m.address)).size === list.length);

/** Schema of `--operator-key-hash` and of the content of its file. */
export const keyHashSchema = z
  .string()
  .regex(/^[0-9a-f]{12}:[0-9a-f]{64}$/)
  .transform(text => ({id: text.slice(0, 12), secretHash: text.slice(13)}));
export const secretSchema = secret;
export const SECRET_RANGE = `${MIN_SECRET_LENGTH} to ${MAX_SECRET_LENGTH} printable characters without spaces`;
export const KEY_HASH_RANGE =
  '12 hex digits (key ID), ":", 64 hex digits (SHA-256 of the secret)';

/** The definition of one setting. */
export interface SettingSpec<S extends z.ZodType> {
  /** Parses the text of the flag or environment variable. */
  readonly schema: S;
  /** Text that is parsed when neither flag nor variable is given. */
  readonly defaultText?: string;
  /** Allowed values, for help and error messages. */
  readonly range: string;
  readonly help: string;
}

function settingWithDefault<S extends z.ZodType>(
  schema: S,
  defaultText: string,
  range: string,
  help: string,
): SettingSpec<S> {
  return {schema, defaultText, range, help};
}

function settingWithoutDefault<S extends z.ZodType>(
  schema: S,
  range: string,
  help: string,
): SettingSpec<z.ZodOptional<S>> {
  return {schema: schema.optional(), range, help};
}

const portRange = `0 to ${MAX_PORT} (0 takes any free port)`;
const weightRange = `0 to ${MAX_WEIGHT}`;
const endpointRange = 'IP:PORT, with an IP number and a port of 1 to 65535';

/** Every setting of the daemon, in the order of the help text. */
export const SETTINGS = {
  embedded: settingWithDefault(
    z.stringbool({truthy: ['true'], falsy: ['false']}),
    'false',
    'true or false',
    'Run every role on loopback in one process, with sample tables',
  ),
  roles: settingWithoutDefault(
    roles,
    'entry, control or entry,control',
    'Roles of this process; needed unless embedded',
  ),
  hostName: settingWithDefault(name, 'host-1', NAME_RANGE, 'Name of this host'),
  dataCentre: settingWithDefault(
    name,
    'dc-1',
    NAME_RANGE,
    'Data centre of this host',
  ),
  entryAddress: settingWithDefault(
    ip,
    '127.0.0.1',
    'an IP number',
    'Address on which the entry role listens for callers and upstreams',
  ),
  entryPort: settingWithDefault(
    port,
    '8480',
    portRange,
    'Port of the entry role',
  ),
  controlAddress: settingWithDefault(
    ip,
    '127.0.0.1',
    'an IP number',
    'Address on which the control role listens',
  ),
  controlPort: settingWithDefault(
    port,
    '8481',
    portRange,
    'Port of the control role',
  ),
  memberId: settingWithoutDefault(
    name,
    NAME_RANGE,
    'Name of this process in --control-members; the host name if absent',
  ),
  controlMembers: settingWithoutDefault(
    members,
    'ID=IP:PORT, separated by commas, 1 to 32 members, no ID or address twice',
    'Members of the control group; needed unless embedded',
  ),
  clusterSecret: settingWithoutDefault(
    secret,
    SECRET_RANGE,
    'Secret shared by all processes; prefer the file, which does not show in the process list',
  ),
  clusterSecretFile: settingWithoutDefault(
    path,
    'path of a readable file',
    'File that holds the cluster secret',
  ),
  operatorKeyHash: settingWithoutDefault(
    keyHashSchema,
    KEY_HASH_RANGE,
    'Key of the first operator, as printed by "lentildrift keys new"',
  ),
  operatorKeyFile: settingWithoutDefault(
    path,
    'path of a readable file',
    'File that holds the value of --operator-key-hash',
  ),
  dataFolder: settingWithDefault(
    path,
    'lentildrift-data',
    'path of a folder',
    'Folder of the durable state of the control role',
  ),
  logLevel: settingWithDefault(
    z.enum(LOG_LEVELS),
    'info',
    LOG_LEVELS.join(', '),
    'Least level of the events that are logged',
  ),
  platformAddress: settingWithoutDefault(
    endpoint,
    endpointRange,
    'Address of the platform that runs workers; without it no host is observed',
  ),
  bodyBudgetBytes: settingWithDefault(
    integerSchema(MIN_BODY_BUDGET_BYTES, MAX_BODY_BUDGET_BYTES),
    '67108864',
    `${MIN_BODY_BUDGET_BYTES} to ${MAX_BODY_BUDGET_BYTES}`,
    'Bytes that all requests in flight of the process may hold, with their bodies and unread answers',
  ),
  maxConnections: settingWithDefault(
    integerSchema(MIN_CONNECTIONS, MAX_CONNECTIONS),
    '2000',
    `${MIN_CONNECTIONS} to ${MAX_CONNECTIONS}`,
    'Connections of clients that the process may have open; keep it below its limit of descriptors',
  ),
  weightBufferCost: settingWithDefault(
    weight,
    '1',
    weightRange,
    'Weight of buffer cost in the policy objective',
  ),
  weightRollOutTime: settingWithDefault(
    weight,
    '1',
    weightRange,
    'Weight of roll-out time in the policy objective',
  ),
  weightMoves: settingWithDefault(
    weight,
    '1',
    weightRange,
    'Weight of moves in the policy objective',
  ),
  weightShareNearness: settingWithDefault(
    weight,
    '1',
    weightRange,
    'Weight of share nearness in the policy objective',
  ),
};

export type SettingName = keyof typeof SETTINGS;
/** Parsed values of all settings, by name. */
export type SettingValues = {
  [K in SettingName]: z.output<(typeof SETTINGS)[K]['schema']>;
};

/** Converts a setting name to its flag: `entryPort` to `entry-port`. */
export function toFlagName(setting: SettingName): string {
  return setting.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

/**
 * Converts a setting name to its environment variable: `entryPort` to
 * `LENTILDRIFT_ENTRY_PORT`.
 */
export function toVariableName(setting: SettingName): string {
  return `LENTILDRIFT_${toFlagName(setting).replaceAll('-', '_').toUpperCase()}`;
}

function integerSchema(min: number, max: number) {
  return z
    .string()
    .regex(/^\d{1,9}$/)
    .transform(Number)
    .refine(value => value >= min && value <= max);
}

/** Whether `text` is IP:PORT; an IPv6 address is in square brackets. */
export function isEndpoint(text: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  if (!match) return false;
  const version = isIP(match[1] ?? match[2]!);
  const port = Number(match[3]);
  const isExpectedVersion =
    match[1] === undefined ? version === 4 : version === 6;
  return isExpectedVersion && port >= 1 && port <= MAX_PORT;
}

/** Splits `ID=ADDRESS`; the ID is empty, and so invalid, without `=`. */
function parseMember(text: string): {id: string; address: string} {
  const at = text.indexOf('=');
  return at < 0
    ? {id: '', address: text}
    : {id: text.slice(0, at), address: text.slice(at + 1)};
}
