export * from './configuration-follower.js';
export * from './current-value.js';
export * from './events.js';
export type {FollowerOptions, FollowerStatus} from './prefix-follower.js';
export type * from './task-scheduler.js';
export * from './vm-list-follower.js';
