/** A stand-in for the platform, in process; time comes from a given clock. */
import type {ObservedHost} from '@lentildrift/model';
import {
  Platform,
  type Observation,
  type PlatformAnswer,
  type PlatformCommand,
} from '@lentildrift/platform';
import {
  createWorker,
  endTask,
  endAllTasks,
  seededBehaviour,
  advanceWorker,
  usageOf,
  type SampleTask,
  type SampleWorker,
  type TaskBehaviour,
} from './worker.js';

/** Ended attempts that observations still list, unless set otherwise. */
const ENDED_KEPT = 20_000;

export interface FakePlatformOptions {
  readonly hosts: readonly Omit<ObservedHost, 'healthy'>[];
  /** Clock in ms. */
  readonly now: () => number;
  readonly seed?: number;
  readonly usageLagMs?: number;
  readonly checkpointMs?: number;
  readonly rebootMs?: number;
  readonly maxEndedTasks?: number;
  readonly behaviourOf?: (command: CommandOf<'start'>) => TaskBehaviour;
}

type CommandOf<T extends PlatformCommand['type']> = Extract<
  PlatformCommand,
  {type: T}
>;
type TaskCommand = CommandOf<'start' | 'stop' | 'checkpoint' | 'throttle'>;

export class FakePlatform extends Platform {
  /** Attempts that began while an earlier one of the same job still ran. */
  doubleRuns = 0;
  /** Starts that took effect, by worker. */
  readonly starts = new Map<string, number>();
  private readonly workers: ReadonlyMap<string, SampleWorker>;
  private readonly ended = new Map<string, SampleTask>();
  /** Highest attempt token seen of each job. */
  private readonly tokens = new Map<string, number>();
  private readonly saved = new Map<string, number>();
  private leader = 0;

  constructor(private readonly options: FakePlatformOptions) {
    super();
    const nowMs = options.now();
    this.workers = new Map(
      options.hosts.map(facts => [facts.id, createWorker(facts, nowMs)]),
    );
  }

  override async observe(leader: number): Promise<Observation> {
    return this.observeSync(leader);
  }

  override async command(
    commands: readonly PlatformCommand[],
  ): Promise<PlatformAnswer[]> {
    return this.commandSync(commands);
  }

  /** `observe` at once, for a virtual time loop. */
  observeSync(leader: number): Observation {
    this.leader = Math.max(this.leader, leader);
    this.settleAll();
    const reachable = [...this.workers.values()].filter(
      worker => worker.condition === 'up',
    );
    const running = reachable.flatMap(worker => [...worker.tasks.values()]);
    const ended = [...this.ended.values()].filter(
      task => this.workers.get(task.host)?.condition === 'up',
    );
    return {
      hosts: [...this.workers.values()].map(worker => ({
        ...worker.hostInfo,
        healthy: worker.condition === 'up',
      })),
      tasks: [...running, ...ended].map(task => this.sightOf(task)),
      drained: reachable
        .filter(worker => worker.draining && worker.tasks.size === 0)
        .map(worker => worker.hostInfo.id),
      rebooted: reachable.flatMap(({hostInfo: facts, rebootedToken: token}) =>
        token === undefined ? [] : [{host: facts.id, token}],
      ),
    };
  }

  /** `command` at once, for a virtual time loop. */
  commandSync(commands: readonly PlatformCommand[]): PlatformAnswer[] {
    this.settleAll();
    return commands.map(command => this.runOne(command));
  }

  /** Crashes a host; it returns after `forMs`, or by a reboot. */
  failHost(host: string, forMs?: number): void {
    const worker = this.workers.get(host)!;
    this.settleAll();
    this.keep(endAllTasks(worker, this.options.now()));
    worker.condition = 'down';
    delete worker.rebootToken;
    delete worker.recoversAtMs;
    if (forMs !== undefined) worker.recoversAtMs = this.options.now() + forMs;
  }

  /** Crashes every host of a rack, or of the data centre without `rack`. */
  failDomain(dataCentre: string, rack?: string, forMs?: number): void {
    for (const {hostInfo: facts} of this.workers.values()) {
      if (facts.dataCentre !== dataCentre) continue;
      if (rack === undefined || facts.rack === rack)
        this.failHost(facts.id, forMs);
    }
  }

  /** Cuts a host off: its tasks run until their leases lapse. */
  disconnect(host: string, forMs?: number): void {
    const worker = this.workers.get(host)!;
    const nowMs = this.options.now();
    worker.condition = 'cut';
    if (forMs !== undefined) worker.recoversAtMs = nowMs + forMs;
    for (const task of worker.tasks.values()) {
      task.leaseEndsAtMs = nowMs + task.leaseMs;
    }
  }

  /** Makes a host fail every task that it starts, or cures it. */
  setFaulty(host: string, faulty = true): void {
    this.workers.get(host)!.faulty = faulty;
  }

  /** Number of tasks that run, whether their host can be reached or not. */
  runningTasks(): number {
    let count = 0;
    for (const worker of this.workers.values()) count += worker.tasks.size;
    return count;
  }

  private sightOf(task: SampleTask): Observation['tasks'][number] {
    const {job, host, token, phase, reason, throttled} = task;
    const sight = {job, host, token, phase, reason, throttled};
    const lagMs = this.options.usageLagMs ?? 5000;
    const known = this.options.now() - task.startedAtMs >= lagMs;
    return phase === 'running' && known
      ? {...sight, usage: usageOf(task)}
      : sight;
  }

  private settleAll(): void {
    const nowMs = this.options.now();
    for (const worker of this.workers.values()) {
      this.keep(advanceWorker(worker, nowMs));
    }
  }

  private keep(tasks: readonly SampleTask[]): void {
    for (const task of tasks) {
      this.ended.delete(task.job);
      this.ended.set(task.job, task);
      if (task.phase === 'checkpointed') {
        this.saved.set(task.job, task.progressMs);
      }
    }
    const kept = this.options.maxEndedTasks ?? ENDED_KEPT;
    while (this.ended.size > kept) {
      const [oldest] = this.ended.keys();
      this.ended.delete(oldest!);
    }
  }

  private runOne(command: PlatformCommand): PlatformAnswer {
    if (command.leader < this.leader) return 'fenced';
    this.leader = command.leader;
    const worker = this.workers.get(command.host);
    if (!worker) return 'refused';
    switch (command.type) {
      case 'drain':
      case 'undrain':
      case 'reboot':
        return this.runOnHost(worker, command);
      default:
        return this.runOnTask(worker, command);
    }
  }

  private runOnHost(
    worker: SampleWorker,
    {type, token}: PlatformCommand,
  ): PlatformAnswer {
    if (token < worker.highestToken) return 'fenced';
    worker.highestToken = token;
    if (type !== 'reboot') {
      if (worker.condition !== 'up') return 'refused';
      worker.draining = type === 'drain';
      return 'done';
    }
    const repeated =
      worker.rebootToken === token || worker.rebootedToken === token;
    if (repeated) return 'done';
    const nowMs = this.options.now();
    this.keep(endAllTasks(worker, nowMs));
    worker.condition = 'down';
    worker.rebootToken = token;
    worker.recoversAtMs = nowMs + (this.options.rebootMs ?? 120_000);
    return 'done';
  }

  private runOnTask(
    worker: SampleWorker,
    command: TaskCommand,
  ): PlatformAnswer {
    const seen = this.tokens.get(command.job) ?? 0;
    if (command.token < seen) return 'fenced';
    if (worker.condition !== 'up') return 'refused';
    this.tokens.set(command.job, command.token);
    const task = worker.tasks.get(command.job);
    const current = task?.token === command.token ? task : undefined;
    const over = this.ended.get(command.job)?.token === command.token;
    if (command.type === 'start') {
      return current || over ? 'done' : this.start(worker, command);
    }
    if (!current) {
      if (command.type === 'stop' && !over) this.bury(command);
      return 'done';
    }
    this.steer(worker, current, command);
    return 'done';
  }

  private start(
    worker: SampleWorker,
    command: CommandOf<'start'>,
  ): PlatformAnswer {
    if (worker.draining) return 'refused';
    const {job, host, token, leaseMs} = command;
    for (const other of this.workers.values()) {
      if (other.tasks.has(job)) this.doubleRuns++;
    }
    this.starts.set(host, (this.starts.get(host) ?? 0) + 1);
    this.ended.delete(job);
    worker.tasks.set(job, {
      job,
      host,
      token,
      behaviour: this.truthOf(command),
      startedAtMs: this.options.now(),
      phase: 'running',
      progressMs: this.saved.get(job) ?? 0,
      throttled: false,
      leaseMs,
    });
    return 'done';
  }

  private truthOf(command: CommandOf<'start'>): TaskBehaviour {
    const {behaviourOf: truth, seed = 1} = this.options;
    if (truth) return truth(command);
    return seededBehaviour(seed, command.job, command.command, command.size);
  }

  /** Records a stop that came before the start, which is then without effect. */
  private bury({job, host, token}: TaskCommand): void {
    const nowMs = this.options.now();
    const truth = {
      size: {cores: 0, memoryMiB: 0, accelerators: 0},
      runTimeMs: 0,
      fails: false,
    };
    this.keep([
      {
        job,
        host,
        token,
        behaviour: truth,
        startedAtMs: nowMs,
        endedAtMs: nowMs,
        phase: 'stopped',
        progressMs: 0,
        throttled: false,
        leaseMs: 0,
      },
    ]);
  }

  private steer(
    worker: SampleWorker,
    task: SampleTask,
    command: Exclude<TaskCommand, CommandOf<'start'>>,
  ): void {
    const nowMs = this.options.now();
    if (command.type === 'stop') {
      this.keep([endTask(worker, task, 'stopped', nowMs)]);
    } else if (command.type === 'throttle') {
      task.throttled = command.on;
    } else {
      task.checkpointAtMs ??= nowMs + (this.options.checkpointMs ?? 2000);
    }
  }
}
