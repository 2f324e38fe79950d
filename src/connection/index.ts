export type * from './peer-network.js';
export * from './upstream-client.js';
export type * from './upstream-outcome.js';
export type {UpstreamPoolStatus} from './upstream-pool.js';
