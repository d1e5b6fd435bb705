/** The limits on what clients may take from a process, and their defaults. */
import {z} from 'zod';

export const IntakeLimits = z.object({
  /**
   * Bytes that all requests in flight of the process may hold: their bodies,
   * what the runtime keeps for each, and answers that are not read yet.
   */
  budgetBytes: z.int().positive(),
  /** Connections of clients that may be open at the same time. */
  maxConnections: z.int().positive(),
});
export type IntakeLimits = z.infer<typeof IntakeLimits>;

/** What the process may use of its machine. */
export interface Machine {
  readonly memoryMb: number;
  readonly maxDescriptors: number;
  /** Part of the free descriptors that connections of clients may take. */
  readonly clientPart: number;
}

/** Descriptors that the platform reserves for files. */
const RESERVED_DESCRIPTORS = 200;
/**
 * Text and decoded value of a body take several times its bytes, and half of a
 * small machine is used by an idle process.
 */
const BUDGET_PART = 1 / 12;
/** The largest body that is served takes one and a half times its bytes. */
const MIN_BUDGET_BYTES = 12 * 1024 * 1024;

/** Returns the limits that suit a machine. */
export function deriveLimits(machine: Machine): IntakeLimits {
  const {memoryMb, maxDescriptors, clientPart} = machine;
  const freeDescriptors = Math.max(1, maxDescriptors - RESERVED_DESCRIPTORS);
  return {
    budgetBytes: Math.max(
      MIN_BUDGET_BYTES,
      Math.floor(memoryMb * 1024 * 1024 * BUDGET_PART),
    ),
    maxConnections: Math.max(1, Math.floor(freeDescriptors * clientPart)),
  };
}
