/** Subcommands about tables, hosts, waves and the state of the system. */
import {hostSchema, tablesSchema, type Command} from '@lentildrift/model';
import {
  formatBurnReport,
  formatColumns,
  reportSchema,
} from '@lentildrift/observe';
import {readTopicSchema} from '@lentildrift/protocol';
import {z} from 'zod';
import {readTopic, sendCommand} from './requests.js';
import type {CommandContext} from './context.js';
import {UsageError} from './error.js';
import {
  compareTables,
  formatDifferences,
  loadTableFile,
  mergeTableFile,
} from './table.js';

const HOUR_MS = 3600 * 1000;
const MAX_WAVE_HOURS = 24 * 366;

export async function applyFile(
  context: CommandContext,
  [file]: readonly string[],
): Promise<void> {
  const loaded = loadTableFile(file!, context.readFile(file!));
  const givenVersion = parseVersion(context.options['based-on']);
  const current = await readTopic(context, 'tables', tablesSchema);
  const basedOn = givenVersion ?? current.version;
  context.resendOptions['based-on'] = String(basedOn);
  // An edit based on another version is checked only by the server, because
  // the request may be a resend of an edit that is already in force.
  if (basedOn === current.version) mergeTableFile(current, loaded);
  const answer = await sendCommand(context, {
    type: 'edit',
    edit: {...loaded.value, basedOn},
  });
  context.print(answer, `tables are at version ${answer.version}\n`);
}

export async function diffFile(
  context: CommandContext,
  [file]: readonly string[],
): Promise<void> {
  const loaded = loadTableFile(file!, context.readFile(file!));
  const current = await readTopic(context, 'tables', tablesSchema);
  const differences = compareTables(current, mergeTableFile(current, loaded));
  context.print(
    {version: current.version, differences},
    formatDifferences(differences),
  );
}

export async function printTopic(
  context: CommandContext,
  [topic]: readonly string[],
): Promise<void> {
  const parsed = readTopicSchema.safeParse(topic);
  if (!parsed.success) {
    const topics = readTopicSchema.options.join(', ');
    throw new UsageError(`unknown topic "${topic}"; topics are ${topics}`);
  }
  const body = await readTopic(context, parsed.data, z.unknown());
  context.print(body, JSON.stringify(body, null, 2) + '\n');
}

export async function listHosts(context: CommandContext): Promise<void> {
  const list = await readTopic(context, 'hosts', z.array(hostSchema));
  const rows = list.map(host => [
    host.id,
    host.pool,
    host.dataCentre,
    host.rack,
    host.phase,
    host.permit?.kind ?? '',
    host.quarantined ? 'yes' : '',
  ]);
  const head = [
    'HOST',
    'POOL',
    'DATA CENTRE',
    'RACK',
    'PHASE',
    'PERMIT',
    'QUARANTINED',
  ];
  context.print(list, formatColumns([head, ...rows]));
}

async function sendAndPrint(
  context: CommandContext,
  command: Command,
  text: string,
) {
  context.print(await sendCommand(context, command), `${text}\n`);
}

export function drainHost(context: CommandContext, [host]: readonly string[]) {
  return sendAndPrint(
    context,
    {type: 'drain', host: host!},
    `${host} is draining`,
  );
}

export function undrainHost(
  context: CommandContext,
  [host]: readonly string[],
) {
  const text = `${host} returns to service once it is seen healthy`;
  return sendAndPrint(context, {type: 'undrain', host: host!}, text);
}

export function retireHost(context: CommandContext, [host]: readonly string[]) {
  return sendAndPrint(
    context,
    {type: 'retire', host: host!},
    `${host} is retired`,
  );
}

export function releaseHost(
  context: CommandContext,
  [host]: readonly string[],
) {
  const text = `${host} is out of quarantine`;
  return sendAndPrint(context, {type: 'release-worker', host: host!}, text);
}

export function openWave(context: CommandContext, [wave]: readonly string[]) {
  const deadlineMs = parseDeadline(context);
  const hostNames = context.options['hosts']?.split(',');
  const command: Command = {type: 'open-wave', wave: wave!, deadlineMs};
  return sendAndPrint(
    context,
    hostNames ? {...command, hosts: hostNames} : command,
    `wave ${wave} is open until ${new Date(deadlineMs).toISOString()}`,
  );
}

export function pauseWave(context: CommandContext, [wave]: readonly string[]) {
  return setWavePhase(context, wave!, 'paused');
}

export function resumeWave(context: CommandContext, [wave]: readonly string[]) {
  return setWavePhase(context, wave!, 'open');
}

export function withdrawWave(
  context: CommandContext,
  [wave]: readonly string[],
) {
  return setWavePhase(context, wave!, 'withdrawn');
}

function setWavePhase(
  context: CommandContext,
  wave: string,
  phase: 'open' | 'paused' | 'withdrawn',
) {
  const command: Command = {type: 'set-wave', wave, phase};
  return sendAndPrint(context, command, `wave ${wave} is ${phase}`);
}

export async function printStatus(context: CommandContext): Promise<void> {
  const schema = z.record(z.string(), z.unknown());
  const body = await readTopic(context, 'status', schema);
  const lines = Object.entries(body).map(([name, value]) => [
    name,
    typeof value === 'string' ? value : JSON.stringify(value),
  ]);
  context.print(body, lines.length === 0 ? '\n' : formatColumns(lines));
}

export async function printReport(context: CommandContext): Promise<void> {
  const body = await readTopic(context, 'report', reportSchema);
  const measures = Object.entries(body.measures ?? {}).map(
    ([name, value]) => `${name}: ${value}\n`,
  );
  const burn = body.burn
    ? formatBurnReport(body.burn)
    : 'the control process has no burn report\n';
  context.print(body, burn + measures.join(''));
}

function parseVersion(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw new UsageError('--based-on must be a version number, 0 or above');
}

function parseDeadline(context: CommandContext): number {
  const {deadline, 'within-hours': within} = context.options;
  if ((deadline === undefined) === (within === undefined)) {
    throw new UsageError('give one of --deadline and --within-hours');
  }
  const deadlineMs =
    deadline === undefined
      ? Date.now() + parseHours(within!) * HOUR_MS
      : Date.parse(deadline);
  if (!Number.isFinite(deadlineMs)) {
    throw new UsageError('--deadline must be a time, 2030-01-31T06:00:00Z');
  }
  // A resend must not move the deadline.
  context.resendOptions['deadline'] = new Date(deadlineMs).toISOString();
  return deadlineMs;
}

function parseHours(text: string): number {
  const hours = Number(text);
  if (/^\d+(\.\d+)?$/.test(text) && hours > 0 && hours <= MAX_WAVE_HOURS) {
    return hours;
  }
  throw new UsageError(
    `--within-hours must be above 0 and at most ${MAX_WAVE_HOURS}`,
  );
}
