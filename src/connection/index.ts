export * from './http-listener.js';
export * from './input-progress.js';
export * from './received-stamps.js';
export * from './caller-memory/index.js';
export * from './upstream-client.js';
export type * from './peer-network.js';
export type * from './upstream-outcome.js';
export type {UpstreamConnectionPoolStatus as UpstreamPoolStatus} from './upstream-connection-pool.js';
export * from './control-messages.js';
export type {RelayedItem} from './control-link.js';
export type {RequestAbortReason} from './job-server.js';
export * from './peer-mesh.js';
export type {PeerMeshOptions} from './peer-mesh-options.js';
export * from './tcp-transport.js';
export type {LinkFault, PeerTraffic, TrafficCounts} from './traffic.js';
export {
	type TlsFiles, TlsStore, type TlsStoreOptions, createTlsStore, findTlsFault,
} from './tls-store.js';
export * from './tls-transport.js';
export * from './sender-confirmations.js';
export type {ConfirmationAges} from './job-messages.js';
