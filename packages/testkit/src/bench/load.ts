/**
 * Child process: generates load over keep-alive connections, each with one call
 * at a time. It parses responses itself, since a full HTTP client would use
 * more processor time than the measured process.
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

  function tryIssueCall(): boolean {
    const spentMs = performance.now() - startMs;
    if (issued >= load.maxCalls || spentMs >= load.durationMs) return false;
    issued += 1;
    return true;
  }

  function runConnection(): Promise<void> {
    return new Promise(resolve => {
      const socket = connect(load.port, '127.0.0.1');
      socket.setNoDelay(true);
      const requestBytes = formatRequest(load);
      let sentMs = 0;
      let pending = false;
      const sendNext = () => {
        pending = tryIssueCall();
        if (!pending) {
          socket.end();
          return;
        }
        sentMs = performance.now();
        socket.write(requestBytes);
      };
      onResponses(socket, ok => {
        calls += 1;
        if (!ok) failures += 1;
        histogram.recordValue(Math.round((performance.now() - sentMs) * 1000));
        sendNext();
      });
      socket.once('connect', sendNext);
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

function formatRequest({path, key}: LoadRequest): string {
  const authorization = key ? `authorization: Bearer ${key}\r\n` : '';
  return `GET ${path} HTTP/1.1\r\nhost: bench\r\n${authorization}\r\n`;
}

/**
 * Calls `onResponse` after each complete response; only responses with a
 * `content-length` header are supported.
 */
function onResponses(socket: Socket, onResponse: (ok: boolean) => void): void {
  let head = '';
  let ok = false;
  let remainingBytes = -1;
  socket.on('data', data => {
    let receivedBytes = data.length;
    if (remainingBytes < 0) {
      const previousLength = head.length;
      head += data.toString('latin1');
      const end = head.indexOf('\r\n\r\n');
      if (end < 0) return;
      ok = head.startsWith('HTTP/1.1 200 ');
      remainingBytes = Number(
        /\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0,
      );
      receivedBytes = data.length - (end + 4 - previousLength);
      head = '';
    }
    remainingBytes -= receivedBytes;
    if (remainingBytes > 0) return;
    remainingBytes = -1;
    onResponse(ok);
  });
}

process.on('message', message => {
  void runLoad(loadRequestSchema.parse(message)).then(result =>
    process.send!(result),
  );
});
process.on('disconnect', () => process.exit());
process.send!({port: 0, key: ''});
