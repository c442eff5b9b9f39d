/** The daemon berylyoked: request handling, operator interface, metrics and traces. */
export * from './Daemon.js';
export type * from './DaemonContext.js';
export type * from './DaemonPorts.js';
export type * from './RequestTypes.js';
export * from './Refusal.js';
