/**
 * Starts the child processes of the measurements and exchanges messages with
 * them.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {readySchema, type MemoryUsage, type ReadyMessage} from './message.js';

const START_TIMEOUT_MS = 10_000;

export interface Child extends ReadyMessage {
  /**
   * Sends a message and resolves with the next message from the child. Rejects
   * after `timeoutMs`, or when the child exits.
   */
  request(message: unknown, timeoutMs: number): Promise<unknown>;
  stop(): Promise<void>;
}

/** Runs a module of this folder in a child process. */
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
    const removeListeners = () => {
      clearTimeout(timer);
      child.off('message', onMessage).off('exit', onExit);
    };
    const onMessage = (message: unknown) => {
      removeListeners();
      resolve(message);
    };
    const onExit = () => {
      removeListeners();
      reject(new Error('the child process exited before it sent a message'));
    };
    const timer = setTimeout(() => {
      removeListeners();
      reject(
        new Error(`the child process sent no message within ${timeoutMs} ms`),
      );
    }, timeoutMs);
    child.once('message', onMessage).once('exit', onExit);
  });
}

/**
 * Called in a child process: reports that the child is ready, and answers every
 * message with the memory usage.
 */
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
