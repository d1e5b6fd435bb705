/** One `lentildriftd` process, with its log and its cost. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

/** The binary as built; no module of it is imported. */
const MAIN = fileURLToPath(
  new URL('../../../../daemon/dist/src/main.js', import.meta.url),
);
const POLL_MS = 10;
/** USER_HZ of Linux, the unit of times in /proc/<pid>/stat. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_KIB = 1024;

export interface Usage {
  readonly cpuSeconds: number;
  readonly memoryBytes: number;
}

export interface LogLine {
  /** Time of arrival here, by `performance.now()`. */
  readonly atMs: number;
  readonly text: string;
}

export interface Daemon {
  readonly name: string;
  readonly pid: number;
  readonly lines: readonly LogLine[];
  /** Exit code and signal, once the process has ended. */
  readonly exit: Promise<readonly [number | null, NodeJS.Signals | null]>;
  /** Resolves with the first line since `fromMs` that holds every text. */
  waitForLine(
    texts: readonly string[],
    timeoutMs: number,
    fromMs?: number,
  ): Promise<LogLine>;
  /** SIGKILL; resolves when the process has ended. */
  kill(): Promise<void>;
  freeze(): void;
  thaw(): void;
  /** SIGTERM; resolves with the exit code. */
  stop(): Promise<number | null>;
  usage(): Usage;
}

/** Processes that have not ended; killed when this process exits. */
const living = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of living) child.kill('SIGKILL');
});

export function startDaemon(
  name: string,
  flags: Readonly<Record<string, string>>,
  onLine: (line: LogLine) => void = () => undefined,
): Daemon {
  const args = Object.entries(flags).map(([key, value]) => `--${key}=${value}`);
  const child = spawn(process.execPath, [MAIN, ...args], {
    env: {PATH: process.env['PATH']},
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  living.add(child);
  const lines: LogLine[] = [];
  splitLines(child, text => {
    const line = {atMs: performance.now(), text};
    lines.push(line);
    onLine(line);
  });
  let ended = false;
  const exit = once(child, 'close').then(([code, signal]) => {
    ended = true;
    living.delete(child);
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
          `${name} logged no "${texts.join(' ')}"; last: ${last.join('\n')}`,
        );
      }
      await sleep(POLL_MS);
    }
  }

  async function end(signal: NodeJS.Signals) {
    if (!ended) child.kill(signal);
    return exit;
  }

  return {
    name,
    pid: child.pid!,
    lines,
    exit,
    waitForLine: line,
    kill: async () => void (await end('SIGKILL')),
    freeze: () => void child.kill('SIGSTOP'),
    thaw: () => void child.kill('SIGCONT'),
    stop: async () => (await end('SIGTERM'))[0],
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
  // Fields after the command name, which may hold spaces: state is the first.
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
