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

export function fits(size: Size, room: Size): boolean {
  return (
    size.cores <= room.cores &&
    size.memoryMiB <= room.memoryMiB &&
    size.accelerators <= room.accelerators
  );
}

/** The largest part of `capacity` that `size` takes of any one resource. */
export function dominantShare(size: Size, capacity: Size): number {
  return Math.max(
    part(size.cores, capacity.cores),
    part(size.memoryMiB, capacity.memoryMiB),
    part(size.accelerators, capacity.accelerators),
  );
}

function part(amount: number, whole: number): number {
  if (amount <= 0) return 0;
  return whole > 0 ? amount / whole : Infinity;
}
