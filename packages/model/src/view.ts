/** The part of the state that entry hosts need, and deltas between versions. */
import {z} from 'zod';
import {hostPhaseSchema} from './host.js';
import {keySchema} from './key.js';
import type {State} from './state.js';
import {poolSchema, routeSchema, teamSchema} from './table.js';

export const viewHostSchema = z.object({
  pool: z.string(),
  phase: hostPhaseSchema,
});

export const viewSchema = z.object({
  /** Revision of the state that the view shows. */
  revision: z.number().int().nonnegative(),
  /** Version of the tables. */
  version: z.number().int().nonnegative(),
  routes: z.record(z.string(), routeSchema),
  pools: z.record(z.string(), poolSchema),
  teams: z.record(z.string(), teamSchema),
  keys: z.record(z.string(), keySchema),
  hosts: z.record(z.string(), viewHostSchema),
});
export type View = z.infer<typeof viewSchema>;

export const EMPTY_VIEW: View = {
  revision: 0,
  version: 0,
  routes: {},
  pools: {},
  teams: {},
  keys: {},
  hosts: {},
};

const SECTIONS = ['routes', 'pools', 'teams', 'keys', 'hosts'] as const;
type Section = (typeof SECTIONS)[number];

/** Changed and removed rows of one section. */
function sectionDeltaSchema<T extends z.ZodType>(row: T) {
  return z.object({
    set: z.record(z.string(), row),
    removed: z.array(z.string()),
  });
}

export const viewDeltaSchema = z.object({
  /** Revision that the delta applies to; 0 stands for the empty view. */
  from: z.number().int().nonnegative(),
  /** Revision that the delta leads to. */
  to: z.number().int().nonnegative(),
  version: z.number().int().nonnegative(),
  routes: sectionDeltaSchema(routeSchema).optional(),
  pools: sectionDeltaSchema(poolSchema).optional(),
  teams: sectionDeltaSchema(teamSchema).optional(),
  keys: sectionDeltaSchema(keySchema).optional(),
  hosts: sectionDeltaSchema(viewHostSchema).optional(),
});
export type ViewDelta = z.infer<typeof viewDeltaSchema>;

/** Creates the view of `state`. Unchanged hosts of `previous` are reused. */
export function projectView(state: State, previous = EMPTY_VIEW): View {
  const {routes, pools, teams, version} = state.tables;
  return {
    revision: state.revision,
    version,
    routes,
    pools,
    teams,
    keys: state.keys,
    hosts: projectHosts(state, previous.hosts),
  };
}

function projectHosts(state: State, previous: View['hosts']): View['hosts'] {
  let changed =
    Object.keys(previous).length !== Object.keys(state.hosts).length;
  const hosts: View['hosts'] = {};
  for (const [id, {pool, phase}] of Object.entries(state.hosts)) {
    const old = previous[id];
    const same = old?.pool === pool && old.phase === phase;
    hosts[id] = same ? old : {pool, phase};
    changed ||= !same;
  }
  return changed ? hosts : previous;
}

/** Returns the delta from `older` to `newer`. Rows are compared by identity. */
export function diffViews(older: View, newer: View): ViewDelta {
  const delta: ViewDelta = {
    from: older.revision,
    to: newer.revision,
    version: newer.version,
  };
  for (const section of SECTIONS) diffSection(section, older, newer, delta);
  return delta;
}

function diffSection(
  section: Section,
  older: View,
  newer: View,
  delta: ViewDelta,
): void {
  const before: Record<string, unknown> = older[section];
  const after: Record<string, unknown> = newer[section];
  if (before === after) return;
  const set = Object.fromEntries(
    Object.entries(after).filter(([id, row]) => before[id] !== row),
  );
  const removed = Object.keys(before).filter(id => !Object.hasOwn(after, id));
  if (Object.keys(set).length === 0 && removed.length === 0) return;
  Object.assign(delta, {[section]: {set, removed}});
}

/**
 * Applies a delta. Returns undefined if the delta does not start at the view's
 * revision or leads to a lower one, since a view must never go back.
 */
export function patchView(view: View, delta: ViewDelta): View | undefined {
  const base = delta.from === 0 ? EMPTY_VIEW : view;
  if (delta.from !== 0 && delta.from !== view.revision) return undefined;
  if (delta.to < view.revision) return undefined;
  return {
    revision: delta.to,
    version: delta.version,
    routes: patchSection(base.routes, delta.routes),
    pools: patchSection(base.pools, delta.pools),
    teams: patchSection(base.teams, delta.teams),
    keys: patchSection(base.keys, delta.keys),
    hosts: patchSection(base.hosts, delta.hosts),
  };
}

function patchSection<T>(
  rows: Record<string, T>,
  delta: {set: Record<string, T>; removed: string[]} | undefined,
): Record<string, T> {
  if (!delta) return rows;
  const patched = {...rows, ...delta.set};
  for (const id of delta.removed) delete patched[id];
  return patched;
}
