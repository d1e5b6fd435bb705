/**
 * Evidence that a task crashes its workers. The leader names the tasks that a
 * crash may be due to; `apply` counts crashes by task and fails the job of a
 * task once the evidence singles it out.
 */
import {z} from 'zod';

/** A crash of a worker that may be due to a task. */
export const Crash = z.object({
  /** Key of the worker's incarnation. */
  worker: z.string(),
  /**
   * The incarnation has certainly ended. Otherwise its lease has expired, and
   * it may still be cut off.
   */
  isCertain: z.boolean(),
  /** The crash followed soon after the start of the task. */
  isPrompt: z.boolean(),
  /**
   * No other task on the worker can have caused the crash, nor can a fault that
   * took other workers as well.
   */
  isAlone: z.boolean(),
});
export type Crash = z.infer<typeof Crash>;

/** Maximum number of crashes remembered for a task. */
const MAX_CRASHES = 8;
/**
 * Crashes after which a task is given up, if the last one can be due to no other
 * task. Two crashes soon after a start may be chance while many workers fail,
 * and the runs of a suspect endanger little else.
 */
const MIN_CRASHES = 3;
/**
 * Prompt crashes after which a task is given up whatever else may have caused
 * them, so that the number of its starts is bounded.
 */
const MAX_PROMPT_CRASHES = 4;

/** Adds a crash; of the same worker's crash, it updates the certainty only. */
export function addCrash(crashes: readonly Crash[], crash: Crash): Crash[] {
  const known = crashes.findIndex(({worker}) => worker === crash.worker);
  if (known < 0) return [...crashes, crash].slice(-MAX_CRASHES);
  const {isCertain} = crashes[known]!;
  if (isCertain || !crash.isCertain) return [...crashes];
  return crashes.with(known, {...crashes[known]!, isCertain: true});
}

/** Whether runs of the task are kept apart until they have proven harmless. */
export function isSuspect({crashes}: {crashes: readonly Crash[]}): boolean {
  return crashes.length > 1 || crashes.some(({isPrompt}) => isPrompt);
}

/** Whether the crashes show that the task causes them. */
export function isCrashCause(crashes: readonly Crash[]): boolean {
  const certain = crashes.filter(({isCertain}) => isCertain);
  const promptCount = certain.filter(({isPrompt}) => isPrompt).length;
  if (promptCount >= MAX_PROMPT_CRASHES) return true;
  return certain.length >= MIN_CRASHES && certain.at(-1)!.isAlone;
}
