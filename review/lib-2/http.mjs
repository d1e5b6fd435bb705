/** HTTP calls and servers of the stand-ins. */
import {createServer, request as httpRequest} from 'node:http';

/**
 * Sends one request on a new connection. Resolves with `{status, body}`;
 * without a complete answer `status` is 0 and `error` tells why.
 */
export function call(address, method, path, {headers = {}, body, timeoutMs = 3000} = {}) {
  return new Promise(resolve => {
    const [host, port] = address.split(':');
    const text = body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body);
    let done = false;
    const finish = result => {
      if (done) return;
      done = true;
      clearTimeout(timer);
      resolve(result);
    };
    const request = httpRequest(
      {
        host,
        port: Number(port),
        method,
        path,
        agent: false,
        headers: {
          ...(text !== undefined && {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(text),
          }),
          ...headers,
        },
      },
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('end', () => {
          const raw = Buffer.concat(chunks).toString();
          let decoded;
          try {
            decoded = JSON.parse(raw);
          } catch {
            decoded = undefined;
          }
          finish({status: response.statusCode, body: decoded});
        });
        response.on('error', error => finish({status: 0, error: error.message}));
        response.on('aborted', () => finish({status: 0, error: 'broken off'}));
      },
    );
    const timer = setTimeout(() => {
      finish({status: 0, error: 'no answer in time'});
      request.destroy();
    }, timeoutMs);
    request.on('error', error => finish({status: 0, error: error.message}));
    request.end(text);
  });
}

/** Starts a server whose handler returns `{status, body}` or null to stay silent. */
export function serve(ip, handle, port = 0) {
  return new Promise((resolve, reject) => {
    const sockets = new Set();
    const server = createServer(async (message, response) => {
      const chunks = [];
      try {
        for await (const chunk of message) chunks.push(chunk);
      } catch {
        return;
      }
      let body;
      try {
        body = JSON.parse(Buffer.concat(chunks).toString());
      } catch {
        body = undefined;
      }
      const [path, query = ''] = message.url.split('?');
      const answer = await handle({method: message.method, path, query, headers: message.headers, body});
      if (!answer || response.destroyed) return;
      const text = JSON.stringify(answer.body ?? {});
      response.writeHead(answer.status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    });
    server.keepAliveTimeout = 60_000;
    server.on('connection', socket => {
      sockets.add(socket);
      socket.on('error', () => {});
      socket.on('close', () => sockets.delete(socket));
    });
    server.once('error', reject);
    server.listen(port, ip, () =>
      resolve({
        address: `${ip}:${server.address().port}`,
        port: server.address().port,
        /** Resets all connections and stops listening. */
        abort() {
          server.close();
          for (const socket of sockets) socket.resetAndDestroy();
        },
      }),
    );
  });
}
