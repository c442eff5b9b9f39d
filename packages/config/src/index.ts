/**
 * Settings of a daemon, the operators' lists, and the fold that turns the configuration stream into
 * the configuration in force.
 */
export * from './ConfigRecords.js';
export * from './ConfigState.js';
export * from './Keys.js';
export * from './Lists.js';
export * from './Settings.js';
export * from './TomlFile.js';
