/** The answer to input that is no request. */
import type {Socket} from 'node:net';
import type {ClientError, MalformedStatus} from './http-guard.js';

/** The status line that suits the error, and its text. */
export interface ClientErrorStatus {
  readonly status: string;
  readonly message: string;
}

export function describeClientError({code}: ClientError): ClientErrorStatus {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return {
        status: '431 Request Header Fields Too Large',
        message: 'the headers are too large',
      };
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return {
        status: '408 Request Timeout',
        message: 'the request did not arrive in time',
      };
    default:
      return {status: '400 Bad Request', message: 'malformed request'};
  }
}

/** What is wrong with a request that the protocol does not allow. */
export function describeMalformed(status: MalformedStatus): string {
  return status === 400
    ? 'the Host header is missing'
    : 'the expectation is not supported';
}

/** Sends a response that the runtime does not encode, and closes. */
export function sendClientError(
  socket: Socket,
  status: string,
  headers: Readonly<Record<string, string>>,
  text: string,
): void {
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}`,
  );
  const head = [
    `HTTP/1.1 ${status}`,
    'connection: close',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(text)}`,
    ...lines,
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${text}`);
}
