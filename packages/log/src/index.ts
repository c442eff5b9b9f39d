/** Client of the platform's append-only log: port, HTTP adapter, group commit and tail. */
export * from './HttpLog.js';
export * from './LogClient.js';
export * from './LogClientOptions.js';
export * from './LogPort.js';
export * from './LogRecord.js';
export type { AppenderCounts } from './Appender.js';
export type { LogReader, TailCounts, TailStatus } from './Tail.js';
