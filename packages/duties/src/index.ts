/** Leases and fenced orders. */
export * from './DutyRecords.js';
export * from './HttpOrders.js';
export * from './Lease.js';
export * from './LeaseHolder.js';
export * from './LeaseService.js';
export * from './OrderPorts.js';
export * from './Orders.js';
export * from './OrderService.js';
