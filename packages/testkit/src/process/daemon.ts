/** Runs one `lentildriftd` process and reads its log and resource usage. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

/** Built entry point of the daemon, run as a process; never imported. */
const MAIN = fileURLToPath(
  new URL('../../../../daemon/dist/src/main.js', import.meta.url),
);
const POLL_INTERVAL_MS = 10;
/** USER_HZ of Linux: CPU times in /proc/<pid>/stat are in these ticks. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_KIB = 1024;

export interface Usage {
  /** User and system time since the process started. */
  readonly cpuSeconds: number;
  /** Resident set size. */
  readonly memoryBytes: number;
}

export interface LogLine {
  /** Time at which this process read the line, from `performance.now()`. */
  readonly atMs: number;
  readonly text: string;
}

export interface Daemon {
  readonly name: string;
  readonly pid: number;
  /** All lines logged so far. */
  readonly lines: readonly LogLine[];
  /** Resolves with exit code and signal when the process has exited. */
  readonly exit: Promise<readonly [number | null, NodeJS.Signals | null]>;
  /**
   * Resolves with the first line since `fromMs` that contains all `texts`.
   * Rejects after `timeoutMs`, or when the process exits without the line.
   */
  waitForLine(
    texts: readonly string[],
    timeoutMs: number,
    fromMs?: number,
  ): Promise<LogLine>;
  /** Sends SIGKILL; resolves when the process has exited. */
  kill(): Promise<void>;
  /** Pauses the process with SIGSTOP. */
  freeze(): void;
  /** Resumes the process with SIGCONT. */
  thaw(): void;
  /** Sends SIGTERM; resolves with the exit code. */
  stop(): Promise<number | null>;
  usage(): Usage;
}

/** Processes that have not exited; killed when the test process exits. */
const runningChildren = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL');
});

export function startDaemon(
  name: string,
  flags: Readonly<Record<string, string>>,
  onLine: (waitForLine: LogLine) => void = () => undefined,
): Daemon {
  const args = Object.entries(flags).map(([key, value]) => `--${key}=${value}`);
  const child = spawn(process.execPath, [MAIN, ...args], {
    env: {PATH: process.env['PATH']},
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  runningChildren.add(child);
  const lines: LogLine[] = [];
  splitLines(child, text => {
    const line = {atMs: performance.now(), text};
    lines.push(line);
    onLine(line);
  });
  let ended = false;
  const exit = once(child, 'close').then(([code, signal]) => {
    ended = true;
    runningChildren.delete(child);
    return [code, signal] as [number | null, NodeJS.Signals | null];
  });

  async function line(
    texts: readonly string[],
    timeoutMs: number,
    fromMs = 0,
  ): Promise<LogLine> {
    const deadline = performance.now() + timeoutMs;
    for (;;) {
      const found = lines.find(
        ({atMs, text}) =>
          atMs >= fromMs && texts.every(each => text.includes(each)),
      );
      if (found) return found;
      if (ended || performance.now() > deadline) {
        const last = lines.slice(-5).map(({text}) => text);
        throw new Error(
          `${name} logged no line with "${texts.join(' ')}"; last lines: ${last.join('\n')}`,
        );
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  async function endWithSignal(signal: NodeJS.Signals) {
    if (!ended) child.kill(signal);
    return exit;
  }

  return {
    name,
    pid: child.pid!,
    lines,
    exit,
    waitForLine: line,
    kill: async () => void (await endWithSignal('SIGKILL')),
    freeze: () => void child.kill('SIGSTOP'),
    thaw: () => void child.kill('SIGCONT'),
    stop: async () => (await endWithSignal('SIGTERM'))[0],
    usage: () => readUsage(child.pid!),
  };
}

function splitLines(child: ChildProcess, onLine: (text: string) => void) {
  let rest = '';
  child.stderr!.setEncoding('utf8').on('data', (chunk: string) => {
    const parts = (rest + chunk).split('\n');
    rest = parts.pop()!;
    parts.forEach(onLine);
  });
}

function readUsage(pid: number): Usage {
  // The command name is in parentheses and may contain spaces. Split after
  // it: field 0 is then the state, and 11 and 12 are user and system time.
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const residentKiB = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1]);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    memoryBytes: residentKiB * BYTES_PER_KIB,
  };
}
