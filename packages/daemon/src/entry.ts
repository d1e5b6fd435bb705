/** Starts the entry role of a process. */
import {startEntry, type Entry} from '@lentildrift/entry';
import {
  createServiceClient,
  ServiceError,
  type ControlService,
  type ServiceClient,
} from '@lentildrift/protocol';
import type {Settings} from '@lentildrift/settings';
import {setTimeout as sleep} from 'node:timers/promises';
import type {RoleContext} from './control.js';

export type EntrySettings = Pick<
  Settings,
  'hostName' | 'entryAddress' | 'entryPort' | 'controlMembers' | 'clusterSecret'
>;

export interface EntryContext extends RoleContext {
  /** The control role of the same process; else the members are asked. */
  readonly control?: ControlService;
  /** Ends the wait for control. */
  readonly signal?: AbortSignal;
}

/** An entry that hears nothing for so long cannot renew its lease anyway. */
const CONTROL_TIMEOUT_MS = 2000;
const RETRY_PAUSE_MS = 1000;

/**
 * Starts the entry role. Without a control process that answers it waits for
 * one, and does not listen until then.
 */
export async function startEntryRole(
  settings: EntrySettings,
  context: EntryContext,
): Promise<Entry> {
  const {log, control} = context;
  const entry = control
    ? await start(settings, context, control)
    : await startRemote(settings, context);
  log.info('entry-listening', {
    address: settings.entryAddress,
    port: entry.port,
  });
  return entry;
}

function start(
  settings: EntrySettings,
  {tasks, log}: EntryContext,
  control: ControlService,
): Promise<Entry> {
  return startEntry({
    control,
    tasks,
    log,
    entryHost: settings.hostName,
    host: settings.entryAddress,
    port: settings.entryPort,
  });
}

/** Tries the members in turn and stays with the first that answers. */
async function startRemote(
  settings: EntrySettings,
  context: EntryContext,
): Promise<Entry> {
  const client = await findControl(settings, context);
  try {
    return withClient(await start(settings, context, client.control), client);
  } catch (error) {
    await client.close();
    throw error;
  }
}

async function findControl(
  settings: EntrySettings,
  {log, signal}: EntryContext,
): Promise<ServiceClient> {
  const addresses = (settings.controlMembers ?? []).map(m => m.address);
  for (;;) {
    for (const address of addresses) {
      signal?.throwIfAborted();
      const client = clientOf(settings, address);
      try {
        // A question that changes nothing; it also checks the cluster secret.
        await client.control.jobs({team: ''});
        return client;
      } catch (error) {
        await client.close();
        if (!isWorthRetrying(error)) throw error;
        log.warn('control-unreachable', {address, error: String(error)});
      }
    }
    await sleep(RETRY_PAUSE_MS, undefined, {signal});
  }
}

function clientOf(settings: EntrySettings, address: string): ServiceClient {
  const {clusterSecret} = settings;
  const timeoutMs = CONTROL_TIMEOUT_MS;
  return createServiceClient({address, clusterSecret, timeoutMs});
}

function isWorthRetrying(error: unknown): boolean {
  return error instanceof ServiceError && error.code !== 'unauthorised';
}

function withClient(entry: Entry, client: ServiceClient): Entry {
  async function stop(): Promise<void> {
    await entry.stop();
    await client.close();
  }
  return {...entry, stop};
}
