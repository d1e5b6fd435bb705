/** Client for the platform API: JSON over HTTP. */
import {Pool} from 'undici';
import {z} from 'zod';
import {
  observationSchema,
  Platform,
  platformAnswerSchema,
  type Observation,
  type PlatformAnswer,
  type PlatformCommand,
} from './platform.js';

const MAX_CONNECTIONS = 4;

/** Time limit for one request of a planner to the platform. */
const DEFAULT_TIMEOUT_MS = 2000;

/** Reports an error status or a malformed response of the platform. */
export class PlatformError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'PlatformError';
  }
}

export interface HttpPlatformOptions {
  /** Base URL, such as `http://10.0.0.1:8500`. */
  readonly url: string;
  /** Time limit for one request, until the response is complete. */
  readonly timeoutMs?: number;
}

/**
 * Accesses a platform over HTTP. A request rejects with a `PlatformError` if
 * the platform responds with an error status or a malformed body, and with the
 * transport error if the connection fails or the request times out.
 */
export class HttpPlatform extends Platform {
  private readonly pool: Pool;
  private readonly timeoutMs: number;

  constructor({url, timeoutMs = DEFAULT_TIMEOUT_MS}: HttpPlatformOptions) {
    super();
    this.timeoutMs = timeoutMs;
    this.pool = new Pool(url, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connectTimeout: timeoutMs,
    });
  }

  override async observe(leader: number): Promise<Observation> {
    return this.post('/observe', {leader}, observationSchema);
  }

  override async command(
    commands: readonly PlatformCommand[],
  ): Promise<PlatformAnswer[]> {
    const schema = z.array(platformAnswerSchema).length(commands.length);
    return this.post('/commands', {commands}, schema);
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async post<T extends z.ZodType>(
    path: string,
    message: unknown,
    schema: T,
  ): Promise<z.infer<T>> {
    const {statusCode, body} = await this.pool.request({
      path,
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(message),
      signal: AbortSignal.timeout(this.timeoutMs),
    });
    const text = await body.text();
    if (statusCode !== 200) {
      throw new PlatformError(`platform answered ${statusCode} to ${path}`);
    }
    return parseResponse(text, path, schema);
  }
}

function parseResponse<T extends z.ZodType>(
  text: string,
  path: string,
  schema: T,
): z.infer<T> {
  try {
    return schema.parse(JSON.parse(text));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new PlatformError(`malformed answer to ${path}: ${reason}`);
  }
}
