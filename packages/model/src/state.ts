/** The replicated state, an immutable value. */
import {z} from 'zod';
import {answersSchema} from './answer.js';
import {EMPTY_JOB_STORE, jobStoreSchema} from './job-store.js';
import {claimsSchema} from './claim.js';
import {hostSchema, waveSchema} from './host.js';
import {keySchema} from './key.js';
import {sessionSchema, slicesSchema} from './session.js';
import {EMPTY_TABLES, tablesSchema} from './table.js';

export const stateSchema = z.object({
  /** Number of changes applied. */
  revision: z.number().int().nonnegative(),
  /** Highest wall-clock time of the changes applied, in milliseconds. */
  nowMs: z.number(),
  tables: tablesSchema,
  keys: z.record(z.string(), keySchema),
  hosts: z.record(z.string(), hostSchema),
  sessions: z.record(z.string(), sessionSchema),
  slices: slicesSchema,
  answers: answersSchema,
  claims: claimsSchema,
  jobs: jobStoreSchema,
  waves: z.record(z.string(), waveSchema),
  /** Last fencing token issued. */
  fence: z.number().int().nonnegative(),
  /** Token of the newest planner; commands of older planners are fenced. */
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
  answers: [],
  claims: {},
  jobs: EMPTY_JOB_STORE,
  waves: {},
  fence: 0,
  planner: 0,
};
