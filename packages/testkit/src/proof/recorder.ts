/** Records the replicated state together with the actual state of the platform. */
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
  /** Records the pools of all hosts at this time. */
  sample(): void;
}

/** Records finished tasks, hosts taken out of service, and host changes. */
export function startRecorder(
  replica: SoloReplica<State, Change, Answer>,
  platform: DrainTrackingPlatform,
  history: History,
): Recorder {
  let latestState = replica.state();
  replica.onApply(({state, change: {body}}) => {
    const previousState = latestState;
    latestState = state;
    if (body.type === 'step-jobs') {
      for (const {job, to, token} of body.steps) {
        const host = findTaskHost(previousState, job, token);
        if (host === undefined || (to !== 'done' && to !== 'failed')) continue;
        history.record({
          type: 'task-ended',
          job,
          host,
          failed: to === 'failed',
        });
      }
    }
    if (previousState.hosts === state.hosts) return;
    for (const host of Object.values(state.hosts)) {
      const previousHost = previousState.hosts[host.id];
      if (
        host.permit &&
        previousHost &&
        !previousHost.permit &&
        previousHost.phase !== 'failed'
      ) {
        history.record(
          createHostTakenEvent(state, platform, host, previousHost.pool),
        );
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
      digest: computeDigest(state),
      pools: listPoolsByHost(state, platform),
    });
  }

  return {sample};
}

/** The worker of a job, unless `token` is from another attempt. */
function findTaskHost(
  state: State,
  id: string,
  token: number,
): string | undefined {
  for (const bucket of Object.values(state.jobs.buckets)) {
    const job = Object.hasOwn(bucket, id) ? bucket[id] : undefined;
    if (job) return job.token === token ? job.host : undefined;
  }
  return undefined;
}

/**
 * Counts the hosts of the pool that are actually available: hosts which the
 * platform drained or lost do not count, whatever the state says.
 */
function createHostTakenEvent(
  state: State,
  platform: DrainTrackingPlatform,
  host: Host,
  name: string,
) {
  const pool = state.tables.pools[name]!;
  const healthyIds = listHealthyHosts(platform);
  const others = Object.values(state.hosts).filter(
    other => other.id !== host.id && other.pool === name,
  );
  const isOutOfService = (other: Host) =>
    other.permit !== undefined || platform.drained.has(other.id);
  const serving = others.filter(
    other =>
      other.phase === 'serving' &&
      !isOutOfService(other) &&
      healthyIds.has(other.id),
  );
  const outOfService = others.filter(
    other => isOutOfService(other) && other.permit?.targetPool !== name,
  );
  const domains = [host, ...outOfService].map(failureDomain);
  return {
    type: 'host-taken' as const,
    host: host.id,
    pool: name,
    available: serving.length,
    minAvailable: pool.minAvailable,
    domains: pool.kind === 'spare' ? [] : [...new Set(domains)].sort(),
  };
}

function listHealthyHosts(platform: DrainTrackingPlatform): Set<string> {
  const {hosts} = platform.observeSync(0);
  return new Set(hosts.filter(({healthy}) => healthy).map(({id}) => id));
}

/** Host to its pool in the state and the pools whose jobs run on the host. */
function listPoolsByHost(
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
    [...pools].map(([host, poolNames]) => [host, [...poolNames].sort()]),
  );
}

function computeDigest({hosts, tables}: State): string {
  const text = JSON.stringify([hosts, tables]);
  return createHash('sha256').update(text).digest('hex');
}
