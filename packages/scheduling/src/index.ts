/**
 * Pure decisions: admission, fair queue, choice of backend server, retry budget, purchases. Time
 * and randomness are arguments.
 */
export * from './Admission.js';
export * from './CacheIndex.js';
export * from './DemandForecast.js';
export * from './Explanation.js';
export * from './FairQueue.js';
export * from './FleetShares.js';
export * from './IndexedHeap.js';
export * from './LengthEstimate.js';
export * from './LoadPlan.js';
export * from './Outliers.js';
export * from './Preemption.js';
export * from './Purchases.js';
export * from './RetryBudget.js';
export * from './Scheduler.js';
export * from './ServerChoice.js';
export * from './ServiceRate.js';
export * from './SlotReserve.js';
export * from './WaitCorrection.js';
