/** Claims for calls that may not be repeated. */
export * from './ClaimCall.js';
export * from './ClaimKey.js';
export * from './ClaimLimits.js';
export * from './ClaimRefusals.js';
export * from './ClaimService.js';
export * from './ClaimTable.js';
export * from './OnceRecords.js';
