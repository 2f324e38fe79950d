/**
 * Connections between simulated VMs that behave as TCP: messages arrive in order, wait while the network is cut until it heals, and can be
 * dropped silently after a fault.
 */
import {type Clock, type Random} from '../seams/index.js';
import {type SimulatedProcess} from './simulated-process.js';

/** Returns whether a rule applies to the direction from one host to another, such as whether it is cut. */
export type LinkFilter = (from: string, to: string) => boolean;

/** End of a connection. */
export type SimulatedConnectionEnd = {
	readonly vm: string;
	readonly process: SimulatedProcess;
	/** Receives incoming messages; set by the user of this end. */
	onMessage: (message: unknown) => void;
	/** Called once when the connection is closed by either end or reset. */
	onClose: () => void;
	/** Monotonic time of the VM at which the last message arrived. */
	lastReceived: number;
	isClosed: boolean;
	/** Whether messages from this end are dropped. */
	isSilenced: boolean;
	/** Time at which the last message from this end arrives. */
	arrivesAt: number;
	/** Deliveries that wait until a cut has healed. */
	held: Array<() => void>;
};

/** Options of {@link SimulatedConnection}. */
export type SimulatedConnectionOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly isCut: LinkFilter;
	/** Returns the one-way latency between two VMs, in milliseconds. */
	readonly getOneWayLatencyMs: (from: string, to: string) => number;
};

/** Maximum time after a cut has healed until held messages are sent again, in milliseconds. */
const maxResendDelayMs = 200;

/** Connection between two VMs. */
export class SimulatedConnection {
	readonly ends: readonly [SimulatedConnectionEnd, SimulatedConnectionEnd];
	readonly #options: SimulatedConnectionOptions;

	constructor(first: Pick<SimulatedConnectionEnd, 'vm' | 'process'>, second: Pick<SimulatedConnectionEnd, 'vm' | 'process'>, options: SimulatedConnectionOptions) {
		this.#options = options;
		this.ends = [createEnd(first), createEnd(second)];
	}

	/** Gets whether each end is dead, or closed with nothing left to send. */
	isFinished(): boolean {
		return this.ends.every(({isClosed, held, process}) => process.isDead() || (isClosed && held.length === 0));
	}

	/**
	 * Sends a message to the other end.
	 * @param from - Sending end.
	 * @param message - Message.
	 */
	send(from: SimulatedConnectionEnd, message: unknown): void {
		if (!from.isClosed) {
			const to = this.#getOther(from);
			const copy = structuredClone(message);
			this.#transmit(from, () => {
				to.process.dispatch(() => {
					if (!to.isClosed) {
						to.lastReceived = to.process.getMonotonicTime();
						to.onMessage(copy);
					}
				});
			});
		}
	}

	/**
	 * Closes the connection.
	 * @param from - Closing end.
	 */
	close(from: SimulatedConnectionEnd): void {
		if (!from.isClosed) {
			this.sendClose(from);
			from.isClosed = true;
			from.onClose();
		}
	}

	/**
	 * Sends the close to the other end only, as the kernel does for a dead process.
	 * @param from - Closed end.
	 */
	sendClose(from: SimulatedConnectionEnd): void {
		const to = this.#getOther(from);
		this.#transmit(from, () => {
			to.process.dispatch(() => {
				if (!to.isClosed) {
					to.isClosed = true;
					to.onClose();
				}
			});
		});
	}

	/** Resets both ends. */
	reset(): void {
		for (const end of this.ends) {
			end.held = [];
			end.process.dispatch(() => {
				if (!end.isClosed) {
					end.isClosed = true;
					end.onClose();
				}
			});
		}
	}

	/** Sends the held messages in the directions whose cut has healed. */
	resend(): void {
		for (const from of this.ends) {
			const isHealed = !this.#options.isCut(from.vm, this.#getOther(from).vm);
			if (isHealed && from.held.length > 0) {
				const heldMessages = from.held.splice(0);
				from.arrivesAt = Math.max(from.arrivesAt, this.#options.clock.getMonotonicTime() + (this.#options.random.getFloat() * maxResendDelayMs));
				for (const deliver of heldMessages) {
					this.#transmit(from, deliver);
				}
			}
		}
	}

	#getOther(end: SimulatedConnectionEnd): SimulatedConnectionEnd {
		return end === this.ends[0] ? this.ends[1] : this.ends[0];
	}

	#transmit(from: SimulatedConnectionEnd, deliver: () => void): void {
		const {clock, isCut, getOneWayLatencyMs} = this.#options;
		const to = this.#getOther(from);
		if (from.isSilenced) {
			return;
		}

		if (from.held.length > 0 || isCut(from.vm, to.vm)) {
			from.held.push(deliver);
			return;
		}

		const now = clock.getMonotonicTime();
		from.arrivesAt = Math.max(from.arrivesAt, now + getOneWayLatencyMs(from.vm, to.vm));
		clock.setTimer(deliver, from.arrivesAt - now);
	}
}

function createEnd({vm, process}: Pick<SimulatedConnectionEnd, 'vm' | 'process'>): SimulatedConnectionEnd {
	return {
		vm,
		process,
		onMessage() {/* No handler is set yet. */},
		onClose() {/* No handler is set yet. */},
		lastReceived: process.getMonotonicTime(),
		isClosed: false,
		isSilenced: false,
		arrivesAt: 0,
		held: [],
	};
}
