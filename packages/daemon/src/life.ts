/** The life of the process: signals, uncaught errors, exit codes. */
import type {Log} from '@lentildrift/observe';
import {EXIT_WRONG_USAGE, SettingsError} from '@lentildrift/settings';
import type {Running} from './roles.js';

const EXIT_FAILED = 1;

/**
 * Starts what `start` starts, and stops it on SIGINT or SIGTERM. A second
 * signal, or an error that nothing caught, ends the process at once.
 */
export function live(
  log: Log,
  start: (signal: AbortSignal) => Promise<Running>,
): void {
  const abort = new AbortController();
  const starting = start(abort.signal);
  starting.catch(error => {
    if (abort.signal.aborted) return;
    end(log, 'start-failed', error);
  });

  let stopping = false;
  function onSignal(signal: NodeJS.Signals): void {
    if (stopping) {
      log.warn('stopped-at-once', {signal});
      process.exit(EXIT_FAILED);
    }
    stopping = true;
    log.info('stopping', {signal});
    abort.abort();
    void stop().catch(error => end(log, 'stop-failed', error));
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
export function watchUncaught(log: Log): void {
  process.on('uncaughtException', error => end(log, 'uncaught', error));
  process.on('unhandledRejection', error => end(log, 'uncaught', error));
}

/** Ends the process, which can no longer keep what it accepted. */
export function endFatal(log: Log, error: Error): never {
  return end(log, 'replica-failed', error);
}

function end(log: Log, event: string, error: unknown): never {
  const {message, stack} = error as Error;
  if (error instanceof SettingsError) {
    log.error(event, {error: message});
    process.exit(EXIT_WRONG_USAGE);
  }
  log.error(event, {error: message ?? String(error), stack});
  process.exit(EXIT_FAILED);
}
