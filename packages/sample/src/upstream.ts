/** A sample upstream: echoes calls, and announces itself until it leaves. */
import type {Announcement} from '@lentildrift/model';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {request} from 'undici';

const LEASE_MS = 6000;
const ANNOUNCE_INTERVAL_MS = 2000;

export interface SampleUpstreamOptions {
  readonly pool: string;
  readonly service: string;
  readonly host: string;
  /** Key whose subject is the pool. */
  readonly key: string;
  /** Address and port of an entry host. */
  readonly entry: string;
}

export interface SampleUpstream {
  readonly address: string;
  /** Leaves the roster, then stops. */
  stop(): Promise<void>;
}

export async function startUpstream(
  options: SampleUpstreamOptions,
): Promise<SampleUpstream> {
  const {pool, service, host, key, entry} = options;
  const server = createServer((incoming, response) => {
    response.setHeader('content-type', 'application/json');
    incoming.resume().on('end', () => {
      const {method, url} = incoming;
      response.end(JSON.stringify({service, host, method, url}) + '\n');
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const incarnation = Date.now();
  let sequence = 0;

  async function announce(path: '/announce' | '/leave'): Promise<void> {
    const announcement: Announcement = {
      pool,
      service,
      host,
      address,
      incarnation,
      sequence: ++sequence,
      leaseMs: LEASE_MS,
    };
    const {body} = await request(`http://${entry}${path}`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify(announcement),
    });
    await body.dump();
  }

  const timer = setInterval(
    () => void announce('/announce').catch(() => undefined),
    ANNOUNCE_INTERVAL_MS,
  );
  await announce('/announce');

  async function stop(): Promise<void> {
    clearInterval(timer);
    await announce('/leave').catch(() => undefined);
    server.closeIdleConnections();
    await new Promise(resolve => server.close(resolve));
  }

  return {address, stop};
}
