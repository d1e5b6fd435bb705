/** Small HTTP client and server for the stand-ins. */
import {Agent, createServer, request as send} from 'node:http';

/**
 * Sends one request. Resolves with the status and the decoded body; rejects if
 * no complete answer comes within `timeoutMs`.
 */
export function call({
  address,
  method,
  path,
  headers = {},
  body,
  timeoutMs = 1000,
  agent = new Agent({keepAlive: false}),
}) {
  const [host, port] = address.split(':');
  const text = body === undefined ? '' : JSON.stringify(body);
  return new Promise((resolve, reject) => {
    const message = send(
      {
        host,
        port,
        method,
        path,
        agent,
        headers: {
          ...headers,
          ...(body !== undefined && {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(text),
          }),
        },
      },
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', reject);
        response.on('aborted', () => reject(new Error('answer cut short')));
        response.on('end', () => {
          clearTimeout(timer);
          const raw = Buffer.concat(chunks).toString();
          resolve({status: response.statusCode, raw, body: decode(raw)});
        });
      },
    );
    const timer = setTimeout(
      () => message.destroy(new Error(`no answer within ${timeoutMs} ms`)),
      timeoutMs,
    );
    message.on('error', error => {
      clearTimeout(timer);
      reject(error);
    });
    message.end(text);
  });
}

function decode(text) {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Serves JSON; `handle` returns `{status, body}`, or nothing to stay silent. */
export async function serve(address, handle) {
  const [host, port] = address.split(':');
  const sockets = new Set();
  const server = createServer((message, response) => {
    const chunks = [];
    message.on('data', chunk => chunks.push(chunk));
    message.on('end', async () => {
      const answer = await handle({
        method: message.method,
        path: message.url,
        headers: message.headers,
        body: decode(Buffer.concat(chunks).toString()),
      });
      if (!answer || response.destroyed) return;
      const text = JSON.stringify(answer.body ?? {});
      response.writeHead(answer.status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    });
  });
  server.keepAliveTimeout = 60_000;
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, resolve);
  });
  return {
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
