/** Fakes of the platform's interfaces with fault injection, and the demo system. */
export * from './DelayedValue.js';
export * from './DemoChild.js';
export * from './DemoLists.js';
export * from './DemoProcess.js';
export * from './DemoSystem.js';
export * from './EngineText.js';
export * from './FakeEngine.js';
export * from './FakeLog.js';
export * from './FakeOrdering.js';
export * from './FakePlainService.js';
export * from './FakeServer.js';
export * from './FakeUsageReports.js';
export * from './FakeVmList.js';
export * from './Faults.js';
export * from './HttpText.js';
export * from './ReceivedRequests.js';
