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
import {CommandError, OutcomeUnknown} from './error.js';

export interface RemoteOptions {
  /** Addresses and ports of control processes, tried in turn. */
  readonly servers: readonly string[];
  readonly key: string;
  readonly timeoutMs: number;
}

export interface Remote {
  read(topic: ReadTopic): Promise<ReadResponse>;
  /** Sends until an answer arrives, always under the same request ID. */
  command(requestId: string, command: Command): Promise<Answer>;
}

/** How often the whole list of servers is tried: an election may last 6 s. */
const ROUNDS = 4;
const PAUSE_MS = 500;

export function createRemote(options: RemoteOptions): Remote {
  const {key} = options;
  return {
    read: topic =>
      attempt(options, control => control.read({key, topic}), false),
    command: (requestId, command) =>
      attempt(
        options,
        control => control.command({key, requestId, command}),
        true,
      ),
  };
}

async function attempt<T>(
  options: RemoteOptions,
  use: (control: ControlService) => Promise<T>,
  changes: boolean,
): Promise<T> {
  const {servers, timeoutMs} = options;
  let mayHaveRun = false;
  let last = new ServiceError('unavailable', 'no server');
  for (let round = 0; round < ROUNDS; round++) {
    if (round > 0) await sleep(PAUSE_MS);
    for (const address of servers) {
      const client = createServiceClient({address, timeoutMs});
      try {
        return await use(client.control);
      } catch (error) {
        last = asServiceError(error);
        mayHaveRun ||= changes && last.verdict !== 'not-run';
        if (last.code === 'unauthorised' || last.code === 'malformed') {
          throw failure(last, mayHaveRun, address);
        }
      } finally {
        await client.close();
      }
    }
  }
  throw failure(last, mayHaveRun, servers.join(', '));
}

function asServiceError(error: unknown): ServiceError {
  if (error instanceof ServiceError) return error;
  return new ServiceError('outcome-unknown', String(error), 'may-have-run');
}

function failure(
  error: ServiceError,
  mayHaveRun: boolean,
  address: string,
): CommandError {
  const text = `${address}: ${error.message.split('\n')[0]}`;
  return mayHaveRun ? new OutcomeUnknown(text) : new CommandError(text);
}
