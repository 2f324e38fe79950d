/**
 * Where a run of a task is: an upstream of this pool, or another pool.
 */
import {type LinkedRun} from './upstream-link.js';

/** What the scheduler needs of a place where a task runs. */
export type RunHost = {
	/** Identifier of the upstream, or name of the pool. */
	readonly name: string;

	/** Gets whether it does not answer, so that its runs end by their leases. */
	isSilent(): boolean;

	/**
	 * Stops a run; its end comes as an event.
	 * @param run - Run.
	 * @param isOverdue - Whether it has taken too long.
	 */
	stop(run: LinkedRun, isOverdue?: boolean): void;
};
