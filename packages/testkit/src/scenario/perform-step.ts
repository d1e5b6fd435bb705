/** Performs one step of a scenario on a simulated cluster. */
import type {Announcement} from '@lentildrift/model';
import {teamSchema} from '@lentildrift/model';
import type {Cluster} from '../cluster/cluster.js';
import {runOutsideProcess} from '../cluster/process.js';
import type {Step, StepOf} from './schema.js';

const COMMAND_BATCH = 50;

/** Performs the step. Returns the expectations that were not met, if any. */
export function performStep(cluster: Cluster, step: Step): string | undefined {
  switch (step.do) {
    case 'edit':
      editLimit(cluster, step);
      return;
    case 'race':
      raceEdits(cluster, step);
      return;
    case 'cut':
      cutLinks(cluster, step);
      return;
    case 'heal':
      cluster.network.heal();
      return;
    case 'faults':
      cluster.network.faults = step.faults;
      return;
    case 'resend':
      cluster.operators.resend(step.request);
      return;
    case 'commands':
      void sendCommands(cluster, step.count);
      return;
    case 'give-key':
      void cluster.issueKey(step.team, {kind: 'team', team: step.team});
      return;
    case 'withdraw-key':
      cluster.withdrawKey(step.team);
      return;
    case 'announce':
      resendAnnouncement(cluster, step);
      return;
    case 'load':
      startLoad(cluster, step);
      return;
    case 'call':
      cluster.callers.send(step);
      return;
    case 'expect':
      return findUnmetExpectations(cluster, step);
    default:
      for (const name of resolveHosts(cluster, step.host))
        performHostStep(cluster, step, name);
  }
  return undefined;
}

type HostStep = StepOf<
  'start' | 'kill' | 'freeze' | 'thaw' | 'stop' | 'wipe' | 'leave'
>;

function performHostStep(cluster: Cluster, step: HostStep, name: string): void {
  const target = cluster.findControl(name) ?? cluster.findEntry(name);
  switch (step.do) {
    case 'start':
      return cluster.startHost(name);
    case 'kill':
      return cluster.kill(name);
    case 'freeze':
      return target?.process?.freeze();
    case 'thaw':
      return target?.process?.thaw();
    case 'stop':
      return cluster.stopHost(name);
    case 'leave':
      return cluster.leave(name);
    case 'wipe':
      cluster.wipe(name).catch(error => cluster.failures.push(String(error)));
  }
}

/** Names of the hosts that `host` refers to now: a role or a host name. */
export function resolveHosts(cluster: Cluster, host: string): string[] {
  const leader = cluster.leader()?.name;
  const processes = [...cluster.controls, ...cluster.entries];
  switch (host) {
    case 'leader':
      return leader === undefined ? [] : [leader];
    case 'follower':
      return cluster.controls
        .filter(({name, replica}) => replica && name !== leader)
        .map(({name}) => name)
        .slice(0, 1);
    case 'last-follower':
      return cluster.controls
        .filter(({name, replica}) => replica && name !== leader)
        .map(({name}) => name)
        .slice(-1);
    case 'down':
      return [
        ...processes.filter(({process}) => !process),
        ...cluster.upstreams.filter(({isUp}) => !isUp),
      ].map(({name}) => name);
    case 'frozen':
      return processes
        .filter(({process}) => process?.isFrozen())
        .map(({name}) => name);
    default:
      return [host];
  }
}

function editLimit(cluster: Cluster, step: StepOf<'edit'>): void {
  const tables = cluster.tables();
  if (!tables) return;
  const basedOn = tables.version - step.versionsBack;
  sendEdit(cluster, step.request, step.team, step.limit, basedOn, 0);
}

function sendEdit(
  cluster: Cluster,
  request: string,
  team: string,
  limit: number,
  basedOn: number,
  firstService: number,
): void {
  const rows = Object.values(cluster.tables()!.teams).filter(
    ({name}) => name !== team,
  );
  const teams = [...rows, teamSchema.parse({name: team, share: 1, limit})];
  void cluster.edit(request, {teams}, basedOn, firstService);
}

function raceEdits(cluster: Cluster, {at, team, limits}: StepOf<'race'>): void {
  const basedOn = cluster.tables()?.version;
  if (basedOn === undefined) return;
  limits.forEach((limit, index) =>
    sendEdit(cluster, `race-${at}-${index}`, team, limit, basedOn, index),
  );
}

function cutLinks(cluster: Cluster, step: StepOf<'cut'>): void {
  const groups = {
    controls: cluster.controls.map(({name}) => name),
    entries: cluster.entries.map(({name}) => name),
    upstreams: cluster.upstreams.map(({name}) => name),
    operators: ['operator'],
  };
  const others =
    step.from === 'all' ? Object.values(groups).flat() : groups[step.from];
  for (const name of resolveHosts(cluster, step.host)) {
    for (const other of others) {
      if (other === name) continue;
      if (step.direction !== 'in') cluster.network.cut(name, other);
      if (step.direction !== 'out') cluster.network.cut(other, name);
    }
  }
}

/**
 * Withdraws an unknown key `count` times. The state then changes only in its
 * record of answered requests.
 */
async function sendCommands(cluster: Cluster, count: number): Promise<void> {
  const command = {type: 'withdraw-key' as const, keyId: 'none'};
  for (let sent = 0; sent < count; sent += COMMAND_BATCH) {
    const batch = Array.from({length: COMMAND_BATCH}, (_, i) =>
      cluster.operators.send(`command-${sent + i}`, command),
    );
    await Promise.all(batch);
  }
}

function resendAnnouncement(cluster: Cluster, step: StepOf<'announce'>): void {
  for (const name of resolveHosts(cluster, step.host)) {
    const last: Announcement | undefined = cluster.sentAnnouncements
      .get(name)
      ?.at(-1);
    if (!last) continue;
    for (let n = 0; n < step.repeat; n++) {
      const send = () => cluster.announce(last, false, step.entry);
      runOutsideProcess(() => setTimeout(send, n * step.everyMs));
    }
  }
}

/** Sends calls at random times with the mean rate `perSecond`. */
function startLoad(cluster: Cluster, step: StepOf<'load'>): void {
  const {random, callers} = cluster;
  const {perSecond, forMs, runMs} = step;
  const startMs = performance.now();
  const times = Array.from(
    {length: Math.round((perSecond * forMs) / 1000)},
    () => random.int(0, forMs),
  ).sort((a, b) => b - a);
  // Only one timer at a time: fake timers search all timers at each step.
  const next = () => {
    const atMs = times.pop();
    if (atMs === undefined) return;
    const waitMs = startMs + atMs - performance.now();
    setTimeout(() => {
      callers.send({...step, runMs: random.int(...runMs)});
      next();
    }, waitMs);
  };
  runOutsideProcess(next);
}

function findUnmetExpectations(
  cluster: Cluster,
  step: StepOf<'expect'>,
): string | undefined {
  const {call, verdict, status, answered, request, ok, leader} = step;
  const problems: string[] = [];
  const compare = (what: string, wanted: unknown, found: unknown) => {
    if (wanted === undefined || wanted === found) return;
    problems.push(`${what} is ${String(found)}, not ${String(wanted)}`);
  };
  if (call !== undefined) {
    const result = cluster.callers.result(call);
    compare(`verdict of ${call}`, verdict, result?.verdict);
    compare(`status of ${call}`, status, result?.status);
  }
  if (request !== undefined) {
    compare(`answer to ${request}`, ok, cluster.operators.answer(request)?.ok);
  }
  compare('presence of a leader', leader, cluster.leader() !== undefined);
  const found = cluster.callers.answeredCount();
  if (answered !== undefined && found < answered) {
    problems.push(`${found} calls were answered, not ${answered}`);
  }
  return problems.length > 0
    ? `at ${step.at} ms: ${problems.join('; ')}`
    : undefined;
}
