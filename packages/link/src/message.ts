/** Messages that two processes exchange on a link. */
import {z} from 'zod';

export const LinkMessage = z.discriminatedUnion('type', [
  /** First message of the process that connects; `name` is its own name. */
  z.object({type: z.literal('hello'), name: z.string()}),
  z.object({type: z.literal('ping')}),
  z.object({type: z.literal('pong')}),
  z.object({
    type: z.literal('request'),
    id: z.int().nonnegative(),
    body: z.unknown(),
  }),
  z.object({
    type: z.literal('reply'),
    id: z.int().nonnegative(),
    body: z.unknown(),
  }),
  /** The handler of the request failed; the request may have had effects. */
  z.object({
    type: z.literal('failure'),
    id: z.int().nonnegative(),
    reason: z.string(),
  }),
  z.object({type: z.literal('post'), kind: z.string(), body: z.unknown()}),
]);
export type LinkMessage = z.infer<typeof LinkMessage>;
