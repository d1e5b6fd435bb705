/** Messages between a measurement and its child processes. */
import {z} from 'zod';

/** Sent by a child once it can be used; `port` is 0 for one without a server. */
export const readySchema = z.object({port: z.number().int(), key: z.string()});
export type ReadyMessage = z.infer<typeof readySchema>;

export const loadRequestSchema = z.object({
  port: z.number().int(),
  path: z.string(),
  /** Text of the key; empty for none. */
  key: z.string(),
  connections: z.number().int(),
  durationMs: z.number(),
  /** The load ends after so many calls, if that comes first. */
  maxCalls: z.number().int(),
});
export type LoadRequest = z.infer<typeof loadRequestSchema>;

export const loadResultSchema = z.object({
  calls: z.number().int(),
  /** Calls without a complete response with status 200. */
  failures: z.number().int(),
  elapsedMs: z.number(),
  p50Us: z.number(),
  p99Us: z.number(),
});
export type LoadResult = z.infer<typeof loadResultSchema>;

export const memoryUsageSchema = z.object({
  heapBytes: z.number(),
  rssBytes: z.number(),
});
export type MemoryUsage = z.infer<typeof memoryUsageSchema>;
