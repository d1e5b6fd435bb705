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
  /** The control role of the same process, asked first. */
  readonly control?: ControlService;
}

/** An entry that hears nothing for so long cannot renew its lease anyway. */
const CONTROL_TIMEOUT_MS = 2000;

/** Starts the entry role; it refuses calls until a control process answers. */
export async function startEntryRole(
  settings: EntrySettings,
  context: EntryContext,
): Promise<Entry> {
  const {tasks, log, control} = context;
  const {entryAddress: host, entryPort: port, hostName} = settings;
  const clients = (settings.controlMembers ?? []).map(({address}) =>
    createServiceClient({
      address,
      clusterSecret: settings.clusterSecret,
      timeoutMs: CONTROL_TIMEOUT_MS,
    }),
  );
  const remote = clients.map(client => client.control);
  const recorder = new CallRecorder();
  const entry = await startEntry({
    control: control ? [control, ...remote] : remote,
    tasks,
    log,
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

/** Passes finished calls on to the recorder. */
class RecordingObserver extends CallObserver {
  constructor(private readonly recorder: CallRecorder) {
    super();
  }

  override onCallFinished(call: FinishedCall): void {
    this.recorder.record(call);
  }
}
