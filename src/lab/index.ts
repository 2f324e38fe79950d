export * from './call-history.js';
export * from './caller.js';
export * from './entry-vm-client.js';
export * from './load-generator.js';
export * from './load-mix.js';
export * from './load-report.js';
export * from './local-cluster.js';
export type * from './call.js';
