/** Serves a fake platform over HTTP. */
import {platformCommandSchema, type Platform} from '@lentildrift/platform';
import {createServer, type IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';
import {z} from 'zod';

const MAX_BODY_BYTES = 32 * 1024 * 1024;

const observeSchema = z.object({leader: z.number().int()});
const commandsSchema = z.object({commands: z.array(platformCommandSchema)});

export interface PlatformServer {
  /** Base URL of the server. */
  readonly url: string;
  stop(): Promise<void>;
}

/** Serves `platform` on loopback; port 0 selects a free port. */
export async function startPlatformServer(
  platform: Platform,
  port = 0,
): Promise<PlatformServer> {
  const server = createServer((request, response) => {
    const answer = (status: number, body: unknown) => {
      response.writeHead(status, {'content-type': 'application/json'});
      response.end(JSON.stringify(body));
    };
    handle(platform, request).then(
      body => answer(body === undefined ? 404 : 200, body ?? {}),
      (error: Error) => answer(400, {error: error.message}),
    );
  });
  await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve));
  const {port: boundPort} = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${boundPort}`,
    stop: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

async function handle(
  platform: Platform,
  request: IncomingMessage,
): Promise<unknown> {
  const body = await readJson(request);
  if (request.url === '/observe') {
    return platform.observe(observeSchema.parse(body).leader);
  }
  if (request.url === '/commands') {
    return platform.command(commandsSchema.parse(body).commands);
  }
  return undefined;
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > MAX_BODY_BYTES) throw new Error('the body is too large');
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}
