/**
 * Signs of life on a job connection.
 */
import {encodeFrame} from './frame-codec.js';
import {type FrameConnection} from './frame-connection.js';

/** Keep-alives sent in the time after which the other end gives the connection up. */
const keepAlivesPerSilence = 4;

const keepAliveFrame = encodeFrame({type: 'keep-alive'});

/**
 * Sends keep-alives over one connection and tells when the other end has gone silent.
 * @internal
 */
export class JobKeepAlive {
	readonly #connection: FrameConnection;
	readonly #silenceMs: number;
	#silentFrom = 0;
	#lastSent = 0;

	/**
	 * @param connection - Connection to watch.
	 * @param silenceMs - Time without a byte after which the other end counts as silent.
	 */
	constructor(connection: FrameConnection, silenceMs: number) {
		this.#connection = connection;
		this.#silenceMs = silenceMs;
	}

	/**
	 * Gets whether nothing came in for too long.
	 * @param now - Monotonic time up to which silence is measured.
	 */
	isSilent(now: number): boolean {
		return now - Math.max(this.#connection.getLastReceived(), this.#silentFrom) > this.#silenceMs;
	}

	/**
	 * Sends a keep-alive if one is due.
	 * @param now - Monotonic time.
	 */
	send(now: number): void {
		// What waits to be sent serves as one.
		if (now - this.#lastSent < this.#silenceMs / keepAlivesPerSilence || this.#connection.getBufferedBytes() > 0) {
			return;
		}

		this.#lastSent = now;
		this.#connection.send(keepAliveFrame);
	}

	/**
	 * Starts the time of silence anew.
	 * @param now - Monotonic time.
	 */
	restart(now: number): void {
		this.#silentFrom = now;
	}
}
