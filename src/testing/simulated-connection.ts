/**
 * Connections between simulated VMs as TCP makes them: in order, held back by a cut until it heals, silent after a fault.
 */
import {type Clock, type Random} from '../seams/index.js';
import {type SimulatedProcess} from './simulated-process.js';

/** Gets whether nothing goes from one place to another. */
export type IsCut = (from: string, to: string) => boolean;

/** One end of a connection. */
export type SimulatedEnd = {
	readonly vm: string;
	readonly process: SimulatedProcess;
	/** Takes what comes in; set by whoever holds the end. */
	onMessage: (message: unknown) => void;
	/** Called once when the connection ends, by whichever side. */
	onClose: () => void;
	/** Monotonic time of the VM at which something came in last. */
	lastReceived: number;
	isClosed: boolean;
	/** Whether what is sent from here is lost. */
	isSilenced: boolean;
	/** Time at which the last message from here arrives. */
	arrivesAt: number;
	/** What waits for a cut to heal. */
	held: Array<() => void>;
};

/** Options of {@link SimulatedConnection}. */
export type SimulatedConnectionOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly isCut: IsCut;
	/** Gets the time of one way, in milliseconds. */
	readonly getWayMs: (from: string, to: string) => number;
};

/** Longest time after a cut has healed until what was held is sent again, in milliseconds. */
const resendMs = 200;

/** One connection between two VMs. */
export class SimulatedConnection {
	readonly ends: readonly [SimulatedEnd, SimulatedEnd];
	readonly #options: SimulatedConnectionOptions;

	constructor(first: Pick<SimulatedEnd, 'vm' | 'process'>, second: Pick<SimulatedEnd, 'vm' | 'process'>, options: SimulatedConnectionOptions) {
		this.#options = options;
		this.ends = [createEnd(first), createEnd(second)];
	}

	/** Gets whether both ends are closed. */
	isOver(): boolean {
		return this.ends.every(({isClosed, held, process}) => process.isDead() || (isClosed && held.length === 0));
	}

	/**
	 * Sends a message to the other end.
	 * @param from - Own end.
	 * @param message - Message.
	 */
	send(from: SimulatedEnd, message: unknown): void {
		if (!from.isClosed) {
			const to = this.#getOther(from);
			const copy = structuredClone(message);
			this.#carry(from, () => {
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
	 * @param from - Own end.
	 */
	close(from: SimulatedEnd): void {
		if (!from.isClosed) {
			this.tellClosed(from);
			from.isClosed = true;
			from.onClose();
		}
	}

	/**
	 * Tells the other end that this one is closed, as the kernel does for a dead process.
	 * @param from - Closed end.
	 */
	tellClosed(from: SimulatedEnd): void {
		const to = this.#getOther(from);
		this.#carry(from, () => {
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

	/** Sends again what a cut has held, where it has healed. */
	resend(): void {
		for (const from of this.ends) {
			const isHealed = !this.#options.isCut(from.vm, this.#getOther(from).vm);
			if (isHealed && from.held.length > 0) {
				const held = from.held.splice(0);
				from.arrivesAt = Math.max(from.arrivesAt, this.#options.clock.getMonotonicTime() + (this.#options.random.getFloat() * resendMs));
				for (const arrive of held) {
					this.#carry(from, arrive);
				}
			}
		}
	}

	#getOther(end: SimulatedEnd): SimulatedEnd {
		return end === this.ends[0] ? this.ends[1] : this.ends[0];
	}

	#carry(from: SimulatedEnd, arrive: () => void): void {
		const {clock, isCut, getWayMs} = this.#options;
		const to = this.#getOther(from);
		if (from.isSilenced) {
			return;
		}

		if (from.held.length > 0 || isCut(from.vm, to.vm)) {
			from.held.push(arrive);
			return;
		}

		const now = clock.getMonotonicTime();
		from.arrivesAt = Math.max(from.arrivesAt, now + getWayMs(from.vm, to.vm));
		clock.setTimer(arrive, from.arrivesAt - now);
	}
}

function createEnd({vm, process}: Pick<SimulatedEnd, 'vm' | 'process'>): SimulatedEnd {
	return {
		vm,
		process,
		onMessage() {/* Nobody listens yet. */},
		onClose() {/* Nobody listens yet. */},
		lastReceived: process.getMonotonicTime(),
		isClosed: false,
		isSilenced: false,
		arrivesAt: 0,
		held: [],
	};
}
