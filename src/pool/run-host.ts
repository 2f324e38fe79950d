/**
 * Common interface of the places where a task can run: an upstream of this pool, or another pool.
 */
import {type LinkedRun} from './upstream-link.js';

/** Place where a task runs, as the scheduler uses it. */
export type RunHost = {
	/** Identifier of the upstream, or name of the pool. */
	readonly name: string;

	/** Gets whether the host does not answer, so that its runs end with their leases. */
	isSilent(): boolean;

	/**
	 * Stops a run; its end is reported as an event.
	 * @param run - Run.
	 * @param isOverdue - Whether it has exceeded its time limit.
	 */
	stop(run: LinkedRun, isOverdue?: boolean): void;
};
