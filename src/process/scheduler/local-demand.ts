/**
 * Demand of this entry VM for slots of one service.
 */
import {type JobOrder} from './job-order.js';
import {type TaskGroup} from './queued-job.js';

/** Tasks of one service that wait for slots at this entry VM. */
export type LocalDemand = {
	readonly order: JobOrder;
	/** Number of tasks that are ready to start. */
	readonly readyTasks: number;
	/** Group whose task is the next to start, whether or not a slot is free for it; `undefined` when there is none. */
	readonly nextGroup: TaskGroup | undefined;
	/** Expected wait of the last ready task on the currently usable slots, in milliseconds. */
	readonly waitMs: number;
	/** Whether there is any usable slot, which becomes free when its task ends. */
	readonly hasSlots: boolean;
	/** Number of tasks of jobs that are about as urgent as the next one. */
	readonly urgentTasks: number;
	/** Expected wait of the last of the urgent tasks, in milliseconds. */
	readonly urgentWaitMs: number;
	/** Whether slots of other data centres may be requested. */
	readonly maySpill: boolean;
};
