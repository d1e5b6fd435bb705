/** The life of the process: signals, uncaught errors, exit codes. */
import type {Log} from '@lentildrift/observe';
import {EXIT_USAGE_ERROR, SettingsError} from '@lentildrift/settings';
import type {StoppableRole} from './roles.js';

const EXIT_FAILURE = 1;

/**
 * Starts what `start` starts, and stops it on SIGINT or SIGTERM. A second
 * signal, or an error that nothing caught, ends the process at once.
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

/** Logs what nothing caught in one line, and ends the process. */
export function exitOnUncaughtError(log: Log): void {
  process.on('uncaughtException', error =>
    exitWithError(log, 'uncaught', error),
  );
  process.on('unhandledRejection', error =>
    exitWithError(log, 'uncaught', error),
  );
}

/** Ends the process, which can no longer keep what it accepted. */
export function exitAfterFatalError(log: Log, error: Error): never {
  return exitWithError(log, 'replica-failed', error);
}

function exitWithError(log: Log, event: string, error: unknown): never {
  const {message, stack} = error as Error;
  if (error instanceof SettingsError) {
    log.error(event, {error: message});
    process.exit(EXIT_USAGE_ERROR);
  }
  log.error(event, {error: message ?? String(error), stack});
  process.exit(EXIT_FAILURE);
}
