/** Client for control processes, with retries. */
import type {Answer, Command} from '@lentildrift/model';
import {
  createServiceClient,
  ServiceError,
  type ControlService,
  type ReadResponse,
  type ReadTopic,
} from '@lentildrift/protocol';
import {setTimeout as sleep} from 'node:timers/promises';
import {CommandError, OutcomeUnknownError} from './error.js';

export interface ControlClientOptions {
  /** Addresses and ports of control processes, tried in this order. */
  readonly serverAddresses: readonly string[];
  readonly key: string;
  readonly timeoutMs: number;
}

export interface ControlClient {
  read(topic: ReadTopic): Promise<ReadResponse>;
  /**
   * Sends the command and retries with the same request ID, so that the
   * command takes effect at most once.
   */
  command(requestId: string, command: Command): Promise<Answer>;
}

/** How often all servers are tried, because an election may take 6 s. */
const MAX_ROUNDS = 4;
const ROUND_PAUSE_MS = 500;

export function createControlClient(
  options: ControlClientOptions,
): ControlClient {
  const {key} = options;
  return {
    read: topic =>
      sendWithRetries(options, control => control.read({key, topic}), false),
    command: (requestId, command) =>
      sendWithRetries(
        options,
        control => control.command({key, requestId, command}),
        true,
      ),
  };
}

/**
 * Tries all servers in rounds until one answers. Throws `OutcomeUnknownError`
 * if `changesState` and an attempt without an answer may have run.
 */
async function sendWithRetries<T>(
  options: ControlClientOptions,
  send: (control: ControlService) => Promise<T>,
  changesState: boolean,
): Promise<T> {
  const {serverAddresses, timeoutMs} = options;
  let mayHaveRun = false;
  let lastError = new ServiceError('unavailable', 'no server');
  for (let round = 0; round < MAX_ROUNDS; round++) {
    if (round > 0) await sleep(ROUND_PAUSE_MS);
    for (const address of serverAddresses) {
      const client = createServiceClient({address, timeoutMs});
      try {
        return await send(client.control);
      } catch (error) {
        lastError = toServiceError(error);
        mayHaveRun ||= changesState && lastError.verdict !== 'not-run';
        if (
          lastError.code === 'unauthorised' ||
          lastError.code === 'malformed'
        ) {
          throw toCommandError(lastError, mayHaveRun, address);
        }
      } finally {
        await client.close();
      }
    }
  }
  throw toCommandError(lastError, mayHaveRun, serverAddresses.join(', '));
}

function toServiceError(error: unknown): ServiceError {
  if (error instanceof ServiceError) return error;
  return new ServiceError('outcome-unknown', String(error), 'may-have-run');
}

function toCommandError(
  error: ServiceError,
  mayHaveRun: boolean,
  address: string,
): CommandError {
  const text = `${address}: ${error.message.split('\n')[0]}`;
  return mayHaveRun ? new OutcomeUnknownError(text) : new CommandError(text);
}
