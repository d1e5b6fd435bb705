/** Entry hosts of a cluster: the real entry role behind a front without sockets. */
import {startEntry, type Entry} from '@lentildrift/entry';
import {ServiceError, type ControlService} from '@lentildrift/protocol';
import {startTasks} from '@lentildrift/task';
import type {History} from '../history.js';
import {quietLog, type ControlHost} from './control.js';
import {Front} from './http.js';
import {remoteControl} from './link.js';
import type {Network} from './network.js';
import {Owner} from './owner.js';
import {FakeConnector, type Upstream} from './upstream.js';
import type {Mechanisms} from './weak.js';

export interface EntryHost {
  readonly name: string;
  readonly index: number;
  owner?: Owner;
  front?: Front;
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
  fail(text: string): void;
}

export function startEntryHost(context: EntryContext, host: EntryHost): void {
  if (host.owner) return;
  const owner = new Owner();
  const front = new Front();
  Object.assign(host, {owner, front, stopping: false});
  owner.onEnd(() => front.break());
  owner.run(() => {
    boot(context, host, owner, front).catch(error =>
      context.fail(`${host.name}: ${String(error)}`),
    );
  });
}

async function boot(
  context: EntryContext,
  host: EntryHost,
  owner: Owner,
  front: Front,
): Promise<void> {
  const {network, history, upstreams, mechanisms} = context;
  const {name} = host;
  const connector = new FakeConnector({
    network,
    history,
    upstreams,
    entry: name,
    owner,
    version: () => host.entry?.version() ?? 0,
    teamOf: call => context.teamOf(call),
  });
  host.entry = await startEntry({
    control: controlsOf(context, host, owner),
    tasks: startTasks((task, error) => {
      // Lost messages are part of a run; other errors are faults.
      if (error instanceof ServiceError) return;
      context.fail(`${name}: ${task}: ${error.message}`);
    }),
    log: quietLog(),
    entryHost: name,
    host: '',
    port: 0,
    connector,
    listener: front.listener,
    rules: mechanisms.entryRules,
  });
}

/** The control processes, that of the own data centre first. */
function controlsOf(
  {network, controls}: EntryContext,
  {name, index}: EntryHost,
  owner: Owner,
): ControlService[] {
  const first = index % controls.length;
  const order = [...controls.slice(first), ...controls.slice(0, first)];
  return order.map(control =>
    remoteControl(network, {name, owner}, () => ({
      ...control,
      service: control.role?.control,
    })),
  );
}

export function killEntry(host: EntryHost): void {
  host.owner?.kill();
  delete host.owner;
  delete host.front;
  delete host.entry;
}

/** Stops without interrupting calls; the host is down afterwards. */
export function stopEntry({history}: EntryContext, host: EntryHost): void {
  const {name, owner, entry} = host;
  if (!owner || !entry || host.stopping) return;
  host.stopping = true;
  history.record({type: 'stop-began', entry: name});
  owner.run(() => {
    void entry.stop().then(() => {
      history.record({type: 'stop-ended', entry: name});
      if (host.owner === owner) killEntry(host);
    });
  });
}
