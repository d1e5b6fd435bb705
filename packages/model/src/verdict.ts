/** Whether a request may have been executed, from certain refusal to certain execution. */
import {z} from 'zod';

/**
 * `not-run`: no byte of the request reached an upstream.
 * `may-have-run`: it was written, and the outcome is unknown.
 * `ran`: an upstream answered it.
 */
export const verdictSchema = z.enum(['not-run', 'may-have-run', 'ran']);
export type Verdict = z.infer<typeof verdictSchema>;

/** Reasons for which a request is refused or fails. */
export const refusalCodeSchema = z.enum([
  'malformed',
  'unknown-route',
  'unauthorised',
  'forbidden',
  'stale',
  'over-limit',
  'overloaded',
  'no-upstream',
  'body-too-large',
  'timeout',
  'upstream-failed',
  'duplicate',
  'stopping',
  'internal',
]);
export type RefusalCode = z.infer<typeof refusalCodeSchema>;

export const refusalSchema = z.object({
  verdict: verdictSchema,
  code: refusalCodeSchema,
  message: z.string(),
  /** When the caller may usefully try again, in milliseconds. */
  retryAfterMs: z.number().int().nonnegative().optional(),
});
export type Refusal = z.infer<typeof refusalSchema>;

/** Builds a refusal; the verdict is `not-run` unless stated otherwise. */
export function refuse(
  code: RefusalCode,
  message: string,
  rest: {verdict?: Verdict; retryAfterMs?: number} = {},
): Refusal {
  return {verdict: 'not-run', code, message, ...rest};
}
