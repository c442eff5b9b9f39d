/**
 * Settings of a daemon, the lists that operators maintain, and the reducers that compute the
 * current configuration from the configuration stream.
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
