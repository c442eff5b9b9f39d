/**
 * Loggers, based on pino. The messages of each part of the system begin with a fixed prefix, so
 * that an operator can filter the records of one part. Secrets are redacted from every record.
 */
import * as Pino from 'pino';

/** Prefixes of log messages by part of the system. */
export const LOG_PREFIXES = {
  cli: 'cli',
  config: 'config',
  daemon: 'daemon',
  demo: 'demo',
  duties: 'duties',
  fake: 'fake',
  log: 'log',
  membership: 'membership',
  once: 'once',
  ordering: 'ordering',
  path: 'path',
  purchases: 'purchases',
  routing: 'routing',
  servers: 'servers',
  store: 'store',
  usage: 'usage',
} as const;

/** Part of the system that writes log records. */
export type LogPart = keyof typeof LOG_PREFIXES;

/** Logger of the process or of one part. */
export type Logger = Pino.Logger;

/** Paths that are redacted in every record, in case code logs the headers of a request. */
const REDACTED_PATHS = ['authorization', '*.authorization', 'headers.authorization', '*.secret'];

/** Creates a root logger that writes JSON lines to standard error. */
export function createLogger(level: string, bindings: Readonly<Record<string, string>>): Logger {
  return Pino.pino({ base: bindings, level, redact: REDACTED_PATHS }, Pino.destination(2));
}

/** Size of the buffer for a slow reader of standard output; further records are dropped. */
const MAX_BUFFERED_LOG_BYTES = 1024 * 1024;

/** Root logger that never blocks on a slow reader of its records. */
export interface BufferedLogger {
  readonly logger: Logger;
  /** Gets the number of records dropped because the reader was too slow or gone. */
  readonly countDroppedRecords: () => number;
  /** Writes the buffered records synchronously; for use when the process ends. */
  readonly flush: () => void;
}

/**
 * Creates a root logger that writes JSON lines to standard output without blocking. When its buffer
 * is full, records are dropped and counted.
 */
export function createBufferedLogger(
  level: string,
  bindings: Readonly<Record<string, string>>,
): BufferedLogger {
  const destination = Pino.destination({
    fd: 1, maxLength: MAX_BUFFERED_LOG_BYTES, sync: false,
  });
  let droppedCount = 0;
  destination.on('drop', () => {
    droppedCount += 1;
  });
  return {
    countDroppedRecords: () => droppedCount,
    flush: () => {
      try {
        // Blocking is harmless here, because this runs once, when the process ends.
        // eslint-disable-next-line n/no-sync
        destination.flushSync();
      } catch (error) {
        // The reader has closed the pipe, so the failure can only be counted.
        droppedCount += error instanceof Error ? 1 : 0;
      }
    },
    logger: Pino.pino({ base: bindings, level, redact: REDACTED_PATHS }, destination),
  };
}

/** Gets the logger of one part, whose messages begin with the part's prefix. */
export function getPartLogger(root: Logger, part: LogPart): Logger {
  return root.child({ part }, { msgPrefix: `${LOG_PREFIXES[part]}: ` });
}
