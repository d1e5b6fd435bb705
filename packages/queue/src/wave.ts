/** Maintenance waves, and orders to reboot hosts or move them between pools. */
import {z} from 'zod';

/** Status of a host's maintenance within a wave. */
export const MaintenanceStatus = z.enum(['due', 'begun', 'done']);
export type MaintenanceStatus = z.infer<typeof MaintenanceStatus>;

export const Wave = z.object({
  id: z.number(),
  /**
   * Time from acceptance within which the maintenance of all hosts should be
   * done.
   */
  durationMs: z.number().nonnegative(),
  /** Maximum number of hosts that may be down for this wave at once. */
  atOnce: z.int().positive(),
  /** Unix time, by the clock of the leader that accepted the wave. */
  acceptedAtMs: z.number(),
  /** Maintenance status by host. */
  hosts: z.record(z.string(), MaintenanceStatus),
});
export type Wave = z.infer<typeof Wave>;

export function isWaveDone(wave: Wave): boolean {
  return Object.values(wave.hosts).every(upkeep => upkeep === 'done');
}

/** Hosts whose maintenance has begun and is not done. */
export function hostsDown(wave: Wave): string[] {
  const hosts = Object.entries(wave.hosts);
  return hosts.filter(([, upkeep]) => upkeep === 'begun').map(([id]) => id);
}

/**
 * The latest order to a host, kept in the state so that the next leader knows
 * of it.
 */
export const HostOrder = z.object({
  host: z.string(),
  /** Pool that the host moves to; absent for an order to maintain the host. */
  to: z.string().optional(),
  /** ID of the leader process that gave the order. */
  by: z.string(),
  /** The order was carried out, or was given up before the host received it. */
  done: z.boolean(),
  /** Unix time, by the clock of the leader that gave the order. */
  atMs: z.number(),
});
export type HostOrder = z.infer<typeof HostOrder>;
