export * from './http-listener.js';
export * from './request-body.js';
export * from './upstream-client.js';
export type * from './peer-network.js';
export type * from './upstream-outcome.js';
export type {UpstreamPoolStatus} from './upstream-pool.js';
