/** The replicated state: one immutable value. */
import {z} from 'zod';
import {EMPTY_BOOK, jobBookSchema} from './book.js';
import {claimSchema} from './claim.js';
import {hostSchema, waveSchema} from './host.js';
import {keySchema} from './key.js';
import {sessionSchema, slicesSchema} from './session.js';
import {EMPTY_TABLES, tablesSchema} from './table.js';

/** What a change led to; recorded and repeated to a resend. */
export const answerSchema = z.discriminatedUnion('ok', [
  z.object({
    ok: z.literal(true),
    revision: z.number().int(),
    /** Version of the tables after the change. */
    version: z.number().int(),
    detail: z.string().optional(),
  }),
  z.object({
    ok: z.literal(false),
    code: z.enum(['conflict', 'invalid', 'unknown', 'budget', 'limit']),
    message: z.string(),
    version: z.number().int(),
  }),
]);
export type Answer = z.infer<typeof answerSchema>;

/** Operators' answers kept: over three days at 2,500 changes a day. */
export const ANSWERS_KEPT = 8192;

export const stateSchema = z.object({
  revision: z.number().int().nonnegative(),
  nowMs: z.number(),
  tables: tablesSchema,
  keys: z.record(z.string(), keySchema),
  hosts: z.record(z.string(), hostSchema),
  sessions: z.record(z.string(), sessionSchema),
  slices: slicesSchema,
  answers: z.record(z.string(), answerSchema),
  claims: z.record(z.string(), claimSchema),
  jobs: jobBookSchema,
  waves: z.record(z.string(), waveSchema),
  /** Last fencing token handed out. */
  fence: z.number().int().nonnegative(),
  /** Token of the newest planner; commands of older ones are fenced. */
  planner: z.number().int().nonnegative().default(0),
});
export type State = z.infer<typeof stateSchema>;

export const EMPTY_STATE: State = {
  revision: 0,
  nowMs: 0,
  tables: EMPTY_TABLES,
  keys: {},
  hosts: {},
  sessions: {},
  slices: {},
  answers: {},
  claims: {},
  jobs: EMPTY_BOOK,
  waves: {},
  fence: 0,
  planner: 0,
};
