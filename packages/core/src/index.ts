/** Clock, ids, typed errors, hashing, bounded maps, body framing, cleanup and log prefixes. */
export * from './Addresses.js';
export * from './BoundedMap.js';
export * from './ByteCollector.js';
export * from './Cleanup.js';
export * from './Clock.js';
export * from './DefectHandler.js';
export * from './DrainListener.js';
export * from './HttpJson.js';
export * from './HttpSyntax.js';
export * from './Identifiers.js';
export * from './Invariant.js';
export * from './Logging.js';
export * from './Randomness.js';
export * from './Rendezvous.js';
export * from './ResponseFraming.js';
export * from './ResponseStatus.js';
