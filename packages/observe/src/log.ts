/** Logs: one line of key=value pairs for each event. */
import loglevel from 'loglevel';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

export interface Log {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** A log whose lines all carry `fixed`; lines go to `write`. */
export function createLog(
  level: LogLevel,
  fixed: LogFields = {},
  write: (line: string) => void = line => process.stderr.write(line + '\n'),
): Log {
  const logger = loglevel.getLogger(Symbol('lentildrift'));
  logger.methodFactory = name => (event: string, fields: LogFields) =>
    write(formatLogLine(new Date(), name, event, {...fixed, ...fields}));
  logger.setLevel(level, false);
  return {
    debug: (event, fields) => logger.debug(event, fields),
    info: (event, fields) => logger.info(event, fields),
    warn: (event, fields) => logger.warn(event, fields),
    error: (event, fields) => logger.error(event, fields),
  };
}

/** One line; a value with spaces, quotes or control characters is quoted. */
export function formatLogLine(
  at: Date,
  level: string,
  event: string,
  fields: LogFields,
): string {
  const pairs = Object.entries({
    at: at.toISOString(),
    level,
    event,
    ...fields,
  }).filter(([, value]) => value !== undefined);
  return pairs.map(([key, value]) => `${key}=${formatValue(value)}`).join(' ');
}

function formatValue(value: string | number | boolean | undefined): string {
  const text = String(value);
  if (/^[^\s"=\p{Cc}]+$/u.test(text)) return text;
  // JSON leaves some control characters and line separators as they are.
  return JSON.stringify(text).replace(
    /[\p{Cc}\u2028\u2029]/gu,
    character => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`,
  );
}
