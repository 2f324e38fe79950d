export type * from './platform.js';
export * from './vm-list.js';
