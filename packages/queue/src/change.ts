/**
 * Changes of the replicated state. One change is one entry of the log and
 * holds everything that was decided since the entry before.
 */
import {z} from 'zod';
import {JobSpec} from './job.js';
import {Tables} from './table.js';
import {Worker} from './worker.js';
import {DurationStatistics} from './statistics.js';
import {HostOrder, MaintenanceStatus, Wave} from './wave.js';

/** How a run ended, as its worker lists it. */
export const EndKind = z.enum([
  'done',
  'failed',
  'stopped',
  'lapsed',
  'broken',
  'alone',
]);
export type EndKind = z.infer<typeof EndKind>;

/** Task name, run number, how it ended, checkpoint. */
export const EndRow = z.tuple([
  z.string(),
  z.int().positive(),
  EndKind,
  z.string(),
]);
export type EndRow = z.infer<typeof EndRow>;

/** Task name, run number, worker key. */
export const StartRow = z.tuple([z.string(), z.int().positive(), z.string()]);
export type StartRow = z.infer<typeof StartRow>;

export const Event = z.discriminatedUnion('type', [
  z.object({type: z.literal('tables'), tables: Tables}),
  z.object({type: z.literal('submit'), job: JobSpec, atMs: z.number()}),
  z.object({type: z.literal('cancel'), job: z.string()}),
  /** A new incarnation, or news of a known one. */
  z.object({type: z.literal('worker'), worker: Worker}),
  /** The incarnation has ended, and so have its runs. */
  z.object({type: z.literal('worker-gone'), worker: z.string()}),
  z.object({type: z.literal('start'), runs: z.array(StartRow)}),
  z.object({
    type: z.literal('ends'),
    worker: z.string(),
    /** Number of the last end; it may be acknowledged once this is durable. */
    upTo: z.int().nonnegative(),
    ends: z.array(EndRow),
  }),
  /** Runs that certainly are not under way and never will be. */
  z.object({type: z.literal('lost'), runs: z.array(StartRow)}),
  /** Ended jobs that nobody asks for any more. */
  z.object({type: z.literal('forget'), jobs: z.array(z.string())}),
  z.object({type: z.literal('wave'), wave: Wave}),
  z.object({
    type: z.literal('upkeep'),
    wave: z.number(),
    host: z.string(),
    upkeep: MaintenanceStatus,
  }),
  /** An order to a host is about to be given, or was carried out. */
  z.object({type: z.literal('duty'), duty: HostOrder}),
  /** What the leader has learnt, for the next one. */
  z.object({type: z.literal('statistics'), rows: z.array(DurationStatistics)}),
]);
export type Event = z.infer<typeof Event>;
export type EventOf<T extends Event['type']> = Extract<Event, {type: T}>;

export const Change = z.object({events: z.array(Event)});
export type Change = z.infer<typeof Change>;

/** What an event led to, one for each event of a change. */
export const Outcome = z.enum([
  'applied',
  /** The same was applied before; nothing changed. */
  'known',
  /** A newer one is in force; nothing changed. */
  'overtaken',
  /** Contradicts what is in force; nothing changed. */
  'conflict',
  /** Names something that is not there. */
  'unknown',
]);
export type Outcome = z.infer<typeof Outcome>;
