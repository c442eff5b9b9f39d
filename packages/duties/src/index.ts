/** Leases and fenced orders. */
export * from './DutyRecords.js';
export * from './Lease.js';
export * from './LeaseHolder.js';
