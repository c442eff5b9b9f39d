/** Leases and fenced orders. */
export {};
