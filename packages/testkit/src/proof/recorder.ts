/** Records what the state says beside what the platform does in truth. */
import type {SoloReplica} from '@lentildrift/consensus';
import {
  failureDomain,
  type Answer,
  type Change,
  type Host,
  type State,
} from '@lentildrift/model';
import {createHash} from 'node:crypto';
import type {History} from '../history.js';
import type {DrainTrackingPlatform} from './weak.js';

export interface Recorder {
  /** Records the pools of all hosts now. */
  sample(): void;
}

export function startRecorder(
  replica: SoloReplica<State, Change, Answer>,
  platform: DrainTrackingPlatform,
  history: History,
): Recorder {
  let before = replica.state();
  replica.onApply(({state, change: {body}}) => {
    const old = before;
    before = state;
    if (body.type === 'step-jobs') {
      for (const {job, to, token} of body.steps) {
        const host = hostOf(old, job, token);
        if (host === undefined || (to !== 'done' && to !== 'failed')) continue;
        history.record({
          type: 'task-ended',
          job,
          host,
          failed: to === 'failed',
        });
      }
    }
    if (old.hosts === state.hosts) return;
    for (const host of Object.values(state.hosts)) {
      const was = old.hosts[host.id];
      if (host.permit && was && !was.permit && was.phase !== 'failed') {
        history.record(taken(state, platform, host, was.pool));
      }
    }
    sample();
  });

  function sample(): void {
    const state = replica.state();
    history.record({
      type: 'applied',
      member: 'solo',
      revision: state.revision,
      version: state.tables.version,
      digest: digestOf(state),
      pools: poolsHolding(state, platform),
    });
  }

  return {sample};
}

function hostOf(state: State, id: string, token: number): string | undefined {
  for (const bucket of Object.values(state.jobs.buckets)) {
    const job = Object.hasOwn(bucket, id) ? bucket[id] : undefined;
    if (job) return job.token === token ? job.host : undefined;
  }
  return undefined;
}

/** The budget as it is in truth: a drained or lost host serves nobody. */
function taken(
  state: State,
  platform: DrainTrackingPlatform,
  host: Host,
  name: string,
) {
  const pool = state.tables.pools[name]!;
  const up = upHosts(platform);
  const others = Object.values(state.hosts).filter(
    other => other.id !== host.id && other.pool === name,
  );
  const isOut = (other: Host) =>
    other.permit !== undefined || platform.drained.has(other.id);
  const serving = others.filter(
    other => other.phase === 'serving' && !isOut(other) && up.has(other.id),
  );
  const opened = others.filter(
    other => isOut(other) && other.permit?.targetPool !== name,
  );
  const domains = [host, ...opened].map(failureDomain);
  return {
    type: 'host-taken' as const,
    host: host.id,
    pool: name,
    available: serving.length,
    minAvailable: pool.minAvailable,
    domains: pool.kind === 'spare' ? [] : [...new Set(domains)].sort(),
  };
}

function upHosts(platform: DrainTrackingPlatform): Set<string> {
  const {hosts} = platform.observeSync(0);
  return new Set(hosts.filter(({healthy}) => healthy).map(({id}) => id));
}

/** The pool that the state names, and those whose work runs on the host. */
function poolsHolding(
  state: State,
  platform: DrainTrackingPlatform,
): Record<string, string[]> {
  const pools = new Map<string, Set<string>>();
  for (const {id, pool} of Object.values(state.hosts)) {
    pools.set(id, new Set([pool]));
  }
  const queues = new Map<string, string>();
  for (const bucket of Object.values(state.jobs.buckets)) {
    for (const {id, queue} of Object.values(bucket)) queues.set(id, queue);
  }
  for (const {job, host, phase} of platform.observeSync(0).tasks) {
    const pool = state.tables.routes[queues.get(job) ?? '']?.pool;
    if (phase === 'running' && pool) pools.get(host)?.add(pool);
  }
  return Object.fromEntries(
    [...pools].map(([host, held]) => [host, [...held].sort()]),
  );
}

function digestOf({hosts, tables}: State): string {
  const text = JSON.stringify([hosts, tables]);
  return createHash('sha256').update(text).digest('hex');
}
