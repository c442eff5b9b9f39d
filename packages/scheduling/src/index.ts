/**
 * Scheduling decisions without input or output: admission control, fair queueing, backend server
 * selection, retry budget and server purchases. Time and random numbers are passed in as arguments.
 */
export * from './Admission.js';
export * from './CacheIndex.js';
export * from './CapacityPlan.js';
export * from './DemandForecast.js';
export * from './EngineModel.js';
export * from './Explanation.js';
export * from './FairQueue.js';
export * from './FleetShares.js';
export * from './IndexedHeap.js';
export * from './LengthEstimate.js';
export * from './ModelLoadPlan.js';
export * from './Outliers.js';
export * from './OverloadControl.js';
export * from './Preemption.js';
export * from './Purchases.js';
export * from './RetryBudget.js';
export * from './Scheduler.js';
export * from './ServerChoice.js';
export * from './ServiceRate.js';
export * from './SlotReserve.js';
export * from './WaitCorrection.js';
