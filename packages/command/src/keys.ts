/** Subcommands about keys. */
import {
  createKey,
  keySchema,
  subjectSchema,
  type Subject,
} from '@lentildrift/model';
import {formatColumns} from '@lentildrift/observe';
import {z} from 'zod';
import {sendCommand, readTopic} from './requests.js';
import type {CommandContext} from './context.js';
import {OutcomeUnknownError, UsageError} from './error.js';

const GIVEN_KEY_PATTERN = /^([0-9a-f]{12}):([0-9a-f]{64})$/;

/**
 * Creates a key for a team, pool or operator. The secret is generated here and
 * only its hash is sent. A resend passes the same hash, so that the text that
 * was printed first remains valid.
 */
export async function issueKey(
  context: CommandContext,
  [kind, name]: readonly string[],
): Promise<void> {
  const subject = parseSubject(kind!, name!);
  const givenKey = parseGivenKey(context.options['given']);
  const key = givenKey ?? createKey();
  const {id, secretHash} = key;
  const text = 'text' in key ? key.text : undefined;
  context.resendOptions['given'] = `${id}:${secretHash}`;
  const shown = text === undefined ? `key ${id} is in force\n` : `${text}\n`;
  try {
    const answer = await sendCommand(context, {
      type: 'give-key',
      keyId: id,
      subject,
      secretHash,
    });
    context.print({...answer, keyId: id, key: text}, shown);
  } catch (error) {
    // The request may have taken effect, so the text is printed: otherwise
    // the key could exist without anybody knowing its text.
    if (error instanceof OutcomeUnknownError) {
      context.print({outcome: 'unknown', keyId: id, key: text}, shown);
    }
    throw error;
  }
}

export async function withdrawKey(
  context: CommandContext,
  [keyId]: readonly string[],
): Promise<void> {
  const answer = await sendCommand(context, {
    type: 'withdraw-key',
    keyId: keyId!,
  });
  context.print(answer, `key ${keyId} is withdrawn\n`);
}

export async function listKeys(context: CommandContext): Promise<void> {
  const keys = await readTopic(context, 'keys', z.array(keySchema));
  const rows = keys.map(key => [
    key.id,
    key.subject.kind,
    getSubjectName(key.subject),
    new Date(key.givenAtMs).toISOString(),
    key.withdrawnAtMs === undefined
      ? ''
      : new Date(key.withdrawnAtMs).toISOString(),
  ]);
  const shown = keys.map(({secretHash: _, ...rest}) => rest);
  const head = ['ID', 'KIND', 'NAME', 'GIVEN', 'WITHDRAWN'];
  context.print(shown, formatColumns([head, ...rows]));
}

/** Creates a key for the daemon's settings, without contacting a server. */
export async function printNewKey(context: CommandContext): Promise<void> {
  const {text, id, secretHash} = createKey();
  const hash = `${id}:${secretHash}`;
  context.print({key: text, hash}, `key  ${text}\nhash ${hash}\n`);
}

function parseSubject(kind: string, name: string): Subject {
  const parsed = subjectSchema.safeParse({kind, [kind]: name});
  if (parsed.success) return parsed.data;
  throw new UsageError(
    'usage: keys give team|pool|operator NAME, where NAME is 1 to 63 characters of a-z, 0-9, "." or "-"',
  );
}

function getSubjectName(subject: Subject): string {
  if (subject.kind === 'team') return subject.team;
  return subject.kind === 'pool' ? subject.pool : subject.operator;
}

function parseGivenKey(text: string | undefined) {
  if (text === undefined) return undefined;
  const match = GIVEN_KEY_PATTERN.exec(text);
  if (!match) throw new UsageError('--given must be ID:HASH');
  return {id: match[1]!, secretHash: match[2]!};
}
