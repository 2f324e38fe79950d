export {
	createPlatformStandIn, PlatformStandIn, type PlatformStandInOptions,
} from './platform-stand-in.js';
export type {PlatformFaults} from './platform-faults.js';
export * from './history.js';
export * from './history-checker.js';
export * from './upstream-faults.js';
export * from './upstream-record.js';
export * from './upstream-stand-in.js';
export * from './upstream-worker.js';
export * from './peer-faults.js';
export * from './switchable-connection.js';
export * from './simulated-upstreams.js';
export * from './platform-store.js';
export * from './platform-upstream.js';
export * from './simulated-peers.js';
export * from './simulated-pools.js';
export * from './manual-clock.js';
export * from './manual-event-loop.js';
