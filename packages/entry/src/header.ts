/** Filtering of headers, and detection of ambiguous request framing. */
import type {IncomingMessage} from 'node:http';

/** Longest header section of a request. */
export const MAX_HEADER_BYTES = 16 * 1024;
export const VERDICT_HEADER = 'lentildrift-verdict';

const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
/**
 * Headers for the entry host, which are not forwarded. In particular, an
 * upstream must not see the key of a caller.
 */
const ENTRY_ONLY_HEADERS = new Set(['authorization', 'host', 'expect']);
const FRAMING_HEADERS = new Set([
  'content-length',
  'transfer-encoding',
  'host',
]);

/** Alternating names and values, as in `IncomingMessage.rawHeaders`. */
export type RawHeaders = readonly string[];

/** Returns the request headers that are forwarded to the upstream. */
export function filterRequestHeaders(raw: RawHeaders): string[] {
  return filterHeaders(
    raw,
    name => !HOP_BY_HOP_HEADERS.has(name) && !ENTRY_ONLY_HEADERS.has(name),
  );
}

/** Returns the response headers that are relayed to the caller. */
export function filterResponseHeaders(
  raw: readonly (Buffer | string)[],
): string[] {
  const text = raw.map(each =>
    typeof each === 'string' ? each : each.toString('latin1'),
  );
  return filterHeaders(
    text,
    name => !HOP_BY_HOP_HEADERS.has(name) && name !== VERDICT_HEADER,
  );
}

function filterHeaders(
  raw: RawHeaders,
  isForwarded: (name: string) => boolean,
): string[] {
  const result: string[] = [];
  let connectionOptions: string[] | undefined;
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase();
    const value = raw[i + 1]!;
    if (name === 'connection')
      connectionOptions = parseConnectionOptions(value, connectionOptions);
    else if (isForwarded(name)) result.push(raw[i]!, value);
  }
  if (!connectionOptions) return result;
  const hopByHop = new Set(connectionOptions);
  return result.filter(
    (_, i) => !hopByHop.has(result[i - (i % 2)]!.toLowerCase()),
  );
}

/**
 * Returns `previous` with the options of a `Connection` header. The headers
 * that these options name are hop-by-hop, too.
 */
function parseConnectionOptions(
  value: string,
  previous: string[] | undefined,
): string[] | undefined {
  const tokens = value
    .split(',')
    .map(token => token.trim().toLowerCase())
    // A caller must not be able to have framing headers removed.
    .filter(token => !['', 'keep-alive', 'close'].includes(token))
    .filter(token => !FRAMING_HEADERS.has(token));
  return tokens.length > 0 ? [...(previous ?? []), ...tokens] : previous;
}

/**
 * Returns why the framing of a request is ambiguous, or undefined. If the entry
 * host and the upstream interpreted the framing differently, they would
 * disagree on where the next request begins (request smuggling).
 */
export function findFramingError(raw: RawHeaders): string | undefined {
  const seen = new Map<string, string>();
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase();
    if (!FRAMING_HEADERS.has(name)) continue;
    if (seen.has(name)) return `duplicate ${name}`;
    seen.set(name, raw[i + 1]!);
  }
  const length = seen.get('content-length');
  const coding = seen.get('transfer-encoding');
  if (length !== undefined && coding !== undefined) {
    return 'both content-length and transfer-encoding';
  }
  if (length !== undefined && !/^\d{1,15}$/.test(length)) {
    return 'malformed content-length';
  }
  if (coding !== undefined && coding.toLowerCase() !== 'chunked') {
    return 'unsupported transfer-encoding';
  }
  return undefined;
}

/** Returns the declared body length in bytes; undefined for a chunked body. */
export function getDeclaredLength(
  request: IncomingMessage,
): number | undefined {
  const {headers} = request;
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}
