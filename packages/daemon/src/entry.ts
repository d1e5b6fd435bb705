/** Starts the entry role of a process. */
import {
  CallObserver,
  startEntry,
  type Entry,
  type FinishedCall,
} from '@lentildrift/entry';
import {CallRecorder} from '@lentildrift/observe';
import {createServiceClient, type ControlService} from '@lentildrift/protocol';
import type {Settings} from '@lentildrift/settings';
import type {RoleContext} from './control.js';

export type EntrySettings = Pick<
  Settings,
  'hostName' | 'entryAddress' | 'entryPort' | 'controlMembers' | 'clusterSecret'
>;

export interface EntryContext extends RoleContext {
  /** Control role of the same process; requests go to it first. */
  readonly control?: ControlService;
}

/**
 * Timeout of a request to a control process. An entry host that gets no answer
 * for this long cannot renew its lease in time anyway.
 */
const CONTROL_TIMEOUT_MS = 2000;

/**
 * Starts the entry role. The entry host refuses calls until a control process
 * has answered.
 */
export async function startEntryRole(
  settings: EntrySettings,
  context: EntryContext,
): Promise<Entry> {
  const {tasks, log, intake, metrics, control} = context;
  const {entryAddress: host, entryPort: port, hostName} = settings;
  const clients = (settings.controlMembers ?? []).map(({address}) =>
    createServiceClient({
      address,
      clusterSecret: settings.clusterSecret,
      timeoutMs: CONTROL_TIMEOUT_MS,
    }),
  );
  const remote = clients.map(client => client.control);
  const recorder = new CallRecorder(metrics);
  const entry = await startEntry({
    control: control ? [control, ...remote] : remote,
    tasks,
    log,
    intake,
    entryHost: hostName,
    host,
    port,
    observer: new RecordingObserver(recorder),
    burn: sinceMs => recorder.getBurnSeries(sinceMs),
    metrics: () => recorder.metrics.text(),
  });
  log.info('entry-listening', {address: host, port: entry.port});

  async function stop(): Promise<void> {
    await entry.stop();
    await Promise.all(clients.map(client => client.close()));
  }

  return {...entry, stop};
}

/** Forwards finished calls to the recorder. */
class RecordingObserver extends CallObserver {
  constructor(private readonly recorder: CallRecorder) {
    super();
  }

  override onCallFinished(call: FinishedCall): void {
    this.recorder.record(call);
  }
}
