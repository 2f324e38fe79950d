export * from './events.js';
export type * from './task-scheduler.js';
export * from './scheduler/index.js';
