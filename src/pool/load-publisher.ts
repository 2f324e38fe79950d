/**
 * Publishing of a pool's load to the other owners between heartbeats. Tasks last only as long as a few heartbeats, so that without it free
 * capacity elsewhere would be used too late or not at all in short bursts.
 */
import {type PoolView} from '../scheduling/index.js';
import {type Clock, type Timer} from '../seams/index.js';
import {type PoolLoad} from './pool-scheduler.js';

/** Options of {@link LoadPublisher}. */
export type LoadPublisherOptions = {
	readonly clock: Clock;
	/** Gets whether tasks are queued in the pool. */
	readonly hasQueuedTasks: () => boolean;
	/** Gets the load; `undefined` if the pool is no longer owned here. */
	readonly getLoad: () => PoolLoad | undefined;
	/** Gets the other pools. */
	readonly getOtherPools: () => readonly PoolView[];
	/** Sends the load to the owner of another pool. */
	readonly send: (pool: string, load: PoolLoad) => void;
};

/** Minimum interval between two updates, in milliseconds: a fraction of the shortest task. */
const minPublishIntervalMs = 10;

/** Maximum number of messages per second to all other pools together, which limits their cost to a few hundredths of a core among many pools. */
const maxMessagesPerSecond = 300;

/** Publishes the load when a queue forms here, and when capacity becomes free here while another pool has a queue. */
export class LoadPublisher {
	readonly #options: LoadPublisherOptions;
	#lastCheckedAt = -Infinity;
	#publishIntervalMs = minPublishIntervalMs;
	#timer: Timer | undefined;
	#hadQueue = false;

	constructor(options: LoadPublisherOptions) {
		this.#options = options;
	}

	/** Publishes changes of the load immediately, or once the minimum interval has passed. */
	publish(): void {
		const {clock} = this.#options;
		if (this.#timer !== undefined) {
			return;
		}

		const dueInMs = this.#lastCheckedAt + this.#publishIntervalMs - clock.getMonotonicTime();
		if (dueInMs <= 0) {
			this.#publishIfChanged();
			return;
		}

		this.#timer = clock.setTimer(() => {
			this.#timer = undefined;
			this.#publishIfChanged();
		}, dueInMs);
	}

	#publishIfChanged(): void {
		const {clock, getLoad, getOtherPools, hasQueuedTasks, send} = this.#options;
		this.#lastCheckedAt = clock.getMonotonicTime();
		const isQueueing = hasQueuedTasks();
		const hasQueueFormed = isQueueing && !this.#hadQueue;
		this.#hadQueue = isQueueing;
		const otherPools = getOtherPools();
		this.#publishIntervalMs = Math.max(minPublishIntervalMs, otherPools.length * 1000 / maxMessagesPerSecond);
		if (!hasQueueFormed && otherPools.every(({queuedWork}) => queuedWork === 0)) {
			return;
		}

		const load = getLoad();
		if (load === undefined) {
			return;
		}

		for (const {pool, queuedWork} of otherPools) {
			if (hasQueueFormed || (load.rooms.length > 0 && queuedWork > 0)) {
				send(pool, load);
			}
		}
	}
}
