/** Heartbeats, digests, relays, the VM list and the directory of backend servers. */
export * from './ConnectPeers.js';
export * from './Member.js';
export * from './Membership.js';
export * from './MembershipState.js';
export * from './PeerLink.js';
export * from './ServerDirectory.js';
export * from './Topology.js';
export * from './VmList.js';
