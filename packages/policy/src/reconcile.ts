/**
 * First half of a decision round: changes that bring the state up to date with
 * the platform's observation.
 */
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

/** How long a host stays failed before it is repaired by a reboot. */
export const REPAIR_AFTER_MS = 60_000;

/** Returns the changes that bring the state up to date with the observation. */
export function reconcileObservation(
  state: State,
  observation: PlatformObservation,
): ChangeBody[] {
  const drained = new Set(observation.drained);
  const hosts = observation.hosts.filter(observed => {
    const host = state.hosts[observed.id];
    return host !== undefined && hasChanged(host, observed, drained);
  });
  const changes: ChangeBody[] = [];
  if (hosts.length > 0) changes.push({type: 'observe-hosts', hosts});
  const steps = createJobSteps(state, observation);
  if (steps.length > 0) changes.push({type: 'step-jobs', steps});
  return changes;
}

/** Whether the observation of a host differs from the state. */
function hasChanged(
  host: Host,
  observed: ObservedHost,
  drained: ReadonlySet<string>,
): boolean {
  const changed =
    host.dataCentre !== observed.dataCentre ||
    host.rack !== observed.rack ||
    host.cores !== observed.cores ||
    host.memoryMiB !== observed.memoryMiB ||
    host.accelerators !== observed.accelerators;
  const isDown = host.phase === 'failed' || host.phase === 'joining';
  // A host that the platform still keeps drained could not serve.
  if (observed.healthy && isDown && !host.permit && drained.has(host.id)) {
    return false;
  }
  if (changed) return true;
  if (observed.healthy) return isDown && !host.permit;
  return !isDown && host.phase !== 'rebooting';
}

/** Returns the steps of jobs whose task has changed phase or was lost. */
function createJobSteps(
  state: State,
  observation: PlatformObservation,
): JobStep[] {
  const tasks = indexTasksByJob(observation);
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

/** Returns the next phase transition of each host that holds a permit. */
export function nextHostSteps(
  state: State,
  observation: PlatformObservation,
  nowMs: number,
): ChangeBody[] {
  const permitted = Object.values(state.hosts).filter(host => host.permit);
  if (permitted.length === 0) return [];
  const healthy = new Set(
    observation.hosts.filter(h => h.healthy).map(h => h.id),
  );
  const drained = new Set(observation.drained);
  const rebooted = new Map(observation.rebooted.map(r => [r.host, r.token]));
  const busy = listBusyHosts(state);
  return permitted.flatMap(host => {
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

function listBusyHosts(state: State): Set<string> {
  return new Set(listOccupyingJobs(state.jobs).map(job => job.host!));
}

/** Facts about one host that decide its next phase. */
interface HostFacts {
  readonly nowMs: number;
  readonly healthy: boolean;
  /** Whether the platform keeps the host drained. */
  readonly drained: boolean;
  /** Whether a job attempt occupies the host. */
  readonly busy: boolean;
  /** Whether the reboot under the host's current permit has ended. */
  readonly rebooted: boolean;
}

function nextPhase(host: Host, facts: HostFacts): Host['phase'] | undefined {
  const permit = host.permit!;
  const isOverdue = facts.nowMs - permit.grantedAtMs > RETURN_TIMEOUT_MS;
  switch (host.phase) {
    case 'draining':
      return facts.drained && !facts.busy ? 'drained' : undefined;
    case 'drained':
      if (permit.kind === 'reboot') return 'rebooting';
      return permit.kind === 'move' ? 'joining' : undefined;
    case 'rebooting':
      if (facts.rebooted && facts.healthy) return 'joining';
      return isOverdue && !facts.healthy ? 'failed' : undefined;
    case 'joining':
      if (facts.healthy && !facts.drained) return 'serving';
      return isOverdue && !facts.healthy ? 'failed' : undefined;
    case 'failed':
      return facts.busy ? undefined : nextPhaseAfterFailure(host, facts);
    case 'serving':
      return undefined;
  }
}

/**
 * Returns the phase that follows a failure. A host under a reboot permit, of a
 * repair or a wave, is rebooted. A host under a move permit is rebooted once it
 * has stayed failed for `REPAIR_AFTER_MS`. A host that an operator drains is
 * left to the operator. A host that is healthy again joins, except in a wave,
 * whose reboot is still due.
 */
function nextPhaseAfterFailure(
  {permit, lostAtMs}: Host,
  {healthy, nowMs}: HostFacts,
): Host['phase'] | undefined {
  const {kind, wave} = permit!;
  if (healthy && (kind !== 'reboot' || wave === undefined)) return 'joining';
  if (kind === 'reboot') return 'rebooting';
  const downMs = nowMs - (lostAtMs ?? nowMs);
  return kind === 'move' && downMs >= REPAIR_AFTER_MS ? 'rebooting' : undefined;
}
