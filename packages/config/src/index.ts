/**
 * Settings of a daemon, the operators' lists, and the fold that turns the configuration stream into
 * the configuration in force.
 */
export * from './ConfigReader.js';
export * from './ConfigRecords.js';
export * from './ConfigRules.js';
export * from './ConfigSnapshots.js';
export {
  countKeys, findKey, initialConfigState, reduceConfig, type ConfigState, type KeyState,
} from './ConfigState.js';
export * from './ConfigStore.js';
export * from './ConfigTail.js';
export * from './Isolation.js';
export * from './Keys.js';
export * from './Lists.js';
export * from './ListsChange.js';
export * from './ListsDiff.js';
export * from './Settings.js';
export * from './TomlFile.js';
