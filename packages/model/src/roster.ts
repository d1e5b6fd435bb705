/**
 * Roster of upstreams, merged from announcements by incarnation and sequence.
 */
import {z} from 'zod';
import {nameSchema} from './table.js';

/** Longest lease that an upstream may announce. */
export const MAX_LEASE_MS = 30_000;
/**
 * How long a record is kept after the longest lease, so that a late
 * announcement does not bring back an upstream that has left.
 */
export const TOMBSTONE_MS = 60_000;

export const announcementSchema = z.strictObject({
  pool: nameSchema,
  service: nameSchema,
  host: nameSchema,
  address: z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/),
  /** Increases with every start of the upstream's process. */
  incarnation: z.number().int().nonnegative(),
  /** Increases with every announcement of one incarnation. */
  sequence: z.number().int().nonnegative(),
  leaseMs: z.number().int().min(1000).max(MAX_LEASE_MS),
});
export type Announcement = z.infer<typeof announcementSchema>;

/**
 * An announcement as processes exchange it. It carries an age instead of a
 * time, since the clocks of the processes differ.
 */
export const rosterItemSchema = z.object({
  announcement: announcementSchema,
  /** Whether the upstream has announced that it leaves. */
  left: z.boolean(),
  /** Time since an entry host received the announcement, in milliseconds. */
  ageMs: z.number().nonnegative(),
});
export type RosterItem = z.infer<typeof rosterItemSchema>;

/**
 * Record of an upstream; `receivedMs` is on the process's own monotonic clock.
 */
export interface RosterRecord {
  readonly announcement: Announcement;
  readonly left: boolean;
  readonly receivedMs: number;
}

/** Maps upstream IDs to records. */
export type Roster = ReadonlyMap<string, RosterRecord>;

/** Returns the ID of an upstream, which is the same after a restart. */
export function upstreamId(announcement: Announcement): string {
  const {host, service, address} = announcement;
  return `${host}/${service}/${address}`;
}

/** Whether `item` is newer than `record`. */
function supersedes(item: RosterItem, record: RosterRecord): boolean {
  const next = item.announcement;
  const known = record.announcement;
  if (next.incarnation !== known.incarnation) {
    return next.incarnation > known.incarnation;
  }
  if (next.sequence !== known.sequence) return next.sequence > known.sequence;
  return item.left && !record.left;
}

/**
 * Merges items into the roster. The result does not depend on the order of
 * the items. Returns the same map if no item is new.
 */
export function mergeRoster(
  roster: Roster,
  items: readonly RosterItem[],
  nowMs: number,
): Roster {
  let merged: Map<string, RosterRecord> | undefined;
  for (const item of items) {
    const id = upstreamId(item.announcement);
    const known = (merged ?? roster).get(id);
    if (known && !supersedes(item, known)) continue;
    merged ??= new Map(roster);
    merged.set(id, {
      announcement: item.announcement,
      left: item.left,
      receivedMs: nowMs - item.ageMs,
    });
  }
  return merged ?? roster;
}

/** Whether the upstream has not left and its lease has not expired. */
export function isLive(record: RosterRecord, nowMs: number): boolean {
  return (
    !record.left && nowMs < record.receivedMs + record.announcement.leaseMs
  );
}

/**
 * Lists live upstreams. Of several with the same address, only the one that
 * was announced last is listed.
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

/** Drops records that are too old to be needed against late announcements. */
export function pruneRoster(roster: Roster, nowMs: number): Roster {
  const keepMs = MAX_LEASE_MS + TOMBSTONE_MS;
  const kept = [...roster].filter(
    ([, record]) => nowMs - record.receivedMs < keepMs,
  );
  return kept.length === roster.size ? roster : new Map(kept);
}

/** Converts the roster to items, with their ages at `nowMs`. */
export function toRosterItems(roster: Roster, nowMs: number): RosterItem[] {
  return [...roster.values()].map(({announcement, left, receivedMs}) => ({
    announcement,
    left,
    ageMs: Math.max(0, nowMs - receivedMs),
  }));
}
