/** Hosts, the permits that take them out of service, and maintenance waves. */
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
  /** Fencing token that every platform command under this permit carries. */
  token: z.number().int(),
  grantedAtMs: z.number(),
  /** Pool that the host joins at the end of a move. */
  targetPool: z.string().optional(),
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
  maintainedAtMs: z.number(),
  /** When the host was seen to have failed; cleared once it serves again. */
  lostAtMs: z.number().optional(),
  /** A worker that fails what it starts takes no new jobs. */
  quarantined: z.boolean().default(false),
});
export type Host = z.infer<typeof hostSchema>;

/** What is lost together: a rack of one data centre. */
export function failureDomain(host: {
  readonly dataCentre: string;
  readonly rack: string;
}): string {
  return `${host.dataCentre}/${host.rack}`;
}

export const waveSchema = z.object({
  id: z.string(),
  /** Hosts still to be maintained, in order of deadline. */
  pending: z.array(z.string()),
  /** Hosts of the wave that are healthy again. */
  finished: z.array(z.string()),
  phase: z.enum(['open', 'paused', 'withdrawn', 'done']),
  openedAtMs: z.number(),
  deadlineMs: z.number(),
});
export type Wave = z.infer<typeof waveSchema>;
