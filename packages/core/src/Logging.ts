/**
 * Log records by pino. Each part of the system has a fixed prefix, so that an operator can select
 * the records of one part; no record ever carries a secret.
 */
import * as Pino from 'pino';

/** Prefix of each part's log sentences. */
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

/** A part that writes log records. */
export type LogPart = keyof typeof LOG_PREFIXES;

/** Logger of one part. */
export type Logger = Pino.Logger;

/** Fields that are removed from every record, in case a caller of the logger passes headers. */
const REDACTED = ['authorization', '*.authorization', 'headers.authorization', '*.secret'];

/** Creates the root logger; records go to standard error as JSON lines. */
export function createLogger(level: string, bindings: Readonly<Record<string, string>>): Logger {
  return Pino.pino({ base: bindings, level, redact: REDACTED }, Pino.destination(2));
}

/** Bytes of records that wait for a slow reader of standard output before records are dropped. */
const MAX_BUFFERED_LOG_BYTES = 1024 * 1024;

/** Logger of a daemon that never waits for the reader of its records. */
export interface BufferedLogger {
  readonly logger: Logger;
  /** Counts the records that were dropped because the reader was too slow. */
  readonly countDroppedRecords: () => number;
  /** Writes what is buffered, for the end of the process. */
  readonly flush: () => void;
}

/**
 * Creates a logger that writes JSON lines to standard output without blocking. Records beyond a
 * bounded buffer are dropped and counted.
 */
export function createBufferedLogger(
  level: string,
  bindings: Readonly<Record<string, string>>,
): BufferedLogger {
  const destination = Pino.destination({
    fd: 1, maxLength: MAX_BUFFERED_LOG_BYTES, sync: false,
  });
  let dropped = 0;
  destination.on('drop', () => {
    dropped += 1;
  });
  return {
    countDroppedRecords: () => dropped,
    flush: () => {
      try {
        // Called once, at the end of the process.
        // eslint-disable-next-line n/no-sync
        destination.flushSync();
      } catch (error) {
        // The reader is gone, so there is nobody left to tell.
        dropped += error instanceof Error ? 1 : 0;
      }
    },
    logger: Pino.pino({ base: bindings, level, redact: REDACTED }, destination),
  };
}

/** Gets the logger of one part, whose sentences carry the part's prefix. */
export function getPartLogger(root: Logger, part: LogPart): Logger {
  return root.child({ part }, { msgPrefix: `${LOG_PREFIXES[part]}: ` });
}
