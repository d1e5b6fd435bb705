/** What two processes say to each other on a link. */
import {z} from 'zod';

export const LinkMessage = z.discriminatedUnion('type', [
  /** Sent first by the process that connects. */
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
  /** The handler of the request failed; it may have had effects. */
  z.object({
    type: z.literal('failure'),
    id: z.int().nonnegative(),
    reason: z.string(),
  }),
  z.object({type: z.literal('post'), kind: z.string(), body: z.unknown()}),
]);
export type LinkMessage = z.infer<typeof LinkMessage>;
