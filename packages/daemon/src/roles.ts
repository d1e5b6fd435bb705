/** Starts the roles that the settings select. */
import {createIntake, type Intake} from '@lentildrift/intake-limits';
import {createMetrics, type Log, type Metrics} from '@lentildrift/observe';
import type {Settings} from '@lentildrift/settings';
import {startTasks} from '@lentildrift/task';
import {startControl} from './control.js';
import {startEntryRole} from './entry.js';
import {exitAfterFatalError} from './lifecycle.js';

export interface StoppableRole {
  stop(): Promise<void>;
}

/** Starts the roles. If one cannot start, stops the others and rejects. */
export async function startRoles(
  settings: Settings,
  log: Log,
  signal?: AbortSignal,
): Promise<StoppableRole> {
  const tasks = startTasks((task, error) =>
    log.error('task-failed', {task, error: error.message}),
  );
  const started: StoppableRole[] = [];

  async function stop(): Promise<void> {
    // The entry role stops first, because it needs the control role to close
    // its session.
    for (const role of started.reverse()) await role.stop();
    tasks.stop();
  }

  try {
    const onFatal = (error: Error) => exitAfterFatalError(log, error);
    const metrics = createMetrics();
    const intake = createLimits(settings, log, metrics);
    const context = {tasks, log, onFatal, intake, metrics};
    const control = settings.roles?.includes('control')
      ? await startControl(settings, context)
      : undefined;
    if (control) started.push(control);
    if (settings.roles?.includes('entry')) {
      const entryContext = {...context, control: control?.service, signal};
      started.push(await startEntryRole(settings, entryContext));
    }
    logLimits(settings, log);
  } catch (error) {
    await stop();
    throw error;
  }
  return {stop};
}

type LimitSettings = Pick<Settings, 'bodyBudgetBytes' | 'maxConnections'>;

/** Creates the limits of clients that the roles of a process share. */
export function createLimits(
  settings: LimitSettings,
  log: Log,
  metrics: Metrics,
): Intake {
  const {bodyBudgetBytes: budgetBytes, maxConnections} = settings;
  const limits = {budgetBytes, maxConnections};
  return createIntake({listeners: 'http', limits, log, metrics});
}

/** Logs the limits once the process has started, so that a failure has one line. */
export function logLimits(
  {bodyBudgetBytes: budgetBytes, maxConnections}: LimitSettings,
  log: Log,
): void {
  log.info('intake-limits', {budgetBytes, maxConnections});
}
