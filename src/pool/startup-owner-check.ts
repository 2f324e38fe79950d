/**
 * Check for other VMs of the data centre that may own its pool when a process starts. After a restart of all VMs at about the same time, the
 * first one that is up takes the pool over immediately, and the others receive its claim before they would take the pool from it.
 */
import {type Dial} from '../connection/index.js';
import {type Clock} from '../seams/index.js';

/** Registered VM of the data centre. */
export type RegisteredVm = {
	readonly name: string;
	readonly peerAddress: string;
};

/** Options of {@link StartupOwnerCheck}. */
export type StartupOwnerCheckOptions = {
	readonly clock: Clock;
	readonly dial: Dial;
	/** Gets whether the pools that a VM claims were received over a link. */
	readonly hasReportedPools: (name: string) => boolean;
};

/** Time limit for reading the registered VMs, in milliseconds: a few answers of the store. */
const listTimeoutMs = 200;

/** Time limit for the claims of a VM that accepts connections, in milliseconds: a handshake and two heartbeats on a busy VM. */
const claimsTimeoutMs = 700;

/** Time after which a VM that neither accepts nor refuses a connection counts as down, in milliseconds. */
const dialTimeoutMs = 200;

/** Checks at the start of a process whether other VMs may own the pool. */
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
	 * Sets the registered VMs. The first call also tries to connect to each of them.
	 * @param vms - Registered VMs of the data centre except this one.
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

	/** Gets the number of VMs that were last set; `Infinity` before the first time. */
	getVmCount(): number {
		return this.#vmCount;
	}

	/** Gets whether the claims of all reachable VMs were received, or the time limit has passed. */
	isSettled(): boolean {
		const elapsedMs = this.#options.clock.getMonotonicTime() - this.#startedAt;
		if (elapsedMs >= claimsTimeoutMs) {
			return true;
		}

		if (this.#reachable === undefined) {
			return elapsedMs >= listTimeoutMs;
		}

		return this.#pendingDials === 0 && [...this.#reachable].every(name => this.#options.hasReportedPools(name));
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
