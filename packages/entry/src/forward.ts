/** The forwarder: owns the connections to upstreams. */
import {refuse} from '@lentildrift/model';
import {pass, stop, type Step} from '@lentildrift/pipe';
import {pipeline} from 'node:stream/promises';
import {Agent} from 'undici';
import type {Selected} from './exchange.js';

const HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
  'authorization',
  'host',
  'te',
  'trailer',
  'proxy-authorization',
  'expect',
]);

export interface Forwarder {
  forward(exchange: Selected): Promise<Step<void>>;
  close(): Promise<void>;
}

export function createForwarder(): Forwarder {
  const agent = new Agent({pipelining: 1, connections: 64});

  async function forward(exchange: Selected): Promise<Step<void>> {
    const {request, response, upstream, path, route, release} = exchange;
    try {
      const answer = await agent.request({
        origin: `http://${upstream.announcement.address}`,
        path,
        method: request.method as 'GET',
        headers: endToEnd(request.headers),
        body: hasBody(request.headers) ? request : null,
        headersTimeout: route.timeoutMs,
        bodyTimeout: route.timeoutMs,
      });
      response.writeHead(answer.statusCode, {
        ...endToEnd(answer.headers),
        'lentildrift-verdict': 'ran',
      });
      await pipeline(answer.body, response);
      return pass(undefined);
    } catch (error) {
      if (response.headersSent) {
        response.destroy();
        return pass(undefined);
      }
      const {code, message} = error as {code?: string; message: string};
      const verdict = code === 'ECONNREFUSED' ? 'not-run' : 'may-have-run';
      return stop(refuse('upstream-failed', message, {verdict}));
    } finally {
      release();
    }
  }

  return {forward, close: () => agent.close()};
}

type Headers = Record<string, string | string[] | undefined>;

function endToEnd(headers: Headers): Headers {
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => !HOP_HEADERS.has(name)),
  );
}

function hasBody(headers: Headers): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
