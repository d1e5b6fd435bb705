/** Estimates what a job takes in the memory of each control process. */
import {occurrenceCount, type Job, type JobSpec} from './job.js';

/** A step in the state, in a snapshot and in the plan of the leader. */
const STEP_BYTES = 1024;
/** A task in the state and in the plan. */
const TASK_BYTES = 128;
/**
 * Occurrences that are due within this time, at the acceptance or at any later
 * time, are counted.
 */
const DUE_WINDOW_MS = 10_000;

/** Weights of jobs, by their specification. */
const weights = new WeakMap<JobSpec, number>();

/** Bytes that an active job takes, roughly; 0 for one that has ended. */
export function jobWeight({spec, acceptedAtMs, phase}: Job): number {
  if (phase !== 'active') return 0;
  let weight = weights.get(spec);
  if (weight === undefined) {
    weight = weighSpec(spec, acceptedAtMs);
    weights.set(spec, weight);
  }
  return weight;
}

/** The weight of a job that is accepted at the time. */
export function weighSpec(spec: JobSpec, acceptedAtMs: number): number {
  const occurrences = countOverlapping(spec, acceptedAtMs);
  let bytes = spec.id.length + spec.payload.length;
  for (const {count, after, label = '', rack = '', image} of spec.steps) {
    bytes += label.length + rack.length + image.length + 8 * after.length;
    bytes += (STEP_BYTES + TASK_BYTES * count) * occurrences;
  }
  return bytes;
}

/** Number of occurrences that may be due at the same time. */
function countOverlapping(spec: JobSpec, acceptedAtMs: number): number {
  const {schedule} = spec;
  if (!schedule) return 1;
  const {startAtMs, intervalMs} = schedule;
  const overdueMs = Math.max(0, acceptedAtMs - startAtMs);
  const windowMs = overdueMs + DUE_WINDOW_MS;
  const due = intervalMs > 0 ? Math.floor(windowMs / intervalMs) + 1 : Infinity;
  return Math.min(occurrenceCount(spec), due);
}
