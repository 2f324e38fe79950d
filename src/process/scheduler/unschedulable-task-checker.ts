/**
 * Abandons queued tasks that no listed upstream fits any more.
 */
import {type Timer} from '../../seams/index.js';
import {type TaskGroup} from './queued-job.js';
import {type ServiceState} from './service-state.js';

/** Grace period before queued tasks without a suitable upstream are abandoned, in milliseconds. */
const gracePeriodMs = 1000;

/**
 * Abandons queued tasks that no live upstream fits any more, after a grace period in which one may be listed again.
 * @internal
 */
export class UnschedulableTaskChecker {
	readonly #state: ServiceState;
	#timer: Timer | undefined;

	constructor(state: ServiceState) {
		this.#state = state;
	}

	/** Starts the grace period if no live upstream fits some queued task. */
	check(): void {
		if (this.#getUnschedulableGroups().length === 0) {
			return;
		}

		this.#timer ??= this.#state.context.clock.setTimer(() => {
			this.#timer = undefined;
			this.#abandonUnschedulableGroups();
		}, gracePeriodMs);
	}

	/** Stops the timer. */
	close(): void {
		this.#timer?.close();
	}

	#getUnschedulableGroups(): readonly TaskGroup[] {
		const {queue, shapes} = this.#state;
		return queue.getGroups().filter(({shape}) => !shapes.hasLiveUpstreamFor(shape));
	}

	#abandonUnschedulableGroups(): void {
		for (const group of this.#getUnschedulableGroups()) {
			this.#abandonGroup(group);
		}
	}

	#abandonGroup(group: TaskGroup): void {
		const {queue, jobs} = this.#state;
		const {job} = group;
		const tasks = queue.removeGroup(group);
		jobs.addQueuedTasks(job, -tasks.length);
		for (const {task} of tasks) {
			task.abandon({kind: 'not_started', detail: 'No listed upstream fits the task any more', isUnreachable: true});
		}

		jobs.removeIfEnded(job);
	}
}
