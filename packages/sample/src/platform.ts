/**
 * An in-process fake of the platform, which reads time from an injected clock.
 */
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

/** Default limit on the ended attempts that observations list. */
const DEFAULT_MAX_ENDED_TASKS = 20_000;

export interface FakePlatformOptions {
  readonly hosts: readonly Omit<ObservedHost, 'healthy'>[];
  /** Current time in milliseconds. */
  readonly now: () => number;
  /** Seed of the behaviour of tasks, unless `behaviourOf` is set. */
  readonly seed?: number;
  /** Time from a task's start until observations report its usage. */
  readonly usageLagMs?: number;
  /** Time that a checkpoint takes. */
  readonly checkpointMs?: number;
  /** Time that a reboot takes. */
  readonly rebootMs?: number;
  /** Ended attempts that observations list; the oldest are dropped first. */
  readonly maxEndedTasks?: number;
  /** Overrides the seeded behaviour of a started task. */
  readonly behaviourOf?: (command: CommandOf<'start'>) => TaskBehaviour;
}

type CommandOf<T extends PlatformCommand['type']> = Extract<
  PlatformCommand,
  {type: T}
>;
type TaskCommand = CommandOf<'start' | 'stop' | 'checkpoint' | 'throttle'>;

export class FakePlatform extends Platform {
  /** Attempts that started while an earlier one of the same job still ran. */
  doubleRuns = 0;
  /** Number of tasks started on each host, by host id. */
  readonly starts = new Map<string, number>();
  private readonly workers: ReadonlyMap<string, SampleWorker>;
  /** Last ended attempt of each job, oldest first. */
  private readonly endedTasks = new Map<string, SampleTask>();
  /** Highest attempt token received for each job. */
  private readonly highestTokens = new Map<string, number>();
  /** Progress of each job at its last checkpoint. */
  private readonly checkpointedProgressMs = new Map<string, number>();
  private highestLeaderToken = 0;

  constructor(private readonly options: FakePlatformOptions) {
    super();
    const nowMs = options.now();
    this.workers = new Map(
      options.hosts.map(host => [host.id, createWorker(host, nowMs)]),
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

  /** Synchronous `observe`, for loops that run on virtual time. */
  observeSync(leader: number): Observation {
    this.highestLeaderToken = Math.max(this.highestLeaderToken, leader);
    this.advanceWorkers();
    const reachable = [...this.workers.values()].filter(
      worker => worker.condition === 'up',
    );
    const running = reachable.flatMap(worker => [...worker.tasks.values()]);
    const ended = [...this.endedTasks.values()].filter(
      task => this.workers.get(task.host)?.condition === 'up',
    );
    return {
      hosts: [...this.workers.values()].map(worker => ({
        ...worker.hostInfo,
        healthy: worker.condition === 'up',
      })),
      tasks: [...running, ...ended].map(task => this.reportOf(task)),
      drained: reachable
        .filter(worker => worker.draining && worker.tasks.size === 0)
        .map(worker => worker.hostInfo.id),
      rebooted: reachable.flatMap(({hostInfo, rebootedToken: token}) =>
        token === undefined ? [] : [{host: hostInfo.id, token}],
      ),
    };
  }

  /** Synchronous `command`, for loops that run on virtual time. */
  commandSync(commands: readonly PlatformCommand[]): PlatformAnswer[] {
    this.advanceWorkers();
    return commands.map(command => this.runCommand(command));
  }

  /** Crashes a host, which recovers after `forMs` or by a reboot. */
  failHost(host: string, forMs?: number): void {
    const worker = this.workers.get(host)!;
    this.advanceWorkers();
    this.recordEnded(endAllTasks(worker, this.options.now()));
    worker.condition = 'down';
    delete worker.rebootToken;
    delete worker.recoversAtMs;
    if (forMs !== undefined) worker.recoversAtMs = this.options.now() + forMs;
  }

  /**
   * Crashes every host of a rack, or of the whole data centre if `rack` is
   * omitted.
   */
  failDomain(dataCentre: string, rack?: string, forMs?: number): void {
    for (const {hostInfo: h} of this.workers.values()) {
      if (h.dataCentre !== dataCentre) continue;
      if (rack === undefined || h.rack === rack) this.failHost(h.id, forMs);
    }
  }

  /**
   * Makes a host unreachable for `forMs`. Its tasks keep running until their
   * leases expire.
   */
  disconnect(host: string, forMs?: number): void {
    const worker = this.workers.get(host)!;
    const nowMs = this.options.now();
    worker.condition = 'cut';
    if (forMs !== undefined) worker.recoversAtMs = nowMs + forMs;
    for (const task of worker.tasks.values()) {
      task.leaseEndsAtMs = nowMs + task.leaseMs;
    }
  }

  /** Makes a host fail all of its tasks, or restores it to normal. */
  setFaulty(host: string, faulty = true): void {
    this.workers.get(host)!.faulty = faulty;
  }

  /** Number of running tasks, including those on unreachable hosts. */
  runningTasks(): number {
    let count = 0;
    for (const worker of this.workers.values()) count += worker.tasks.size;
    return count;
  }

  private reportOf(task: SampleTask): Observation['tasks'][number] {
    const {job, host, token, phase, reason, throttled} = task;
    const report = {job, host, token, phase, reason, throttled};
    const lagMs = this.options.usageLagMs ?? 5000;
    const isUsageKnown = this.options.now() - task.startedAtMs >= lagMs;
    return phase === 'running' && isUsageKnown
      ? {...report, usage: usageOf(task)}
      : report;
  }

  private advanceWorkers(): void {
    const nowMs = this.options.now();
    for (const worker of this.workers.values()) {
      this.recordEnded(advanceWorker(worker, nowMs));
    }
  }

  private recordEnded(tasks: readonly SampleTask[]): void {
    for (const task of tasks) {
      this.endedTasks.delete(task.job);
      this.endedTasks.set(task.job, task);
      if (task.phase === 'checkpointed') {
        this.checkpointedProgressMs.set(task.job, task.progressMs);
      }
    }
    const maxEndedTasks = this.options.maxEndedTasks ?? DEFAULT_MAX_ENDED_TASKS;
    while (this.endedTasks.size > maxEndedTasks) {
      const [oldest] = this.endedTasks.keys();
      this.endedTasks.delete(oldest!);
    }
  }

  private runCommand(command: PlatformCommand): PlatformAnswer {
    if (command.leader < this.highestLeaderToken) return 'fenced';
    this.highestLeaderToken = command.leader;
    const worker = this.workers.get(command.host);
    if (!worker) return 'refused';
    switch (command.type) {
      case 'drain':
      case 'undrain':
      case 'reboot':
        return this.runHostCommand(worker, command);
      default:
        return this.runTaskCommand(worker, command);
    }
  }

  private runHostCommand(
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
    this.recordEnded(endAllTasks(worker, nowMs));
    worker.condition = 'down';
    worker.rebootToken = token;
    worker.recoversAtMs = nowMs + (this.options.rebootMs ?? 120_000);
    return 'done';
  }

  private runTaskCommand(
    worker: SampleWorker,
    command: TaskCommand,
  ): PlatformAnswer {
    const highestToken = this.highestTokens.get(command.job) ?? 0;
    if (command.token < highestToken) return 'fenced';
    if (worker.condition !== 'up') return 'refused';
    this.highestTokens.set(command.job, command.token);
    const task = worker.tasks.get(command.job);
    const current = task?.token === command.token ? task : undefined;
    const hasEnded = this.endedTasks.get(command.job)?.token === command.token;
    if (command.type === 'start') {
      return current || hasEnded ? 'done' : this.start(worker, command);
    }
    if (!current) {
      if (command.type === 'stop' && !hasEnded) this.recordEarlyStop(command);
      return 'done';
    }
    this.updateTask(worker, current, command);
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
    this.endedTasks.delete(job);
    worker.tasks.set(job, {
      job,
      host,
      token,
      behaviour: this.getBehaviour(command),
      startedAtMs: this.options.now(),
      phase: 'running',
      progressMs: this.checkpointedProgressMs.get(job) ?? 0,
      throttled: false,
      leaseMs,
    });
    return 'done';
  }

  private getBehaviour(command: CommandOf<'start'>): TaskBehaviour {
    const {behaviourOf, seed = 1} = this.options;
    if (behaviourOf) return behaviourOf(command);
    return seededBehaviour(seed, command.job, command.command, command.size);
  }

  /**
   * Records a stop that arrived before the start, so that the start has no
   * effect.
   */
  private recordEarlyStop({job, host, token}: TaskCommand): void {
    const nowMs = this.options.now();
    const behaviour = {
      size: {cores: 0, memoryMiB: 0, accelerators: 0},
      runTimeMs: 0,
      fails: false,
    };
    this.recordEnded([
      {
        job,
        host,
        token,
        behaviour,
        startedAtMs: nowMs,
        endedAtMs: nowMs,
        phase: 'stopped',
        progressMs: 0,
        throttled: false,
        leaseMs: 0,
      },
    ]);
  }

  private updateTask(
    worker: SampleWorker,
    task: SampleTask,
    command: Exclude<TaskCommand, CommandOf<'start'>>,
  ): void {
    const nowMs = this.options.now();
    if (command.type === 'stop') {
      this.recordEnded([endTask(worker, task, 'stopped', nowMs)]);
    } else if (command.type === 'throttle') {
      task.throttled = command.on;
    } else {
      task.checkpointAtMs ??= nowMs + (this.options.checkpointMs ?? 2000);
    }
  }
}
