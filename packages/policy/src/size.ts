/** Arithmetic on sizes: cores, memory and accelerators. */
import type {Size} from '@lentildrift/model';

export const ZERO_SIZE: Size = {cores: 0, memoryMiB: 0, accelerators: 0};

export function addSizes(a: Size, b: Size): Size {
  return {
    cores: a.cores + b.cores,
    memoryMiB: a.memoryMiB + b.memoryMiB,
    accelerators: a.accelerators + b.accelerators,
  };
}

export function subtractSizes(a: Size, b: Size): Size {
  return {
    cores: a.cores - b.cores,
    memoryMiB: a.memoryMiB - b.memoryMiB,
    accelerators: a.accelerators - b.accelerators,
  };
}

/** Whether `size` fits into `room` in every resource. */
export function fits(size: Size, room: Size): boolean {
  return (
    size.cores <= room.cores &&
    size.memoryMiB <= room.memoryMiB &&
    size.accelerators <= room.accelerators
  );
}

/**
 * Returns the largest fraction of `capacity` that `size` uses of any resource.
 * Infinite if `size` needs a resource that `capacity` lacks.
 */
export function dominantShare(size: Size, capacity: Size): number {
  return Math.max(
    fractionOf(size.cores, capacity.cores),
    fractionOf(size.memoryMiB, capacity.memoryMiB),
    fractionOf(size.accelerators, capacity.accelerators),
  );
}

function fractionOf(amount: number, whole: number): number {
  if (amount <= 0) return 0;
  return whole > 0 ? amount / whole : Infinity;
}
