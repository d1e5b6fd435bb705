/** Process lifecycle: signals, uncaught errors and exit codes. */
import type {Log} from '@lentildrift/observe';
import {EXIT_USAGE_ERROR, SettingsError} from '@lentildrift/settings';
import type {StoppableRole} from './roles.js';

const EXIT_FAILURE = 1;

/**
 * Calls `start`, and stops its result on SIGINT or SIGTERM, which also aborts
 * the signal that `start` gets. A second SIGINT or SIGTERM ends the process
 * immediately.
 */
export function runUntilSignal(
  log: Log,
  start: (signal: AbortSignal) => Promise<StoppableRole>,
): void {
  const abort = new AbortController();
  const starting = start(abort.signal);
  starting.catch(error => {
    if (abort.signal.aborted) return;
    exitWithError(log, 'start-failed', error);
  });

  let stopping = false;
  function onSignal(signal: NodeJS.Signals): void {
    if (stopping) {
      log.warn('stopped-at-once', {signal});
      process.exit(EXIT_FAILURE);
    }
    stopping = true;
    log.info('stopping', {signal});
    abort.abort();
    void stop().catch(error => exitWithError(log, 'stop-failed', error));
  }

  async function stop(): Promise<void> {
    const running = await starting.catch(() => undefined);
    await running?.stop();
    log.info('stopped');
    process.exit(0);
  }

  process.on('SIGINT', onSignal);
  process.on('SIGTERM', onSignal);
}

/** Logs an uncaught error or rejection in one line, and exits the process. */
export function exitOnUncaughtError(log: Log): void {
  process.on('uncaughtException', error =>
    exitWithError(log, 'uncaught', error),
  );
  process.on('unhandledRejection', error =>
    exitWithError(log, 'uncaught', error),
  );
}

/**
 * Exits the process after its replica failed, because it can no longer keep
 * the changes that it accepted.
 */
export function exitAfterFatalError(log: Log, error: Error): never {
  return exitWithError(log, 'replica-failed', error);
}

/** Logs `error` as `event` and exits; `SettingsError` has its own exit code. */
function exitWithError(log: Log, event: string, error: unknown): never {
  const {message, stack} = error as Error;
  if (error instanceof SettingsError) {
    log.error(event, {error: message});
    process.exit(EXIT_USAGE_ERROR);
  }
  log.error(event, {error: message ?? String(error), stack});
  process.exit(EXIT_FAILURE);
}
