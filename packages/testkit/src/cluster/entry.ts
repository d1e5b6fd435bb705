/** Entry hosts of a cluster: the real entry role behind a front without sockets. */
import {startEntry, type Entry} from '@lentildrift/entry';
import {ServiceError, type ControlService} from '@lentildrift/protocol';
import {startTasks} from '@lentildrift/task';
import type {History} from '../history.js';
import {createSilentLog, type ControlHost} from './control.js';
import {FakeServer} from './http.js';
import {createControlClient} from './rpc.js';
import type {Network} from './network.js';
import {SimulatedProcess} from './process.js';
import {FakeConnector, type Upstream} from './upstream.js';
import type {Mechanisms} from './weakened.js';

export interface EntryHost {
  readonly name: string;
  readonly index: number;
  process?: SimulatedProcess;
  server?: FakeServer;
  entry?: Entry;
  stopping?: boolean;
}

export interface EntryContext {
  readonly network: Network;
  readonly history: History;
  readonly controls: readonly ControlHost[];
  readonly upstreams: readonly Upstream[];
  readonly mechanisms: Mechanisms;
  teamOf(call: string): string;
  reportFailure(text: string): void;
}

export function startEntryHost(context: EntryContext, host: EntryHost): void {
  if (host.process) return;
  const process = new SimulatedProcess();
  const server = new FakeServer();
  Object.assign(host, {process, server, stopping: false});
  process.onExit(() => server.breakConnections());
  process.run(() => {
    boot(context, host, process, server).catch(error =>
      context.reportFailure(`${host.name}: ${String(error)}`),
    );
  });
}

async function boot(
  context: EntryContext,
  host: EntryHost,
  process: SimulatedProcess,
  server: FakeServer,
): Promise<void> {
  const {network, history, upstreams, mechanisms} = context;
  const {name} = host;
  const connector = new FakeConnector({
    network,
    history,
    upstreams,
    entry: name,
    process,
    version: () => host.entry?.version() ?? 0,
    teamOf: call => context.teamOf(call),
  });
  host.entry = await startEntry({
    control: controlsOf(context, host, process),
    tasks: startTasks((task, error) => {
      // Lost messages are part of a run; other errors are faults.
      if (error instanceof ServiceError) return;
      context.reportFailure(`${name}: ${task}: ${error.message}`);
    }),
    log: createSilentLog(),
    entryHost: name,
    host: '',
    port: 0,
    connector,
    listener: server.createListener,
    rules: mechanisms.entryRules,
  });
}

/** The control processes, that of the own data centre first. */
function controlsOf(
  {network, controls}: EntryContext,
  {name, index}: EntryHost,
  process: SimulatedProcess,
): ControlService[] {
  const first = index % controls.length;
  const order = [...controls.slice(first), ...controls.slice(0, first)];
  return order.map(control =>
    createControlClient(network, {name, process}, () => ({
      ...control,
      service: control.role?.control,
    })),
  );
}

export function killEntry(host: EntryHost): void {
  host.process?.kill();
  delete host.process;
  delete host.server;
  delete host.entry;
}

/** Stops without interrupting calls; the host is down afterwards. */
export function stopEntry({history}: EntryContext, host: EntryHost): void {
  const {name, process, entry} = host;
  if (!process || !entry || host.stopping) return;
  host.stopping = true;
  history.record({type: 'stop-began', entry: name});
  process.run(() => {
    void entry.stop().then(() => {
      history.record({type: 'stop-ended', entry: name});
      if (host.process === process) killEntry(host);
    });
  });
}
