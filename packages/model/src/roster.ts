/** The roster of upstreams: announcements merged by incarnation and sequence. */
import {z} from 'zod';
import {nameSchema} from './table.js';

export const MAX_LEASE_MS = 30_000;
/** A tombstone outlives the longest lease by this, against late announcements. */
export const TOMBSTONE_MS = 60_000;

export const announcementSchema = z.strictObject({
  pool: nameSchema,
  service: nameSchema,
  host: nameSchema,
  address: z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/),
  /** Grows with every start of the upstream's process. */
  incarnation: z.number().int().nonnegative(),
  /** Grows with every announcement of one incarnation. */
  sequence: z.number().int().nonnegative(),
  leaseMs: z.number().int().min(1000).max(MAX_LEASE_MS),
});
export type Announcement = z.infer<typeof announcementSchema>;

/**
 * An announcement as processes pass it on. Ages, not times, cross processes:
 * their clocks do not agree.
 */
export const rosterItemSchema = z.object({
  announcement: announcementSchema,
  left: z.boolean(),
  /** Time since an entry received it, in milliseconds. */
  ageMs: z.number().nonnegative(),
});
export type RosterItem = z.infer<typeof rosterItemSchema>;

/** What one process holds of an upstream, on its own monotonic clock. */
export interface RosterRecord {
  readonly announcement: Announcement;
  readonly left: boolean;
  readonly receivedMs: number;
}

/** Upstream ID to record. */
export type Roster = ReadonlyMap<string, RosterRecord>;

/** One upstream: a service on a host; restarts keep the ID. */
export function upstreamId(announcement: Announcement): string {
  const {host, service, address} = announcement;
  return `${host}/${service}/${address}`;
}

function supersedes(item: RosterItem, record: RosterRecord): boolean {
  const next = item.announcement;
  const held = record.announcement;
  if (next.incarnation !== held.incarnation) {
    return next.incarnation > held.incarnation;
  }
  if (next.sequence !== held.sequence) return next.sequence > held.sequence;
  return item.left && !record.left;
}

/**
 * Merges items into the roster. The result does not depend on the order of
 * the items; returns the same map if nothing is new.
 */
export function mergeRoster(
  roster: Roster,
  items: readonly RosterItem[],
  nowMs: number,
): Roster {
  let merged: Map<string, RosterRecord> | undefined;
  for (const item of items) {
    const id = upstreamId(item.announcement);
    const held = (merged ?? roster).get(id);
    if (held && !supersedes(item, held)) continue;
    merged ??= new Map(roster);
    merged.set(id, {
      announcement: item.announcement,
      left: item.left,
      receivedMs: nowMs - item.ageMs,
    });
  }
  return merged ?? roster;
}

/** Whether the upstream has neither left nor let its lease lapse. */
export function isLive(record: RosterRecord, nowMs: number): boolean {
  return (
    !record.left && nowMs < record.receivedMs + record.announcement.leaseMs
  );
}

/**
 * Live upstreams. Of two that claim one address, the one announced later
 * holds it.
 */
export function liveUpstreams(
  roster: Roster,
  nowMs: number,
): readonly RosterRecord[] {
  const byAddress = new Map<string, RosterRecord>();
  for (const record of roster.values()) {
    if (!isLive(record, nowMs)) continue;
    const {address} = record.announcement;
    const other = byAddress.get(address);
    if (other && other.receivedMs >= record.receivedMs) continue;
    byAddress.set(address, record);
  }
  return [...byAddress.values()];
}

/** Drops records that no late announcement can concern any more. */
export function pruneRoster(roster: Roster, nowMs: number): Roster {
  const keepMs = MAX_LEASE_MS + TOMBSTONE_MS;
  const kept = [...roster].filter(
    ([, record]) => nowMs - record.receivedMs < keepMs,
  );
  return kept.length === roster.size ? roster : new Map(kept);
}

/** The roster as items, their ages taken at `nowMs`. */
export function toRosterItems(roster: Roster, nowMs: number): RosterItem[] {
  return [...roster.values()].map(({announcement, left, receivedMs}) => ({
    announcement,
    left,
    ageMs: Math.max(0, nowMs - receivedMs),
  }));
}
