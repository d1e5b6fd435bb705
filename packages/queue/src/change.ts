/**
 * Changes of the replicated state. One change is one entry of the replicated
 * log and holds every event that was decided since the previous entry.
 */
import {z} from 'zod';
import {Crash} from './crash.js';
import {TablesDifference} from './difference.js';
import {JobSpec, Task} from './job.js';
import {Tables} from './table.js';
import {Worker} from './worker.js';
import {DurationStatistics} from './statistics.js';
import {HostOrder, MaintenanceStatus, Wave} from './wave.js';

/** How a run ended, as its worker reports it. */
export const EndKind = z.enum([
  'done',
  'failed',
  'stopped',
  'lapsed',
  'broken',
  'alone',
]);
export type EndKind = z.infer<typeof EndKind>;

/** A run that ended: task name, run number, how the run ended, checkpoint. */
export const EndRow = z.tuple([
  z.string(),
  z.int().positive(),
  EndKind,
  z.string(),
]);
export type EndRow = z.infer<typeof EndRow>;

/** A run on a worker: task name, run number, worker key. */
export const StartRow = z.tuple([z.string(), z.int().positive(), z.string()]);
export type StartRow = z.infer<typeof StartRow>;

/** Name of a task, and its `lateOn`. */
export const LateStartRow = z.tuple([z.string(), Task.shape.lateOn.unwrap()]);
export type LateStartRow = z.infer<typeof LateStartRow>;

export const Event = z.discriminatedUnion('type', [
  z.object({type: z.literal('tables'), tables: Tables}),
  /** An edit that is recorded as what it changes in the recorded tables. */
  z.object({
    type: z.literal('tables-difference'),
    difference: TablesDifference,
  }),
  z.object({type: z.literal('submit'), job: JobSpec, atMs: z.number()}),
  z.object({type: z.literal('cancel'), job: z.string()}),
  /** A worker announced a new incarnation or a change of its current one. */
  z.object({
    type: z.literal('worker'),
    worker: Worker,
    /**
     * Runs of the earlier incarnation that are over, whose ends the new one may
     * still list: they stay on record as runs of the new one until it does.
     */
    carriedRuns: z.array(StartRow).optional(),
  }),
  /** The worker's incarnation has ended, and so have its runs. */
  z.object({type: z.literal('worker-gone'), worker: z.string()}),
  /**
   * The worker's incarnation has ended without an order, or its lease has
   * expired and it may have. `tasks` may have caused that.
   */
  z.object({
    type: z.literal('crash'),
    ...Crash.shape,
    tasks: z.array(z.string()),
  }),
  /** The worker answers after its lease has expired: it had not crashed. */
  z.object({type: z.literal('survived'), worker: z.string()}),
  /**
   * The leader with this token grants no lease to the workers with these IDs
   * before a `leases-resumed` event; see `Worker.suspendedSince`.
   */
  z.object({
    type: z.literal('leases-suspended'),
    token: z.int().nonnegative(),
    workers: z.array(z.string()),
  }),
  /** The leader may grant leases to the workers with these IDs from now on. */
  z.object({
    type: z.literal('leases-resumed'),
    workers: z.array(z.string()),
  }),
  z.object({type: z.literal('start'), runs: z.array(StartRow)}),
  z.object({
    type: z.literal('ends'),
    worker: z.string(),
    /**
     * Number of the last end before those of this event. The event is refused
     * unless that end is the last one recorded: the numbers of ends have gaps,
     * so they do not show whether ends before these are missing. Events of
     * earlier versions lack it, and are applied without this check.
     */
    after: z.int().nonnegative().optional(),
    /**
     * Number of the last run end in this event. Ends up to this number may be
     * acknowledged to the worker once the event is durable.
     */
    upTo: z.int().nonnegative(),
    ends: z.array(EndRow),
  }),
  /** Runs that are certainly not running and never will be. */
  z.object({type: z.literal('lost'), runs: z.array(StartRow)}),
  /** Sets the `lateOn` of tasks, for the next leader. */
  z.object({type: z.literal('late-starts'), rows: z.array(LateStartRow)}),
  /** Runs that are to be stopped, so that urgent jobs get their room. */
  z.object({type: z.literal('displace'), runs: z.array(StartRow)}),
  /** Removes ended jobs that no caller asks for any more. */
  z.object({type: z.literal('forget'), jobs: z.array(z.string())}),
  z.object({type: z.literal('wave'), wave: Wave}),
  /** Puts a data centre out of use for new runs, or back into use. */
  z.object({
    type: z.literal('evacuation'),
    dataCentre: z.string().min(1),
    evacuated: z.boolean(),
  }),
  z.object({
    type: z.literal('upkeep'),
    wave: z.number(),
    host: z.string(),
    upkeep: MaintenanceStatus,
  }),
  /** The leader is about to give an order to a host, or the order is done. */
  z.object({type: z.literal('duty'), duty: HostOrder}),
  /** Statistics of task durations, kept in the state for the next leader. */
  z.object({type: z.literal('statistics'), rows: z.array(DurationStatistics)}),
]);
export type Event = z.infer<typeof Event>;
export type EventOf<T extends Event['type']> = Extract<Event, {type: T}>;

export const Change = z.object({
  events: z.array(Event),
  /** See `State.ledMs`; changes of earlier versions lack it. */
  ledMs: z.number().optional(),
});
export type Change = z.infer<typeof Change>;

/** The result of applying one event. */
export const Outcome = z.enum([
  'applied',
  /** The same event was applied before; nothing changed. */
  'known',
  /** The state already holds a newer version; nothing changed. */
  'overtaken',
  /** The event is based on another version than the recorded one. */
  'outdated',
  /**
   * The event contradicts the state; nothing changed, except that a `start`
   * event applies those of its runs that do not.
   */
  'conflict',
  /** The event names something that the state does not hold. */
  'unknown',
]);
export type Outcome = z.infer<typeof Outcome>;
