/**
 * When the owner of a pool tells the others of its load between heartbeats. Answers short bursts: tasks last as long as a few
 * heartbeats only, so that room elsewhere would be taken too late or not at all.
 */
import {type Clock, type Timer} from '../seams/index.js';
import {type PoolView} from './pool-choice.js';
import {type PoolLoad} from './pool-scheduler.js';

/** Options of {@link LoadPublisher}. */
export type LoadPublisherOptions = {
	readonly clock: Clock;
	/** Gets whether work waits in the pool. */
	readonly hasQueue: () => boolean;
	/** Gets the load; `undefined` where the pool is owned here no more. */
	readonly getLoad: () => PoolLoad | undefined;
	/** Gets the other pools. */
	readonly getOtherPools: () => readonly PoolView[];
	readonly send: (pool: string, load: PoolLoad) => void;
};

/** Least time between two tellings, in milliseconds: a fraction of the shortest task. */
const minPublishIntervalMs = 10;

/** Messages a second to all others together, which bounds them to a few hundredths of a core among many pools. */
const maxMessagesPerSecond = 300;

/** Tells the others when work begins to wait here, and when room comes free here while work waits there. */
export class LoadPublisher {
	readonly #options: LoadPublisherOptions;
	#lastCheckedAt = -Infinity;
	#publishIntervalMs = minPublishIntervalMs;
	#timer: Timer | undefined;
	#hadQueue = false;

	constructor(options: LoadPublisherOptions) {
		this.#options = options;
	}

	/** Tells what has changed, now or soon. */
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
		const {clock, getLoad, getOtherPools, hasQueue, send} = this.#options;
		this.#lastCheckedAt = clock.getMonotonicTime();
		const isQueueing = hasQueue();
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
