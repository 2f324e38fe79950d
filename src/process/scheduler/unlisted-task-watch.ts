/**
 * Gives up queued tasks whose last fitting upstream has left the list.
 */
import {type Timer} from '../../seams/index.js';
import {type TaskGroup} from './queued-job.js';
import {type ServiceState} from './service-state.js';

/** Time for which queued tasks wait for an upstream that fits them after the last one left, in milliseconds. */
const noUpstreamGraceMs = 1000;

/**
 * Gives up queued tasks that no listed upstream fits any more, after a time of grace.
 * @internal
 */
export class UnlistedTaskWatch {
	readonly #state: ServiceState;
	#timer: Timer | undefined;

	constructor(state: ServiceState) {
		this.#state = state;
	}

	/** Starts the time of grace if a queued task fits no listed upstream. */
	check(): void {
		if (this.#getUnlistedParts().length === 0) {
			return;
		}

		this.#timer ??= this.#state.context.clock.setTimer(() => {
			this.#timer = undefined;
			this.#giveUpUnlisted();
		}, noUpstreamGraceMs);
	}

	/** Stops the timer. */
	close(): void {
		this.#timer?.close();
	}

	#getUnlistedParts(): readonly TaskGroup[] {
		const {queue, shapes} = this.#state;
		return queue.getGroups().filter(({shape}) => !shapes.isListed(shape));
	}

	#giveUpUnlisted(): void {
		for (const part of this.#getUnlistedParts()) {
			this.#giveUpPart(part);
		}
	}

	#giveUpPart(part: TaskGroup): void {
		const {queue, jobs} = this.#state;
		const {job} = part;
		const tasks = queue.removeGroup(part);
		jobs.addQueuedTasks(job, -tasks.length);
		for (const {task} of tasks) {
			task.abandon({kind: 'not_started', detail: 'No listed upstream fits the task any more', isUnreachable: true});
		}

		jobs.removeIfEnded(job);
	}
}
