/**
 * Demand of this entry VM for slots of one service.
 */
import {type JobOrder} from './job-order.js';
import {type TaskGroup} from './queued-job.js';

/** What waits here for slots. */
export type LocalDemand = {
	readonly order: JobOrder;
	/** Tasks that may start. */
	readonly readyTasks: number;
	/** Part of a job that is next, whether a slot is free for it or not. */
	readonly next: TaskGroup | undefined;
	/** Expected wait of the last of these tasks on the slots in hand. */
	readonly waitMs: number;
	/** Whether there is a slot in hand whose task will end and make room. */
	readonly hasSlots: boolean;
	/** Tasks of the jobs that are about as urgent as the next one. */
	readonly urgentTasks: number;
	/** Expected wait of the last of these. */
	readonly urgentWaitMs: number;
	/** Whether other data centres may be asked. */
	readonly maySpill: boolean;
};
