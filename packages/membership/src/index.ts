/**
 * Fleet membership of the daemons: heartbeat streams, membership digests and relays, and the
 * directory of backend servers that follows the VM list of the platform.
 */
export * from './ConnectTransport.js';
export * from './Member.js';
export * from './Membership.js';
export * from './MembershipState.js';
export * from './PeerStream.js';
export * from './ServerDirectory.js';
export * from './Topology.js';
export * from './VmList.js';
