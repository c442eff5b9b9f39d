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
  path: 'path',
  purchases: 'purchases',
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

/** Gets the logger of one part, whose sentences carry the part's prefix. */
export function getPartLogger(root: Logger, part: LogPart): Logger {
  return root.child({ part }, { msgPrefix: `${LOG_PREFIXES[part]}: ` });
}
