export * from './control-messages.js';
export type {RequestAbortReason} from './job-server.js';
export * from './peer-mesh.js';
export type {PeerMeshOptions} from './peer-mesh-options.js';
export type * from './peer-network.js';
export * from './tcp-transport.js';
export type {LinkFault, PeerTraffic, TrafficCounts} from './traffic.js';
