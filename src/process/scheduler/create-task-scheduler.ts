/**
 * Creation of the scheduler of one entry VM.
 */
import {DistributedTaskScheduler} from './distributed-task-scheduler.js';
import {type SlotScheduler, type TaskSchedulerOptions} from './task-scheduler-options.js';

/**
 * Creates the scheduler of one entry VM.
 * @param options - Options of the scheduler.
 */
export function createTaskScheduler(options: TaskSchedulerOptions): SlotScheduler {
	return new DistributedTaskScheduler(options);
}
