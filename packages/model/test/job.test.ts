import {
  listJobs,
  apply,
  EMPTY_STATE,
  RETAINED_FINISHED_JOBS,
  findJob,
  listOccupyingJobs,
  poolSchema,
  routeSchema,
  TASK_LEASE_MS,
  teamSchema,
  type ChangeBody,
  type JobSpec,
  type JobStep,
  type State,
} from '@lentildrift/model';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';

const LIMIT = 3;
const TEAMS = ['reds', 'blues'];

function createFleet(limit = LIMIT): State {
  const edit = {
    basedOn: 0,
    teams: TEAMS.map(name => teamSchema.parse({name, share: 1, limit})),
    pools: [
      poolSchema.parse({name: 'pool', kind: 'jobs', hosts: ['a', 'b', 'c']}),
    ],
    routes: [routeSchema.parse({name: 'q', pool: 'pool', service: 's'})],
  };
  const command = {type: 'edit' as const, edit};
  const state = applyNext(EMPTY_STATE, {
    type: 'command',
    requestId: 'e',
    command,
  });
  return observeHosts(state, ['a', 'b', 'c'], true);
}

function observeHosts(state: State, ids: string[], healthy: boolean): State {
  const facts = {
    dataCentre: 'd',
    rack: 'r',
    cores: 8,
    memoryMiB: 8,
    accelerators: 0,
  };
  const hosts = ids.map(id => ({id, ...facts, healthy}));
  return applyNext(state, {type: 'observe-hosts', hosts});
}

function applyNext(state: State, body: ChangeBody, afterMs = 1): State {
  return apply(state, {atMs: state.nowMs + afterMs, body}).state;
}

function createSpec(id: string): JobSpec {
  const declared = {cores: 1, memoryMiB: 1, accelerators: 0};
  const rest = {queue: 'q', runTimeMs: 1, urgent: false, command: ''};
  return {id, declared, ...rest};
}

function stepJob(state: State, id: string, to: JobStep['to'], token?: number) {
  const current = token ?? findJob(state.jobs, id)?.token ?? 0;
  const steps = [{job: id, token: current, to}];
  return applyNext(state, {type: 'step-jobs', steps});
}

const job = fc.nat(15).map(i => `job-${i}`);
const ACTIONS = fc.array(
  fc.oneof(
    fc.record({kind: fc.constant('submit' as const), job}),
    fc.record({
      kind: fc.constant('place' as const),
      jobs: fc.array(job, {maxLength: 8}),
      host: fc.constantFrom('a', 'b', 'c'),
    }),
    fc.record({kind: fc.constant('cancel' as const), job}),
    fc.record({
      kind: fc.constant('step' as const),
      job,
      to: fc.constantFrom<JobStep['to']>(
        'running',
        'done',
        'failed',
        'lost',
        'checkpointed',
        'stopped',
      ),
      stale: fc.boolean(),
    }),
  ),
  {minLength: 60, maxLength: 150},
);

describe('jobs', () => {
  // Guards against more running jobs than a team's limit, lost jobs, and tokens
  // that no longer identify one attempt.
  test('keep limits, jobs and tokens intact in any order of starts, ends and cancels', () => {
    let started = 0;
    fc.assert(
      fc.property(ACTIONS, actions => {
        let state = createFleet();
        const submitted = new Set<string>();
        const attempts = new Map<number, string>();
        for (const act of actions) {
          const before = state;
          if (act.kind === 'submit') {
            const team = TEAMS[submitted.size % 2]!;
            if (!submitted.has(act.job)) {
              const jobs = [createSpec(act.job)];
              state = applyNext(state, {type: 'submit-jobs', team, jobs});
            }
            submitted.add(act.job);
          } else if (act.kind === 'place') {
            const {host} = act;
            const placements = act.jobs.map(id => ({job: id, host}));
            state = applyNext(state, {type: 'place-jobs', placements});
          } else if (act.kind === 'cancel') {
            const team = findJob(state.jobs, act.job)?.team ?? 'reds';
            state = applyNext(state, {
              type: 'cancel-jobs',
              team,
              jobs: [act.job],
            });
          } else {
            const token = findJob(state.jobs, act.job)?.token ?? 0;
            state = stepJob(
              state,
              act.job,
              act.to,
              act.stale ? token - 1 : token,
            );
            if (act.stale) expect(state.jobs).toEqual(before.jobs);
          }
          for (const team of TEAMS) {
            const held = listOccupyingJobs(state.jobs).filter(
              j => j.team === team,
            );
            expect(held.length).toBeLessThanOrEqual(LIMIT);
            expect(state.jobs.running[team] ?? 0).toBe(held.length);
          }
          for (const {id, token} of listOccupyingJobs(state.jobs)) {
            if (!attempts.has(token!)) started++;
            expect(attempts.get(token!) ?? id).toBe(id);
            attempts.set(token!, id);
          }
          expect(listJobs(state.jobs)).toHaveLength(submitted.size);
        }
      }),
      {numRuns: 50, seed: 11},
    );
    expect(started).toBeGreaterThan(300);
  });

  // A lost worker may still run the job until the task's lease has expired, so an
  // earlier restart could run the job twice.
  test('a job of a lost worker is requeued only after its lease has expired', () => {
    let state = createFleet();
    state = applyNext(state, {
      type: 'submit-jobs',
      team: 'reds',
      jobs: [createSpec('j')],
    });
    const placements = [{job: 'j', host: 'a'}];
    state = applyNext(state, {type: 'place-jobs', placements});
    expect(findJob(stepJob(state, 'j', 'lost').jobs, 'j')!.phase).toBe(
      'starting',
    );
    state = observeHosts(state, ['a'], false);
    const early = applyNext(state, {type: 'noop'}, TASK_LEASE_MS);
    expect(findJob(stepJob(early, 'j', 'lost').jobs, 'j')!.phase).toBe(
      'starting',
    );
    const late = applyNext(early, {type: 'noop'}, 1000);
    expect(findJob(stepJob(late, 'j', 'lost').jobs, 'j')!.phase).toBe('queued');
  });

  // A job that ended before the cancel reached it must not be reported cancelled.
  test('a cancel that races the end of a job yields the actual outcome', () => {
    let state = createFleet();
    const jobs = ['won', 'stopped'].map(createSpec);
    state = applyNext(state, {type: 'submit-jobs', team: 'reds', jobs});
    const placements = jobs.map(({id}) => ({job: id, host: 'a'}));
    state = applyNext(state, {type: 'place-jobs', placements});
    const ids = jobs.map(({id}) => id);
    state = applyNext(state, {type: 'cancel-jobs', team: 'reds', jobs: ids});
    state = stepJob(stepJob(state, 'won', 'done'), 'stopped', 'stopped');
    expect(findJob(state.jobs, 'won')!.phase).toBe('done');
    expect(findJob(state.jobs, 'stopped')!.phase).toBe('cancelled');
  });

  test('only a bounded number of finished jobs is kept, and the oldest are dropped', () => {
    let state = createFleet(100_000);
    for (let wave = 0; wave < 3; wave++) {
      const jobs = [...Array(10_000).keys()].map(i =>
        createSpec(`w${wave}-${i}`),
      );
      state = applyNext(state, {type: 'submit-jobs', team: 'reds', jobs});
      const ids = jobs.map(({id}) => id);
      state = applyNext(state, {type: 'cancel-jobs', team: 'reds', jobs: ids});
    }
    expect(listJobs(state.jobs)).toHaveLength(RETAINED_FINISHED_JOBS);
    expect(listJobs(state.jobs).every(({id}) => id.startsWith('w2'))).toBe(
      true,
    );
  });
});
