/** Hosts, permits that take hosts out of service, and maintenance waves. */
import {z} from 'zod';

export const hostPhaseSchema = z.enum([
  'serving',
  'draining',
  'drained',
  'rebooting',
  'joining',
  'failed',
]);
export type HostPhase = z.infer<typeof hostPhaseSchema>;

export const permitSchema = z.object({
  kind: z.enum(['drain', 'move', 'reboot']),
  /** Fencing token of all platform commands that are sent under this permit. */
  token: z.number().int(),
  grantedAtMs: z.number(),
  /** Pool that the host joins at the end of a move. */
  targetPool: z.string().optional(),
  /** Maintenance wave that the reboot is part of. */
  wave: z.string().optional(),
});
export type Permit = z.infer<typeof permitSchema>;

export const hostSchema = z.object({
  id: z.string(),
  pool: z.string(),
  dataCentre: z.string(),
  rack: z.string(),
  cores: z.number(),
  memoryMiB: z.number(),
  accelerators: z.number(),
  phase: hostPhaseSchema,
  permit: permitSchema.optional(),
  /** When the host was last maintained, or was added. */
  maintainedAtMs: z.number(),
  /**
   * When the failure of the host was detected; cleared once it serves again.
   */
  lostAtMs: z.number().optional(),
  /** Set for a faulty worker, which is assigned no new jobs. */
  quarantined: z.boolean().default(false),
});
export type Host = z.infer<typeof hostSchema>;

/** Returns the host's failure domain: its rack within its data centre. */
export function failureDomain(host: {
  readonly dataCentre: string;
  readonly rack: string;
}): string {
  return `${host.dataCentre}/${host.rack}`;
}

export const waveSchema = z.object({
  id: z.string(),
  /**
   * Hosts still to be maintained, the earliest due first, or in the order in
   * which the operator listed them.
   */
  pending: z.array(z.string()),
  /** Hosts that have been maintained and are healthy again. */
  finished: z.array(z.string()),
  phase: z.enum(['open', 'paused', 'withdrawn', 'done']),
  openedAtMs: z.number(),
  deadlineMs: z.number(),
});
export type Wave = z.infer<typeof waveSchema>;
