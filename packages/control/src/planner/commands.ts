/** Commands that bring the platform into line with the committed state. */
import {
  findJob,
  listOccupyingJobs,
  TASK_LEASE_MS,
  type Host,
  type Job,
  type State,
} from '@lentildrift/model';
import type {PlatformCommand} from '@lentildrift/platform';
import {
  indexTasksByJob,
  type PlatformObservation,
  type TaskCommand,
} from '@lentildrift/policy';

/** How long tasks of a draining host may take for their checkpoints. */
const DRAIN_CHECKPOINT_MS = 30_000;

/** A start that has had no effect for this long is given up. */
const START_TIMEOUT_MS = 30_000;

/** Every command that is due; each may be sent again without harm. */
export function platformCommandsFor(
  state: State,
  sight: PlatformObservation,
  orders: readonly TaskCommand[],
  leader: number,
): PlatformCommand[] {
  const seen = indexTasksByJob(sight);
  const commands: PlatformCommand[] = [];
  const ordered = new Set<string>();
  for (const job of listOccupyingJobs(state.jobs)) {
    const started = seen.get(job.id)?.token === job.token;
    const command = commandOnJob(state, job, started, leader);
    if (!command) continue;
    ordered.add(job.id);
    commands.push(command);
  }
  for (const order of orders) {
    if (ordered.has(order.job)) continue;
    if (findJob(state.jobs, order.job)?.token !== order.token) continue;
    commands.push(orderCommand(order, leader));
  }
  return [...commands, ...hostCommands(state, sight, leader)];
}

function orderCommand(order: TaskCommand, leader: number): PlatformCommand {
  const {type, job, host, token} = order;
  const about = {leader, job, host, token};
  return type === 'throttle'
    ? {type, ...about, on: order.on ?? true}
    : {type, ...about};
}

function commandOnJob(
  state: State,
  job: Job,
  started: boolean,
  leader: number,
): PlatformCommand | undefined {
  const host = state.hosts[job.host!];
  // The tasks of a lost worker end with their leases.
  if (!host || host.phase === 'failed') return undefined;
  const about = {leader, job: job.id, host: host.id, token: job.token!};
  const waitedMs = state.nowMs - (job.placedAtMs ?? 0);
  const givenUp = !started && waitedMs > START_TIMEOUT_MS;
  if (job.cancelRequested || givenUp) return {type: 'stop', ...about};
  if (host.phase === 'draining') return leave(state, host, started, about);
  if (started) return undefined;
  const {command, declared: size} = job;
  return {type: 'start', ...about, command, size, leaseMs: TASK_LEASE_MS};
}

function leave(
  state: State,
  host: Host,
  started: boolean,
  about: {leader: number; job: string; host: string; token: number},
): PlatformCommand {
  const drainedForMs = state.nowMs - (host.permit?.grantedAtMs ?? 0);
  const save = started && drainedForMs <= DRAIN_CHECKPOINT_MS;
  return {type: save ? 'checkpoint' : 'stop', ...about};
}

function hostCommands(
  state: State,
  sight: PlatformObservation,
  leader: number,
): PlatformCommand[] {
  const drained = new Set(sight.drained);
  const commands: PlatformCommand[] = [];
  for (const id in state.hosts) {
    const {phase, permit} = state.hosts[id]!;
    if (!permit) {
      if (!drained.has(id)) continue;
      // No permit is newer than the fence, so it orders this after them all.
      commands.push({type: 'undrain', host: id, token: state.fence, leader});
      continue;
    }
    const type = HOST_COMMANDS[phase];
    if (type) commands.push({type, host: id, token: permit.token, leader});
  }
  return commands;
}

const HOST_COMMANDS: Partial<
  Record<Host['phase'], 'drain' | 'reboot' | 'undrain'>
> = {
  draining: 'drain',
  rebooting: 'reboot',
  joining: 'undrain',
};
