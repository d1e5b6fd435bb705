/** Child processes of the measurements. */
import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {readySchema, type MemoryUsage, type ReadyMessage} from './message.js';

const START_TIMEOUT_MS = 10_000;

export interface Child extends ReadyMessage {
  /** Sends a message and resolves with the next one that comes back. */
  request(message: unknown, timeoutMs: number): Promise<unknown>;
  stop(): Promise<void>;
}

/** Starts a module of this folder as a process of its own. */
export async function startChild(
  module: string,
  args: readonly string[] = [],
): Promise<Child> {
  const path = fileURLToPath(new URL(`./${module}.js`, import.meta.url));
  const child = fork(path, args, {execArgv: ['--expose-gc']});
  const ready = readySchema.parse(await nextMessage(child, START_TIMEOUT_MS));
  return {
    ...ready,
    request(message, timeoutMs) {
      const answer = nextMessage(child, timeoutMs);
      child.send(message as object);
      return answer;
    },
    async stop() {
      if (child.exitCode !== null) return;
      const ended = new Promise(resolve => child.once('exit', resolve));
      child.kill();
      await ended;
    },
  };
}

function nextMessage(child: ChildProcess, timeoutMs: number) {
  return new Promise<unknown>((resolve, reject) => {
    const settle = () => {
      clearTimeout(timer);
      child.off('message', onMessage).off('exit', onExit);
    };
    const onMessage = (message: unknown) => {
      settle();
      resolve(message);
    };
    const onExit = () => {
      settle();
      reject(new Error('a child process ended early'));
    };
    const timer = setTimeout(() => {
      settle();
      reject(new Error(`no message from a child within ${timeoutMs} ms`));
    }, timeoutMs);
    child.once('message', onMessage).once('exit', onExit);
  });
}

/** Used in a child: answers `memory` messages and tells that it is ready. */
export function serveParent(ready: ReadyMessage): void {
  process.on('message', () => {
    (globalThis as {gc?: () => void}).gc?.();
    const {heapUsed, rss} = process.memoryUsage();
    const memory: MemoryUsage = {heapBytes: heapUsed, rssBytes: rss};
    process.send!(memory);
  });
  process.on('disconnect', () => process.exit());
  process.send!(ready);
}
