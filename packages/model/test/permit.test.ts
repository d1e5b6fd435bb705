import {
  apply,
  EMPTY_STATE,
  failureDomain,
  isAvailable,
  poolSchema,
  type Answer,
  type ChangeBody,
  type HostPhase,
  type State,
} from '@lentildrift/model';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';

const HOSTS = 12;
const POOLS = ['red', 'green', 'spare'];

/** Creates twelve hosts in two pools that serve and one spare pool. */
function createFleet(): State {
  const ids = [...Array(HOSTS).keys()];
  const pools = POOLS.map((name, p) =>
    poolSchema.parse({
      name,
      kind: name === 'spare' ? 'spare' : 'jobs',
      hosts: ids.filter(i => i % 3 === p).map(i => `host-${i}`),
      minAvailable: name === 'spare' ? 0 : 2,
    }),
  );
  const edit = {basedOn: 0, pools};
  const command = {type: 'edit' as const, edit};
  let state = applyNext(EMPTY_STATE, {
    type: 'command',
    requestId: 'e',
    command,
  }).state;
  state = applyNext(state, {
    type: 'observe-hosts',
    hosts: ids.map(i => observeHost(i, true)),
  }).state;
  return state;
}

function observeHost(i: number, healthy: boolean) {
  return {
    id: `host-${i}`,
    dataCentre: `dc-${i % 2}`,
    rack: `rack-${Math.floor(i / 6)}`,
    cores: 8,
    memoryMiB: 8,
    accelerators: 0,
    healthy,
  };
}

let nextRequest = 0;

function applyNext(
  state: State,
  body: ChangeBody,
): {state: State; answer: Answer} {
  const named =
    body.type === 'command' ? {...body, requestId: `r${nextRequest++}`} : body;
  return apply(state, {atMs: state.nowMs + 1000, body: named});
}

const host = fc.nat(HOSTS - 1);
const pool = fc.constantFrom(...POOLS);
const phase = fc.constantFrom<HostPhase>(
  'drained',
  'rebooting',
  'joining',
  'serving',
  'failed',
);

/** A random event; `toChangeBody` completes it from the current state. */
const action = fc.oneof(
  fc.record({kind: fc.constant('drain' as const), host}),
  fc.record({kind: fc.constant('undrain' as const), host}),
  fc.record({kind: fc.constant('move' as const), host, pool}),
  fc.record({kind: fc.constant('reboot' as const), host}),
  {
    weight: 6,
    arbitrary: fc.record({kind: fc.constant('step' as const), host, phase}),
  },
  fc.record({kind: fc.constant('seen' as const), host, healthy: fc.boolean()}),
  fc.record({kind: fc.constant('assign' as const), host, pool}),
);
type Action = typeof action extends fc.Arbitrary<infer T> ? T : never;

function toChangeBody(state: State, act: Action): ChangeBody {
  const id = `host-${act.host}`;
  switch (act.kind) {
    case 'drain':
    case 'undrain':
      return {
        type: 'command',
        requestId: '',
        command: {type: act.kind, host: id},
      };
    case 'move':
      return {
        type: 'grant-permit',
        host: id,
        kind: 'move',
        targetPool: act.pool,
      };
    case 'reboot':
      return {type: 'grant-permit', host: id, kind: 'reboot'};
    case 'step': {
      const token = state.hosts[id]?.permit?.token ?? 0;
      return {type: 'step-host', host: id, token, to: act.phase};
    }
    case 'seen':
      return {
        type: 'observe-hosts',
        hosts: [observeHost(act.host, act.healthy)],
      };
    case 'assign': {
      const pools = Object.values(state.tables.pools).map(row => {
        const others = row.hosts.filter(other => other !== id);
        return {
          ...row,
          hosts: row.name === act.pool ? [...others, id] : others,
        };
      });
      const edit = {basedOn: state.tables.version, pools};
      return {
        type: 'command',
        requestId: '',
        command: {type: 'edit', edit},
      };
    }
  }
}

/**
 * Checks that a change took hosts out of service only within the availability
 * budget and within one failure domain, from the states before and after it.
 */
function checkBudget(before: State, after: State): void {
  for (const name of POOLS) {
    const members = Object.values(after.hosts).filter(h => h.pool === name);
    const taken = members.filter(
      h =>
        h.permit &&
        !before.hosts[h.id]!.permit &&
        before.hosts[h.id]!.phase !== 'failed',
    );
    if (taken.length === 0) continue;
    const available = members.filter(isAvailable).length;
    const {minAvailable, kind} = after.tables.pools[name]!;
    expect(available).toBeGreaterThanOrEqual(minAvailable);
    if (kind === 'spare') continue;
    const opened = members.filter(
      h =>
        h.permit && !(h.permit.kind === 'move' && h.permit.targetPool === name),
    );
    expect(new Set(opened.map(failureDomain)).size).toBe(1);
  }
}

describe('permits', () => {
  // Guards against permits that take too many hosts of a pool out of service,
  // and against hosts that are lost from the pools or listed twice.
  test('keep budgets and pools consistent in any order of failures, moves, edits and drains', () => {
    let granted = 0;
    let joined = 0;
    fc.assert(
      fc.property(
        fc.array(action, {minLength: 60, maxLength: 120}),
        actions => {
          let state = createFleet();
          for (const act of actions) {
            const next = applyNext(state, toChangeBody(state, act)).state;
            checkBudget(state, next);
            for (const h of Object.values(next.hosts)) {
              expect(Object.keys(next.tables.pools)).toContain(h.pool);
              if (h.permit && !state.hosts[h.id]!.permit) granted++;
              if (h.pool !== state.hosts[h.id]!.pool) joined++;
            }
            const listed = Object.values(next.tables.pools).flatMap(
              p => p.hosts,
            );
            expect([...listed].sort()).toEqual(Object.keys(next.hosts).sort());
            state = next;
          }
        },
      ),
      {numRuns: 100, seed: 7},
    );
    // Without grants and moves, the property would hold trivially.
    expect(granted).toBeGreaterThan(500);
    expect(joined).toBeGreaterThan(20);
  });

  // A returned host is not available yet. If it did not count, a second host
  // could be taken out of another failure domain too early.
  test('a returned host counts against the budget until it is healthy', () => {
    let state = createFleet();
    const drain = {type: 'drain' as const, host: 'host-0'};
    state = applyNext(state, {
      type: 'command',
      requestId: '',
      command: drain,
    }).state;
    const token = state.hosts['host-0']!.permit!.token;
    const undrain = {type: 'undrain' as const, host: 'host-0'};
    state = applyNext(state, {
      type: 'command',
      requestId: '',
      command: undrain,
    }).state;
    expect(isAvailable(state.hosts['host-0']!)).toBe(false);
    expect(state.hosts['host-0']!.permit!.token).toBeGreaterThan(token);
    // host-3 is in the same pool and in another data centre.
    const other = applyNext(state, {
      type: 'grant-permit',
      host: 'host-3',
      kind: 'reboot',
    });
    expect(other.answer).toMatchObject({ok: false, code: 'budget'});
  });

  // If the tables did not follow the planner's move, the next round would take
  // the difference for an operator's edit and move the host back.
  test('a move by the planner is written into the pools table', () => {
    let state = createFleet();
    const version = state.tables.version;
    state = applyNext(state, {
      type: 'grant-permit',
      host: 'host-2',
      kind: 'move',
      targetPool: 'red',
    }).state;
    expect(state.hosts['host-2']!.pool).toBe('spare');
    expect(state.tables.pools['red']!.hosts).toContain('host-2');
    expect(state.tables.version).toBe(version + 1);
    const {token} = state.hosts['host-2']!.permit!;
    for (const to of ['drained', 'joining', 'serving'] as const) {
      state = applyNext(state, {
        type: 'step-host',
        host: 'host-2',
        token,
        to,
      }).state;
      const available = Object.values(state.hosts).filter(
        h => h.pool === 'red' && isAvailable(h),
      );
      expect(available).toHaveLength(to === 'serving' ? 5 : 4);
    }
  });

  // The batch keeps its own index of hosts by pool, which must follow each grant.
  test('a batch grants the same permits as granting them one by one', () => {
    const request = fc.oneof(
      fc.record({host, kind: fc.constantFrom('drain', 'reboot')}),
      fc.record({host, kind: fc.constant('move'), targetPool: pool}),
    );
    let refused = 0;
    fc.assert(
      fc.property(fc.array(request, {maxLength: 12}), requests => {
        const grants = requests.map(each => ({
          ...(each as {kind: 'drain' | 'move' | 'reboot'}),
          host: `host-${each.host}`,
        }));
        const start = applyNext(createFleet(), {
          type: 'observe-hosts',
          hosts: [observeHost(3, false)],
        }).state;
        let single = start;
        let granted = 0;
        for (const each of grants) {
          const body = {type: 'grant-permit' as const, ...each};
          const result = apply(single, {atMs: start.nowMs, body});
          single = result.state;
          if (result.answer.ok) granted++;
          else refused++;
        }
        const body = {type: 'grant-permits' as const, grants};
        const batch = apply(start, {atMs: start.nowMs, body});
        expect(batch.answer).toMatchObject({detail: String(granted)});
        const revision = single.revision;
        expect({...batch.state, revision}).toEqual(single);
      }),
      {numRuns: 200, seed: 9},
    );
    expect(refused).toBeGreaterThan(200);
  });
});
