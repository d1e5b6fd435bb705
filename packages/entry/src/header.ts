/** Header rules: what is hop-by-hop, and which shapes are refused. */
import type {IncomingMessage} from 'node:http';

/** Longest header section of a request, in bytes. */
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
/** Meant for the entry host; an upstream must not see a caller's key. */
const ENTRY_ONLY_HEADERS = new Set(['authorization', 'host', 'expect']);
const FRAMING_HEADERS = new Set([
  'content-length',
  'transfer-encoding',
  'host',
]);

/** Names and values in turn, as `rawHeaders` has them. */
export type RawHeaders = readonly string[];

/** What an upstream gets of a request's headers. */
export function filterRequestHeaders(raw: RawHeaders): string[] {
  return filterHeaders(
    raw,
    name => !HOP_BY_HOP_HEADERS.has(name) && !ENTRY_ONLY_HEADERS.has(name),
  );
}

/** What a caller gets of an upstream's headers. */
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
  wanted: (name: string) => boolean,
): string[] {
  const kept: string[] = [];
  let listed: string[] | undefined;
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase();
    const value = raw[i + 1]!;
    if (name === 'connection') listed = connectionTokens(value, listed);
    else if (wanted(name)) kept.push(raw[i]!, value);
  }
  if (!listed) return kept;
  const hops = new Set(listed);
  return kept.filter((_, i) => !hops.has(kept[i - (i % 2)]!.toLowerCase()));
}

/** Headers that a connection header names are hop-by-hop as well. */
function connectionTokens(
  value: string,
  before: string[] | undefined,
): string[] | undefined {
  const tokens = value
    .split(',')
    .map(token => token.trim().toLowerCase())
    // A framing header must not be dropped at a caller's wish.
    .filter(token => !['', 'keep-alive', 'close'].includes(token))
    .filter(token => !FRAMING_HEADERS.has(token));
  return tokens.length > 0 ? [...(before ?? []), ...tokens] : before;
}

/**
 * Why the request's framing is ambiguous; two parties that read it
 * differently would disagree on where the next request begins.
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

/** Declared length of the body; undefined when it is chunked. */
export function getDeclaredLength(
  request: IncomingMessage,
): number | undefined {
  const {headers} = request;
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}
