/** Keys that authenticate callers, upstreams and operators. */
import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';
import {nameSchema} from './table.js';

/** The principal that a key authenticates. */
export const subjectSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('team'), team: nameSchema}),
  z.object({kind: z.literal('pool'), pool: nameSchema}),
  z.object({kind: z.literal('operator'), operator: nameSchema}),
]);
export type Subject = z.infer<typeof subjectSchema>;

export const keySchema = z.object({
  id: z.string(),
  subject: subjectSchema,
  /** SHA-256 of the secret, in hex; the secret is not stored. */
  secretHash: z.string().length(64),
  givenAtMs: z.number(),
  withdrawnAtMs: z.number().optional(),
});
export type Key = z.infer<typeof keySchema>;

const ID_BYTES = 6;
const SECRET_BYTES = 24;
const KEY_PATTERN = /^ld_([0-9a-f]{12})_([0-9a-f]{48})$/;

/** A new key: the text that its holder keeps, and the parts that are stored. */
export interface NewKey {
  readonly text: string;
  readonly id: string;
  readonly secretHash: string;
}

export function createKey(): NewKey {
  const id = randomBytes(ID_BYTES).toString('hex');
  const secret = randomBytes(SECRET_BYTES).toString('hex');
  return {text: `ld_${id}_${secret}`, id, secretHash: hashSecret(secret)};
}

/** Splits a key's text into ID and secret; returns undefined if malformed. */
export function parseKey(
  text: string,
): {id: string; secret: string} | undefined {
  const match = KEY_PATTERN.exec(text);
  if (!match) return undefined;
  return {id: match[1]!, secret: match[2]!};
}

export function hashSecret(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/** Compares in constant time, so that timing does not reveal the hash. */
export function secretMatches(secret: string, secretHash: string): boolean {
  const actual = Buffer.from(hashSecret(secret), 'hex');
  return timingSafeEqual(actual, Buffer.from(secretHash, 'hex'));
}

/**
 * Returns the subject that the key `text` authenticates, or undefined for a
 * malformed, unknown, forged or withdrawn key.
 */
export function verifyKey(
  text: string,
  keys: Readonly<Record<string, Key>>,
): Subject | undefined {
  const parsed = parseKey(text);
  if (!parsed) return undefined;
  const key = Object.hasOwn(keys, parsed.id) ? keys[parsed.id] : undefined;
  if (!key || key.withdrawnAtMs !== undefined) return undefined;
  return secretMatches(parsed.secret, key.secretHash) ? key.subject : undefined;
}
