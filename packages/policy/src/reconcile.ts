/** First half of a round: facts of the observation that the state lacks. */
import {
  hasTaskLeaseExpired,
  listOccupyingJobs,
  type ChangeBody,
  type Host,
  type JobStep,
  type ObservedHost,
  type State,
} from '@lentildrift/model';
import {indexTasksByJob, type PlatformObservation} from './decision-input.js';

/** How long a host may reboot or join before it counts as failed. */
export const RETURN_TIMEOUT_MS = 15 * 60_000;

/** A failed host is repaired once it has stayed away this long. */
export const REPAIR_AFTER_MS = 60_000;

/** Changes that bring the state up to the observation. */
export function reconcileObservation(
  state: State,
  sight: PlatformObservation,
): ChangeBody[] {
  const drained = new Set(sight.drained);
  const hosts = sight.hosts.filter(seen => {
    const host = state.hosts[seen.id];
    return host !== undefined && isNews(host, seen, drained);
  });
  const changes: ChangeBody[] = [];
  if (hosts.length > 0) changes.push({type: 'observe-hosts', hosts});
  const steps = jobSteps(state, sight);
  if (steps.length > 0) changes.push({type: 'step-jobs', steps});
  return changes;
}

function isNews(
  host: Host,
  seen: ObservedHost,
  drained: ReadonlySet<string>,
): boolean {
  const changed =
    host.dataCentre !== seen.dataCentre ||
    host.rack !== seen.rack ||
    host.cores !== seen.cores ||
    host.memoryMiB !== seen.memoryMiB ||
    host.accelerators !== seen.accelerators;
  const away = host.phase === 'failed' || host.phase === 'joining';
  // A host that the platform still keeps drained would serve nothing.
  if (seen.healthy && away && !host.permit && drained.has(host.id)) {
    return false;
  }
  if (changed) return true;
  if (seen.healthy) return away && !host.permit;
  return !away && host.phase !== 'rebooting';
}

function jobSteps(state: State, sight: PlatformObservation): JobStep[] {
  const tasks = indexTasksByJob(sight);
  return listOccupyingJobs(state.jobs).flatMap((job): JobStep[] => {
    const token = job.token!;
    const task = tasks.get(job.id);
    if (task?.token !== token) {
      return hasTaskLeaseExpired(state, job)
        ? [{job: job.id, token, to: 'lost'}]
        : [];
    }
    const {phase: to, reason} = task;
    if (to === 'running' && job.phase === 'running') return [];
    return [{job: job.id, token, to, reason}];
  });
}

/** The next step of each host that holds a permit. */
export function nextHostSteps(
  state: State,
  sight: PlatformObservation,
  nowMs: number,
): ChangeBody[] {
  const away = Object.values(state.hosts).filter(host => host.permit);
  if (away.length === 0) return [];
  const healthy = new Set(sight.hosts.filter(h => h.healthy).map(h => h.id));
  const drained = new Set(sight.drained);
  const rebooted = new Map(sight.rebooted.map(r => [r.host, r.token]));
  const busy = busyHosts(state);
  return away.flatMap(host => {
    const to = nextPhase(host, {
      nowMs,
      healthy: healthy.has(host.id),
      drained: drained.has(host.id),
      busy: busy.has(host.id),
      rebooted: rebooted.get(host.id) === host.permit!.token,
    });
    if (!to) return [];
    const {token} = host.permit!;
    return [{type: 'step-host' as const, host: host.id, token, to}];
  });
}

function busyHosts(state: State): Set<string> {
  return new Set(listOccupyingJobs(state.jobs).map(job => job.host!));
}

interface HostFacts {
  readonly nowMs: number;
  readonly healthy: boolean;
  readonly drained: boolean;
  readonly busy: boolean;
  readonly rebooted: boolean;
}

function nextPhase(host: Host, facts: HostFacts): Host['phase'] | undefined {
  const permit = host.permit!;
  const late = facts.nowMs - permit.grantedAtMs > RETURN_TIMEOUT_MS;
  switch (host.phase) {
    case 'draining':
      return facts.drained && !facts.busy ? 'drained' : undefined;
    case 'drained':
      if (permit.kind === 'reboot') return 'rebooting';
      return permit.kind === 'move' ? 'joining' : undefined;
    case 'rebooting':
      if (facts.rebooted && facts.healthy) return 'joining';
      return late && !facts.healthy ? 'failed' : undefined;
    case 'joining':
      if (facts.healthy && !facts.drained) return 'serving';
      return late && !facts.healthy ? 'failed' : undefined;
    case 'failed':
      return facts.busy ? undefined : afterFailure(host, facts);
    case 'serving':
      return undefined;
  }
}

/**
 * A repair and a wave reboot the host, and so does a move once the host has
 * stayed away. A host that an operator drains is left to the operator.
 */
function afterFailure(
  {permit, lostAtMs}: Host,
  {healthy, nowMs}: HostFacts,
): Host['phase'] | undefined {
  const {kind, wave} = permit!;
  if (healthy && (kind !== 'reboot' || wave === undefined)) return 'joining';
  if (kind === 'reboot') return 'rebooting';
  const awayMs = nowMs - (lostAtMs ?? nowMs);
  return kind === 'move' && awayMs >= REPAIR_AFTER_MS ? 'rebooting' : undefined;
}
