/**
 * Child process: load over keep-alive connections, each with one call at a
 * time. It reads responses itself, as a full client would cost more than the
 * process that is measured.
 */
import {build} from 'hdr-histogram-js';
import {connect, type Socket} from 'node:net';
import {
  loadRequestSchema,
  type LoadRequest,
  type LoadResult,
} from './message.js';

function runLoad(load: LoadRequest): Promise<LoadResult> {
  const histogram = build({numberOfSignificantValueDigits: 3});
  const startMs = performance.now();
  let issued = 0;
  let calls = 0;
  let failures = 0;

  function mayIssue(): boolean {
    const spentMs = performance.now() - startMs;
    if (issued >= load.maxCalls || spentMs >= load.durationMs) return false;
    issued += 1;
    return true;
  }

  function runConnection(): Promise<void> {
    return new Promise(resolve => {
      const socket = connect(load.port, '127.0.0.1');
      socket.setNoDelay(true);
      const text = requestText(load);
      let sentMs = 0;
      let pending = false;
      const next = () => {
        pending = mayIssue();
        if (!pending) {
          socket.end();
          return;
        }
        sentMs = performance.now();
        socket.write(text);
      };
      onResponses(socket, ok => {
        calls += 1;
        if (!ok) failures += 1;
        histogram.recordValue(Math.round((performance.now() - sentMs) * 1000));
        next();
      });
      socket.once('connect', next);
      socket.on('error', () => undefined);
      socket.once('close', () => {
        if (pending) failures += 1;
        resolve();
      });
    });
  }

  const all = Array.from({length: load.connections}, runConnection);
  return Promise.all(all).then(() => ({
    calls,
    failures,
    elapsedMs: performance.now() - startMs,
    p50Us: histogram.getValueAtPercentile(50),
    p99Us: histogram.getValueAtPercentile(99),
  }));
}

function requestText({path, key}: LoadRequest): string {
  const authorization = key ? `authorization: Bearer ${key}\r\n` : '';
  return `GET ${path} HTTP/1.1\r\nhost: bench\r\n${authorization}\r\n`;
}

/** Calls `done` after each response whose length is declared. */
function onResponses(socket: Socket, done: (ok: boolean) => void): void {
  let head = '';
  let ok = false;
  let left = -1;
  socket.on('data', data => {
    let size = data.length;
    if (left < 0) {
      const before = head.length;
      head += data.toString('latin1');
      const end = head.indexOf('\r\n\r\n');
      if (end < 0) return;
      ok = head.startsWith('HTTP/1.1 200 ');
      left = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0);
      size = data.length - (end + 4 - before);
      head = '';
    }
    left -= size;
    if (left > 0) return;
    left = -1;
    done(ok);
  });
}

process.on('message', message => {
  void runLoad(loadRequestSchema.parse(message)).then(result =>
    process.send!(result),
  );
});
process.on('disconnect', () => process.exit());
process.send!({port: 0, key: ''});
