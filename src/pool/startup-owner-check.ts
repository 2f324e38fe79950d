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
const listTimeoutMs = 200;

/** Time in which a VM that takes connections is to be heard, in milliseconds: a handshake and two heartbeats on a busy VM. */
const claimsTimeoutMs = 700;

/** Time after which a VM that neither takes nor refuses a connection counts as gone, in milliseconds. */
const dialTimeoutMs = 200;

/** Finds out at the start of a process whether others may own pools. */
export class StartupOwnerCheck {
	readonly #options: StartupOwnerCheckOptions;
	readonly #startedAt: number;
	#reachable: Set<string> | undefined;
	#pendingDials = 0;
	#vmCount = Infinity;

	constructor(options: StartupOwnerCheckOptions) {
		this.#options = options;
		this.#startedAt = options.clock.getMonotonicTime();
	}

	/**
	 * Sets the registered VMs and tries to connect to each.
	 * @param vms - VMs of the data centre but this one.
	 */
	setVms(vms: readonly RegisteredVm[]): void {
		this.#vmCount = vms.length;
		if (this.#reachable !== undefined) {
			return;
		}

		this.#reachable = new Set();
		this.#pendingDials = vms.length;
		for (const vm of vms) {
			void this.#dial(vm, this.#reachable);
		}
	}

	/** Gets the number of VMs last set; `Infinity` before the first time. */
	getVmCount(): number {
		return this.#vmCount;
	}

	/** Gets whether all VMs that may own the pool have been heard, or had their time. */
	isSettled(): boolean {
		const elapsedMs = this.#options.clock.getMonotonicTime() - this.#startedAt;
		if (elapsedMs >= claimsTimeoutMs) {
			return true;
		}

		if (this.#reachable === undefined) {
			return elapsedMs >= listTimeoutMs;
		}

		return this.#pendingDials === 0 && [...this.#reachable].every(name => this.#options.hasReceivedClaims(name));
	}

	async #dial({name, peerAddress}: RegisteredVm, reachable: Set<string>): Promise<void> {
		const controller = new AbortController();
		const timer = this.#options.clock.setTimer(() => {
			controller.abort();
		}, dialTimeoutMs);
		const result = await this.#options.dial(peerAddress, controller.signal);
		timer.close();
		this.#pendingDials--;
		if (result.ok) {
			result.socket.destroy();
			reachable.add(name);
		}
	}
}
