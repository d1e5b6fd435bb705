/** The scenario runs that `prove` and `explore` request, and the reports on them. */
import {z} from 'zod';

export const runSchema = z.object({
  /** Name of the scenario; if absent, a random one is created from the seed. */
  scenario: z.string().optional(),
  seed: z.number().int(),
  /** Mechanism to replace by its weakened variant. */
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

/** Number of `shardN.run.ts` files, which run in parallel workers. */
export const SHARD_COUNT = 6;

declare module 'vitest' {
  interface ProvidedContext {
    runs: Run[];
    /** Folder to which each shard writes its reports, one JSON line per run. */
    folder: string;
  }
}
