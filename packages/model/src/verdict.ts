/**
 * Verdicts, which say whether a request may have run, and refusals of requests.
 */
import {z} from 'zod';

/**
 * `not-run`: no byte of the request reached an upstream.
 * `may-have-run`: the request was sent, and the outcome is unknown.
 * `ran`: an upstream answered the request.
 */
export const verdictSchema = z.enum(['not-run', 'may-have-run', 'ran']);
export type Verdict = z.infer<typeof verdictSchema>;

/** Reasons why a request is refused or fails. */
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
  /** Time after which the caller may retry, in milliseconds. */
  retryAfterMs: z.number().int().nonnegative().optional(),
});
export type Refusal = z.infer<typeof refusalSchema>;

/** Creates a refusal; the verdict is `not-run` unless `rest` sets another. */
export function refuse(
  code: RefusalCode,
  message: string,
  rest: {verdict?: Verdict; retryAfterMs?: number} = {},
): Refusal {
  return {verdict: 'not-run', code, message, ...rest};
}
