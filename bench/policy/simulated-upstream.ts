import {type ListedUpstream, upstreamSchema} from '../../src/platform/index.js';
import {type TaskEnd} from '../../src/process/index.js';
import {type Clock} from '../../src/seams/index.js';

/** Fault that an upstream simulates. */
export type UpstreamFault = 'none' | 'black-hole' | 'straggler';

/** Time after which a black hole fails a task, in milliseconds. */
const blackHoleMs = 2;

const stragglerFactor = 5;

/** Simulates an upstream by timers; tasks in excess of its slots wait in its own FIFO queue. */
export class SimulatedUpstream {
	readonly listed: ListedUpstream;
	readonly #clock: Clock;
	readonly #fault: UpstreamFault;
	readonly #waiting: Array<() => void> = [];
	#running = 0;

	constructor(name: string, slots: number, fault: UpstreamFault, clock: Clock) {
		this.#clock = clock;
		this.#fault = fault;
		this.listed = upstreamSchema.parse({
			kind: 'upstream', name, dataCenter: 'a', state: 'live', service: 'seats', address: '127.0.0.1:1', slots, connections: 64,
		});
	}

	/** Gets the number of running and waiting tasks. */
	getOutstanding(): number {
		return this.#running + this.#waiting.length;
	}

	/**
	 * Runs a task.
	 * @param durationMs - Duration without a fault, in milliseconds.
	 */
	async run(durationMs: number): Promise<TaskEnd> {
		return new Promise(resolve => {
			const start = (): void => {
				this.#running++;
				this.#clock.setTimer(() => {
					this.#running--;
					this.#waiting.shift()?.();
					resolve(this.#fault === 'black-hole' ? {kind: 'failed', detail: 'status 500'} : {kind: 'answered', status: 200});
				}, this.#getDuration(durationMs));
			};

			if (this.#running < this.listed.slots) {
				start();
			} else {
				this.#waiting.push(start);
			}
		});
	}

	#getDuration(durationMs: number): number {
		switch (this.#fault) {
			case 'none': {
				return durationMs;
			}

			case 'black-hole': {
				return blackHoleMs;
			}

			case 'straggler': {
				return durationMs * stragglerFactor;
			}
		}
	}
}
