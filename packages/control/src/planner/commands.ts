/** Platform commands that make hosts and tasks match the committed state. */
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

/** How long the tasks of a draining host may take to write their checkpoints. */
const DRAIN_CHECKPOINT_MS = 30_000;

/** A job whose task has not been seen for this long after its start is stopped. */
const START_TIMEOUT_MS = 30_000;

/**
 * Returns every command that is due. All commands are idempotent. `leader` is the
 * token of this planner, by which the platform fences off older planners.
 */
export function platformCommandsFor(
  state: State,
  observation: PlatformObservation,
  taskCommands: readonly TaskCommand[],
  leader: number,
): PlatformCommand[] {
  const runningTasks = indexTasksByJob(observation);
  const commands: PlatformCommand[] = [];
  const commandedJobs = new Set<string>();
  for (const job of listOccupyingJobs(state.jobs)) {
    const isRunning = runningTasks.get(job.id)?.token === job.token;
    const command = commandForJob(state, job, isRunning, leader);
    if (!command) continue;
    commandedJobs.add(job.id);
    commands.push(command);
  }
  for (const taskCommand of taskCommands) {
    if (commandedJobs.has(taskCommand.job)) continue;
    if (findJob(state.jobs, taskCommand.job)?.token !== taskCommand.token)
      continue;
    commands.push(toPlatformCommand(taskCommand, leader));
  }
  return [...commands, ...hostCommands(state, observation, leader)];
}

function toPlatformCommand(
  taskCommand: TaskCommand,
  leader: number,
): PlatformCommand {
  const {type, job, host, token} = taskCommand;
  const fields = {leader, job, host, token};
  return type === 'throttle'
    ? {type, ...fields, on: taskCommand.on ?? true}
    : {type, ...fields};
}

/** Returns the command that a placed job needs, or undefined if it needs none. */
function commandForJob(
  state: State,
  job: Job,
  isRunning: boolean,
  leader: number,
): PlatformCommand | undefined {
  const host = state.hosts[job.host!];
  // A failed host gets no commands: its tasks end when their leases expire.
  if (!host || host.phase === 'failed') return undefined;
  const fields = {leader, job: job.id, host: host.id, token: job.token!};
  const waitedMs = state.nowMs - (job.placedAtMs ?? 0);
  const hasStartTimedOut = !isRunning && waitedMs > START_TIMEOUT_MS;
  if (job.cancelRequested || hasStartTimedOut) return {type: 'stop', ...fields};
  if (host.phase === 'draining')
    return commandForDrainingJob(state, host, isRunning, fields);
  if (isRunning) return undefined;
  const {command, declared: size} = job;
  return {type: 'start', ...fields, command, size, leaseMs: TASK_LEASE_MS};
}

/** Returns a checkpoint command, or a stop once the time for checkpoints is over. */
function commandForDrainingJob(
  state: State,
  host: Host,
  isRunning: boolean,
  fields: {leader: number; job: string; host: string; token: number},
): PlatformCommand {
  const drainedForMs = state.nowMs - (host.permit?.grantedAtMs ?? 0);
  const shouldCheckpoint = isRunning && drainedForMs <= DRAIN_CHECKPOINT_MS;
  return {type: shouldCheckpoint ? 'checkpoint' : 'stop', ...fields};
}

/** Returns the drain, reboot and undrain commands that are due. */
function hostCommands(
  state: State,
  observation: PlatformObservation,
  leader: number,
): PlatformCommand[] {
  const drained = new Set(observation.drained);
  const commands: PlatformCommand[] = [];
  for (const id in state.hosts) {
    const {phase, permit} = state.hosts[id]!;
    if (!permit) {
      if (!drained.has(id)) continue;
      // No permit's token is higher than the fence, so the command with the
      // fence as its token is ordered after all commands for permits.
      commands.push({type: 'undrain', host: id, token: state.fence, leader});
      continue;
    }
    const type = HOST_COMMANDS[phase];
    if (type) commands.push({type, host: id, token: permit.token, leader});
  }
  return commands;
}

/** Phase of a host with a permit to the command that the phase requires. */
const HOST_COMMANDS: Partial<
  Record<Host['phase'], 'drain' | 'reboot' | 'undrain'>
> = {
  draining: 'drain',
  rebooting: 'reboot',
  joining: 'undrain',
};
