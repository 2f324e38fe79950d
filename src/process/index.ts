export * from './current-value.js';
export * from './events.js';
export type * from './task-scheduler.js';
