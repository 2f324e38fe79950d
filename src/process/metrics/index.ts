export * from './metrics.js';
export type * from './metrics-source.js';
