/**
 * Which VMs of the own data centre may own its pool when a process starts. Answers a restart of all VMs at about the same time:
 * the first one up takes the pool at once, and the others hear of it before they would take it from it.
 */
import {type Dial} from '../connection/index.js';
import {type Clock} from '../seams/index.js';

/** A registered VM of the data centre. */
export type RegisteredVm = {
	readonly name: string;
	readonly peerAddress: string;
};

/** Options of {@link StartupOwnerCheck}. */
export type StartupOwnerCheckOptions = {
	readonly clock: Clock;
	readonly dial: Dial;
	/** Gets whether a VM's pools have been heard of over a link. */
	readonly hasReceivedClaims: (name: string) => boolean;
};

/** Time in which the registered VMs are to be read, in milliseconds: a few answers of the store. */
const listMs = 200;

/** Time in which a VM that takes connections is to be heard, in milliseconds: a handshake and two heartbeats on a busy VM. */
const hearMs = 700;

/** Time after which a VM that neither takes nor refuses a connection counts as gone, in milliseconds. */
const dialMs = 200;

/** Finds out at the start of a process whether others may own pools. */
export class StartupOwnerCheck {
	readonly #options: StartupOwnerCheckOptions;
	readonly #startedAt: number;
	#live: Set<string> | undefined;
	#pending = 0;
	#count = Infinity;

	constructor(options: StartupOwnerCheckOptions) {
		this.#options = options;
		this.#startedAt = options.clock.getMonotonicTime();
	}

	/**
	 * Sets the registered VMs and tries to connect to each.
	 * @param neighbours - VMs of the data centre but this one.
	 */
	setVms(neighbours: readonly RegisteredVm[]): void {
		this.#count = neighbours.length;
		if (this.#live !== undefined) {
			return;
		}

		this.#live = new Set();
		this.#pending = neighbours.length;
		for (const neighbour of neighbours) {
			void this.#try(neighbour, this.#live);
		}
	}

	/** Gets the number of VMs last set; `Infinity` before the first time. */
	getVmCount(): number {
		return this.#count;
	}

	/** Gets whether all VMs that may own the pool have been heard, or had their time. */
	isSettled(): boolean {
		const elapsedMs = this.#options.clock.getMonotonicTime() - this.#startedAt;
		if (elapsedMs >= hearMs) {
			return true;
		}

		if (this.#live === undefined) {
			return elapsedMs >= listMs;
		}

		return this.#pending === 0 && [...this.#live].every(name => this.#options.hasReceivedClaims(name));
	}

	async #try({name, peerAddress}: RegisteredVm, live: Set<string>): Promise<void> {
		const controller = new AbortController();
		const timer = this.#options.clock.setTimer(() => {
			controller.abort();
		}, dialMs);
		const result = await this.#options.dial(peerAddress, controller.signal);
		timer.close();
		this.#pending--;
		if (result.ok) {
			result.socket.destroy();
			live.add(name);
		}
	}
}
