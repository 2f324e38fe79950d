/**
 * Public API of the scheduler.
 */
export * from './admission.js';
export * from './create-task-scheduler.js';
export * from './job-order.js';
export type * from './scheduler-counters.js';
export * from './scheduler-tuning.js';
export type {SchedulingPolicies} from './service-scheduler-options.js';
export {slotTopic} from './slot-messages.js';
export type * from './task-scheduler-options.js';
export * from './upstream-choice.js';
