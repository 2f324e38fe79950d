/**
 * Turns at reading for bodies in many small chunks. Node's parser hands over each chunk by itself, so that one read of 64 KiB in one-byte chunks takes as long as
 * hundreds of ordinary requests. The connections of such bodies are read one after another, and other input is read in between.
 */
import {type Socket} from 'node:net';
import {resumeReading, suspendReading} from './parsed-socket.js';

/** Options of {@link FragmentedBodies}. */
export type FragmentedBodiesOptions = {
	/** Maximum number of such bodies at the same time; 8 by default, of which the first reads together take 0.15 s on a core. */
	readonly maxCount?: number;
	/** Calls a function after the next iteration of the event loop, which reads what has arrived; by default, `setImmediate`. */
	readonly defer?: (callback: () => void) => void;
};

const defaultMaxCount = 8;

/**
 * Iterations of the event loop between two turns. An iteration accepts one new connection, so that with a smaller value callers wait longer behind others that connect; an
 * iteration without input takes microseconds.
 */
const iterationsPerTurn = 16;

/** Holds the connections that receive such bodies. */
export class FragmentedBodies {
	readonly #maxCount: number;
	readonly #defer: (callback: () => void) => void;
	/** Whether each connection may be read until its next chunk arrives. */
	readonly #sockets = new Map<Socket, {isReading: boolean}>();
	/** Connections that wait for their turn. */
	readonly #waiting = new Set<Socket>();
	#isScheduled = false;

	constructor({maxCount = defaultMaxCount, defer = setImmediate}: FragmentedBodiesOptions = {}) {
		this.#maxCount = maxCount;
		this.#defer = defer;
	}

	/** Gets whether no further body can be added. */
	isFull(): boolean {
		return this.#sockets.size >= this.#maxCount;
	}

	/**
	 * Gets whether a connection receives such a body.
	 * @param socket - Connection.
	 */
	has(socket: Socket): boolean {
		return this.#sockets.has(socket);
	}

	/** Gets the connections that receive such bodies. */
	getSockets(): Iterable<Socket> {
		return this.#sockets.keys();
	}

	/**
	 * Adds a connection, which is not read any more until its turn.
	 * @param socket - Connection.
	 */
	add(socket: Socket): void {
		this.#sockets.set(socket, {isReading: false});
		this.#suspend(socket);
	}

	/**
	 * Ends the turn of a connection that receives such a body; does nothing for others.
	 * @param socket - Connection of which a chunk was read.
	 */
	endTurn(socket: Socket): void {
		const state = this.#sockets.get(socket);
		if (state?.isReading) {
			state.isReading = false;
			this.#suspend(socket);
		}
	}

	/**
	 * Removes a connection, which is read as others are again.
	 * @param socket - Connection.
	 */
	remove(socket: Socket): void {
		this.#waiting.delete(socket);
		if (this.#sockets.get(socket)?.isReading === false) {
			resumeReading(socket);
		}

		this.#sockets.delete(socket);
	}

	#suspend(socket: Socket): void {
		suspendReading(socket);
		this.#waiting.add(socket);
		this.#scheduleTurn();
	}

	#scheduleTurn(): void {
		if (!this.#isScheduled && this.#waiting.size > 0) {
			this.#isScheduled = true;
			this.#countDown(iterationsPerTurn);
		}
	}

	#countDown(iterations: number): void {
		if (iterations > 0) {
			this.#defer(() => {
				this.#countDown(iterations - 1);
			});
			return;
		}

		this.#isScheduled = false;
		this.#beginTurn();
	}

	#beginTurn(): void {
		const [next] = this.#waiting;
		if (next !== undefined) {
			this.#waiting.delete(next);
			this.#sockets.get(next)!.isReading = true;
			resumeReading(next);
			this.#scheduleTurn();
		}
	}
}
