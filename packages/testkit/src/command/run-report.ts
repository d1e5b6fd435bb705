/** Work for the runs under the paused clock, and what they report. */
import {z} from 'zod';

export const runSchema = z.object({
  /** Name of a scenario; absent for one made from the seed. */
  scenario: z.string().optional(),
  seed: z.number().int(),
  /** Mechanism that is left out. */
  without: z.string().optional(),
});
export type Run = z.infer<typeof runSchema>;

export const runReportSchema = z.object({
  run: runSchema,
  violations: z.array(z.string()),
  failures: z.array(z.string()),
  examined: z.record(z.string(), z.number()),
  answered: z.number(),
});
export type RunReport = z.infer<typeof runReportSchema>;

export const SHARD_COUNT = 6;

declare module 'vitest' {
  interface ProvidedContext {
    runs: Run[];
    /** Folder in which each shard leaves its reports. */
    folder: string;
  }
}
