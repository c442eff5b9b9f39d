/** Small fakes of the platform's interfaces, each with a table of faults. */
export * from './FakeLog.js';
export * from './FakeServer.js';
export * from './Faults.js';
