/** A whole cluster in one Node process, on the paused clock. */
import {bootstrapOperator} from '@lentildrift/control';
import {
  hashSecret,
  poolSchema,
  routeSchema,
  teamSchema,
  type Announcement,
  type Command,
  type Subject,
  type Tables,
} from '@lentildrift/model';
import {createHistory, type History} from '../history.js';
import {createCallers, type Callers} from './caller.js';
import {
  createControlHost,
  killControl,
  findLeader,
  nextMembershipChange,
  startControl,
  wipeControl,
  type ControlContext,
  type ControlHost,
} from './control.js';
import {
  killEntry,
  startEntryHost,
  stopEntry,
  type EntryContext,
  type EntryHost,
} from './entry.js';
import {createControlClient} from './rpc.js';
import {Network} from './network.js';
import {createOperators, type Operators} from './operator.js';
import {runOutsideProcess} from './process.js';
import {Random, seedSystemRandom} from './random.js';
import {installProcessTimers} from './timer.js';
import {nextAnnouncement, createUpstream, type Upstream} from './upstream.js';
import type {Mechanisms} from './weakened.js';

const POOL = 'range';
const SERVICE = 'lanes';
const ANNOUNCE_INTERVAL_MS = 3000;
const STEP_MS = 100;
const LIMIT_MS = 30_000;
const SECRET_HEX_DIGITS = 48;
const SECRET = 'a'.repeat(SECRET_HEX_DIGITS);
const OPERATOR_KEY = `ld_${keyId(0)}_${SECRET}`;

export interface ClusterSize {
  readonly controls: number;
  readonly entries: number;
  readonly upstreams: number;
  /** Slots of each upstream host. */
  readonly slots: number;
}

export interface ClusterOptions {
  readonly seed: number;
  readonly size: ClusterSize;
  /** Team to its limit. */
  readonly teams: Readonly<Record<string, number>>;
  readonly mechanisms?: Mechanisms;
  /** Lets time pass on the paused clock. */
  advance(ms: number): Promise<unknown>;
}

function keyId(index: number): string {
  return index.toString(16).padStart(12, '0');
}

function names(prefix: string, count: number): string[] {
  return Array.from({length: count}, (_, i) => `${prefix}${i + 1}`);
}

export class Cluster {
  readonly random: Random;
  readonly network: Network;
  readonly history: History = createHistory();
  readonly controls: ControlHost[];
  readonly entries: EntryHost[];
  readonly upstreams: Upstream[];
  readonly callers: Callers;
  readonly operators: Operators;
  /** Failures of the processes themselves, which a run must not have. */
  readonly failures: string[] = [];
  /** Every announcement sent, by upstream. */
  readonly sentAnnouncements = new Map<string, Announcement[]>();
  private readonly controlContext: ControlContext;
  private readonly entryContext: EntryContext;
  private readonly restore: (() => void)[];
  private readonly keys = new Map<string, string>();
  private readonly timers: NodeJS.Timeout[] = [];
  private keyCount = 0;
  private starts = 0;

  constructor(private readonly options: ClusterOptions) {
    const {seed, size, mechanisms = {}} = options;
    this.restore = [installProcessTimers(), seedSystemRandom(seed)];
    this.random = new Random(seed);
    this.network = new Network(this.random);
    const {network, history} = this;
    this.controls = names('c', size.controls).map(createControlHost);
    this.entries = names('e', size.entries).map((name, index) => ({
      name,
      index,
    }));
    this.upstreams = names('u', size.upstreams).map((_, index) =>
      createUpstream(index, POOL, SERVICE),
    );
    const fail = (text: string) => void this.failures.push(text);
    this.callers = createCallers({
      history,
      random: this.random,
      entries: this.entries,
      keyOf: team => {
        const id = this.keys.get(team) ?? keyId(0xffff);
        return {id, text: `ld_${id}_${SECRET}`};
      },
    });
    this.controlContext = {
      network,
      history,
      hosts: this.controls,
      initialVoters: this.controls.map(({member}) => member),
      mechanisms,
      nextSeed: () => seed * 1009 + ++this.starts,
      reportFailure: fail,
    };
    this.entryContext = {
      network,
      history,
      controls: this.controls,
      upstreams: this.upstreams,
      mechanisms,
      teamOf: call => this.callers.teamOf(call),
      reportFailure: fail,
    };
    this.operators = createOperators(
      history,
      OPERATOR_KEY,
      this.controls.map(host =>
        createControlClient(network, {name: 'operator'}, () => ({
          ...host,
          service: host.role?.control,
        })),
      ),
    );
  }

  advance(ms: number): Promise<unknown> {
    return this.options.advance(ms);
  }

  /** Advances until `work` is done; rejects with its error, or when late. */
  async runToCompletion<T>(work: Promise<T>): Promise<T> {
    let done = false;
    const finish = () => void (done = true);
    work.then(finish, finish);
    for (let waited = 0; waited < LIMIT_MS && !done; waited += STEP_MS) {
      await this.advance(STEP_MS);
    }
    if (!done) throw new Error(`not done within ${LIMIT_MS} ms`);
    return work;
  }

  /** Starts every process, and sets tables, keys and upstreams up. */
  async start(): Promise<void> {
    for (const host of this.controls) this.startHost(host.name);
    await this.waitForLeader();
    const leader = this.leader()!;
    const {proposer} = leader.role!;
    const run = <T>(work: () => Promise<T>) =>
      this.runToCompletion(leader.process!.run(work));
    await run(() => bootstrapOperator(proposer, OPERATOR_KEY));
    await this.runToCompletion(this.edit('tables', this.firstTables(), 0));
    await run(() =>
      proposer.propose({type: 'observe-hosts', hosts: this.observed()}),
    );
    await this.runToCompletion(
      this.issueKey('pool', {kind: 'pool', pool: POOL}),
    );
    for (const team of Object.keys(this.options.teams)) {
      await this.runToCompletion(this.issueKey(team, {kind: 'team', team}));
    }
    for (const host of this.entries) this.startHost(host.name);
    await this.advance(2000);
    for (const findUpstream of this.upstreams)
      this.announceRegularly(findUpstream);
    await this.advance(2000);
  }

  async stop(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    for (const host of this.controls) killControl(host);
    for (const host of this.entries) killEntry(host);
    await this.advance(10);
    for (const undo of this.restore.reverse()) undo();
  }

  leader(): ControlHost | undefined {
    return findLeader(this.controls);
  }

  async waitForLeader(): Promise<void> {
    for (let waited = 0; waited < LIMIT_MS; waited += STEP_MS) {
      await this.advance(STEP_MS);
      if (this.leader()) return;
    }
    throw new Error(`no leader within ${LIMIT_MS} ms`);
  }

  findControl(name: string): ControlHost | undefined {
    return this.controls.find(host => host.name === name);
  }

  findEntry(name: string): EntryHost | undefined {
    return this.entries.find(host => host.name === name);
  }

  upstream(name: string): Upstream | undefined {
    return this.upstreams.find(host => host.name === name);
  }

  startHost(name: string): void {
    const control = this.findControl(name);
    if (control) startControl(this.controlContext, control);
    const entry = this.findEntry(name);
    if (entry) startEntryHost(this.entryContext, entry);
    const upstream = this.upstream(name);
    if (upstream && !upstream.isUp) {
      upstream.isUp = true;
      upstream.incarnation += 1;
    }
  }

  kill(name: string): void {
    const control = this.findControl(name);
    if (control) killControl(control);
    const entry = this.findEntry(name);
    if (entry) killEntry(entry);
    const upstream = this.upstream(name);
    if (upstream) upstream.isUp = false;
  }

  /** Stops a process gracefully. */
  stopHost(name: string): void {
    const entry = this.findEntry(name);
    if (entry) return stopEntry(this.entryContext, entry);
    const control = this.findControl(name);
    const {process, replica} = control ?? {};
    if (!control || !process || !replica) return;
    process.run(() => {
      void replica.stop().then(() => {
        if (control.process === process) killControl(control);
      });
    });
  }

  /** Loses a control host's disk, starts it anew and repairs the group. */
  async wipe(name: string): Promise<void> {
    const host = this.findControl(name)!;
    const old = host.member;
    wipeControl(host, this.options.mechanisms ?? {});
    await this.advance(STEP_MS);
    this.startHost(name);
    for (let waited = 0; waited < LIMIT_MS; waited += STEP_MS) {
      const leader = this.leader();
      const change =
        leader?.replica &&
        nextMembershipChange(leader.replica, host.member, old);
      if (leader && leader !== host && !change) return;
      if (change) {
        void leader!.process!.run(() =>
          leader!.replica!.changeMembers(change).catch(() => undefined),
        );
      }
      await this.advance(STEP_MS);
    }
    throw new Error(`${host.member} did not replace ${old}`);
  }

  /** The tables as the newest leader has them. */
  tables(): Tables | undefined {
    return this.leader()?.replica!.state().tables;
  }

  edit(
    requestId: string,
    edit: Omit<Extract<Command, {type: 'edit'}>['edit'], 'basedOn'>,
    basedOn: number,
    first?: number,
  ) {
    const command = {type: 'edit' as const, edit: {basedOn, ...edit}};
    return this.operators.send(requestId, command, first);
  }

  /** Gives a new key, which the callers of the team show from then on. */
  async issueKey(name: string, subject: Subject): Promise<void> {
    const id = keyId(++this.keyCount);
    const secretHash = hashSecret(SECRET);
    const command = {type: 'give-key' as const, keyId: id, subject, secretHash};
    await this.operators.send(`give-${id}`, command);
    this.keys.set(name, id);
  }

  /** Withdraws the key that the team's callers go on to show. */
  withdrawKey(team: string): void {
    const id = this.keys.get(team)!;
    const command = {type: 'withdraw-key' as const, keyId: id};
    void this.operators.send(`withdraw-${id}`, command);
  }

  /** Sends an announcement, or a leave, through one entry host. */
  announce(
    announcement: Announcement,
    left = false,
    entry?: string,
    onEnd: (status: number) => void = () => undefined,
  ): void {
    const up = this.entries.filter(host => host.entry && !host.stopping);
    const host = entry ? this.findEntry(entry) : undefined;
    const target = host ?? (up.length > 0 ? this.random.pick(up) : undefined);
    const request = {
      method: 'POST',
      url: left ? '/leave' : '/announce',
      headers: {
        host: 'entry',
        authorization: `Bearer ld_${this.keys.get('pool')!}_${SECRET}`,
      },
      body: JSON.stringify(announcement),
    };
    target?.process?.dispatch(() => {
      target.server?.send(request, answer => onEnd(answer?.status ?? 0));
    });
  }

  /** The upstream leaves; it tries until an entry host has taken the leave. */
  leave(name: string): void {
    const upstream = this.upstream(name)!;
    upstream.hasLeft = true;
    const announcement = nextAnnouncement(upstream);
    const attempt = () => {
      this.announce(announcement, true, undefined, status => {
        if (status === 204) {
          this.history.record({type: 'upstream-left', upstream: name});
        } else
          runOutsideProcess(() => setTimeout(attempt, ANNOUNCE_INTERVAL_MS));
      });
    };
    runOutsideProcess(attempt);
  }

  private announceRegularly(upstream: Upstream): void {
    const send = () => {
      if (!upstream.isUp || upstream.hasLeft) return;
      const announcement = nextAnnouncement(upstream);
      const past = this.sentAnnouncements.get(upstream.name) ?? [];
      this.sentAnnouncements.set(upstream.name, [...past, announcement]);
      this.announce(announcement);
    };
    runOutsideProcess(() => {
      send();
      this.timers.push(setInterval(send, ANNOUNCE_INTERVAL_MS));
    });
  }

  private firstTables() {
    const {teams, size} = this.options;
    const hosts = this.upstreams.map(({name}) => name);
    const route = {pool: POOL, service: SERVICE};
    return {
      teams: Object.entries(teams).map(([name, limit]) =>
        teamSchema.parse({name, share: 1, limit}),
      ),
      pools: [
        poolSchema.parse({
          name: POOL,
          kind: 'calls',
          hosts,
          slotsPerHost: size.slots,
        }),
      ],
      routes: [
        routeSchema.parse({name: 'lanes', ...route}),
        routeSchema.parse({name: 'book', repeat: 'once', ...route}),
      ],
    };
  }

  private observed() {
    return this.upstreams.map(({name}) => ({
      id: name,
      dataCentre: 'dc1',
      rack: 'r1',
      cores: 1,
      memoryMiB: 1,
      accelerators: 0,
      healthy: true,
    }));
  }
}
