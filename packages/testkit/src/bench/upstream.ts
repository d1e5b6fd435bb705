/** Child process: an upstream with a small and a 1 MiB response. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {serveParent} from './child.js';

const SMALL = Buffer.alloc(100, 'a');
const LARGE = Buffer.alloc(1024 * 1024, 'b');

const server = createServer((request, response) => {
  const body = request.url === '/large' ? LARGE : SMALL;
  response.writeHead(200, {'content-length': body.length});
  response.end(body);
});
server.listen(0, '127.0.0.1', () => {
  serveParent({port: (server.address() as AddressInfo).port, key: ''});
});
