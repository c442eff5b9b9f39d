/** The daemon berylyoked: request path, operator interface, metrics and traces. */
export * from './Daemon.js';
export type * from './DaemonContext.js';
export type * from './PathPorts.js';
export type * from './PathTypes.js';
export * from './Refusal.js';
