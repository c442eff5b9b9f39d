/** Heartbeats, digests, relays, the VM list and the directory of backend servers. */
export {};
