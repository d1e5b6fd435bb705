/** Logging: each event is one line of key=value pairs. */
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

/**
 * Creates a log that drops events below `level`, adds `commonFields` to every
 * line and passes each line to `writeLine`, by default to standard error.
 */
export function createLog(
  level: LogLevel,
  commonFields: LogFields = {},
  writeLine: (line: string) => void = line => process.stderr.write(line + '\n'),
): Log {
  const logger = loglevel.getLogger(Symbol('lentildrift'));
  logger.methodFactory = name => (event: string, fields: LogFields) =>
    writeLine(
      formatLogLine(new Date(), name, event, {...commonFields, ...fields}),
    );
  logger.setLevel(level, false);
  return {
    debug: (event, fields) => logger.debug(event, fields),
    info: (event, fields) => logger.info(event, fields),
    warn: (event, fields) => logger.warn(event, fields),
    error: (event, fields) => logger.error(event, fields),
  };
}

/**
 * Formats one log line. A value that is empty or contains whitespace, quotes,
 * `=` or control characters is quoted.
 */
export function formatLogLine(
  at: Date,
  level: string,
  event: string,
  fields: LogFields,
): string {
  let line = `at=${at.toISOString()} level=${level} event=${formatValue(event)}`;
  for (const key in fields) {
    const value = fields[key];
    if (value !== undefined) line += ` ${key}=${formatValue(value)}`;
  }
  return line;
}

function formatValue(value: string | number | boolean): string {
  const text = String(value);
  if (typeof value !== 'string') return text;
  if (/^[^\s"=\p{Cc}]+$/u.test(text)) return text;
  // JSON.stringify leaves some control characters and line separators
  // unescaped, and these could split a log line.
  return JSON.stringify(text).replace(
    /[\p{Cc}\u2028\u2029]/gu,
    character => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`,
  );
}
