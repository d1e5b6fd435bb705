/** Amounts of the resources that a worker offers and a task reserves. */
import {z} from 'zod';

const amount = z.number().nonnegative();

export const Size = z.object({
  /** Thousandths of a core. */
  cpuMillis: amount,
  memoryMb: amount,
  gpus: amount,
});
export type Size = z.infer<typeof Size>;

export const ZERO_SIZE: Size = {cpuMillis: 0, memoryMb: 0, gpus: 0};

/** Sum of two amounts. */
export function add(a: Size, b: Size): Size {
  return {
    cpuMillis: a.cpuMillis + b.cpuMillis,
    memoryMb: a.memoryMb + b.memoryMb,
    gpus: a.gpus + b.gpus,
  };
}

/** Difference of two amounts; parts may be negative. */
export function subtract(a: Size, b: Size): Size {
  return {
    cpuMillis: a.cpuMillis - b.cpuMillis,
    memoryMb: a.memoryMb - b.memoryMb,
    gpus: a.gpus - b.gpus,
  };
}

/** Whether `size` exceeds `available` in no resource. */
export function fits(size: Size, available: Size): boolean {
  return (
    size.cpuMillis <= available.cpuMillis &&
    size.memoryMb <= available.memoryMb &&
    size.gpus <= available.gpus
  );
}
