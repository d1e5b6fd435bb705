/** The one place that talks to control processes. */
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
  /** Addresses and ports of control processes, tried in turn. */
  readonly serverAddresses: readonly string[];
  readonly key: string;
  readonly timeoutMs: number;
}

export interface ControlClient {
  read(topic: ReadTopic): Promise<ReadResponse>;
  /** Sends until an answer arrives, always under the same request ID. */
  command(requestId: string, command: Command): Promise<Answer>;
}

/** How often the whole list of servers is tried: an election may last 6 s. */
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

async function sendWithRetries<T>(
  options: ControlClientOptions,
  send: (control: ControlService) => Promise<T>,
  changesState: boolean,
): Promise<T> {
  const {serverAddresses: servers, timeoutMs} = options;
  let mayHaveRun = false;
  let last = new ServiceError('unavailable', 'no server');
  for (let round = 0; round < MAX_ROUNDS; round++) {
    if (round > 0) await sleep(ROUND_PAUSE_MS);
    for (const address of servers) {
      const client = createServiceClient({address, timeoutMs});
      try {
        return await send(client.control);
      } catch (error) {
        last = asServiceError(error);
        mayHaveRun ||= changesState && last.verdict !== 'not-run';
        if (last.code === 'unauthorised' || last.code === 'malformed') {
          throw toCommandError(last, mayHaveRun, address);
        }
      } finally {
        await client.close();
      }
    }
  }
  throw toCommandError(last, mayHaveRun, servers.join(', '));
}

function asServiceError(error: unknown): ServiceError {
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
