/** Maintenance waves and moves of hosts between pools. */
import {z} from 'zod';

export const MaintenanceStatus = z.enum(['due', 'begun', 'done']);
export type MaintenanceStatus = z.infer<typeof MaintenanceStatus>;

export const Wave = z.object({
  id: z.number(),
  /** Time until which every host should have had its upkeep. */
  durationMs: z.number().nonnegative(),
  /** Most hosts that may be down for this wave at once. */
  atOnce: z.int().positive(),
  /** Unix time at the leader that accepted the wave. */
  acceptedAtMs: z.number(),
  hosts: z.record(z.string(), MaintenanceStatus),
});
export type Wave = z.infer<typeof Wave>;

export function isWaveDone(wave: Wave): boolean {
  return Object.values(wave.hosts).every(upkeep => upkeep === 'done');
}

export function hostsDown(wave: Wave): string[] {
  const hosts = Object.entries(wave.hosts);
  return hosts.filter(([, upkeep]) => upkeep === 'begun').map(([id]) => id);
}

/** The last order to a host, so that the next leader knows of it. */
export const HostOrder = z.object({
  host: z.string(),
  /** Pool that the host moves to; absent for upkeep. */
  to: z.string().optional(),
  /** Process of the leader that gave the order. */
  by: z.string(),
  /** It was carried out, or given up before it was ordered. */
  done: z.boolean(),
  /** Unix time at the leader that gave the order. */
  atMs: z.number(),
});
export type HostOrder = z.infer<typeof HostOrder>;
