/** Child process: a minimal `http` and `undici` forwarder, the baseline. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Pool, type Dispatcher} from 'undici';
import {serveParent} from './child.js';

const CONNECTIONS = 64;

const pool = new Pool(`http://${process.argv[2]}`, {
  connections: CONNECTIONS,
  pipelining: 1,
});
const server = createServer((request, response) => {
  const {url, method} = request;
  pool.stream(
    {path: url!, method: method as Dispatcher.HttpMethod},
    ({statusCode, headers}) => response.writeHead(statusCode, headers),
    error => {
      if (error) response.destroy();
    },
  );
});
server.listen(0, '127.0.0.1', () => {
  serveParent({port: (server.address() as AddressInfo).port, key: ''});
});
