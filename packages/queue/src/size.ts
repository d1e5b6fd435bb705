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

export function add(a: Size, b: Size): Size {
  return {
    cpuMillis: a.cpuMillis + b.cpuMillis,
    memoryMb: a.memoryMb + b.memoryMb,
    gpus: a.gpus + b.gpus,
  };
}

export function subtract(a: Size, b: Size): Size {
  return {
    cpuMillis: a.cpuMillis - b.cpuMillis,
    memoryMb: a.memoryMb - b.memoryMb,
    gpus: a.gpus - b.gpus,
  };
}

export function fits(size: Size, room: Size): boolean {
  return (
    size.cpuMillis <= room.cpuMillis &&
    size.memoryMb <= room.memoryMb &&
    size.gpus <= room.gpus
  );
}
