/**
 * Signs of life on a job connection.
 */
import {encodeFrame} from './frame-codec.js';
import {type FrameConnection} from './frame-connection.js';

/** Keep-alives sent in the time after which the other end gives the connection up. */
const keepAlivesPerSilence = 4;

/**
 * Factor on all times while no request waits for its answer. Smaller, keep-alives of idle connections are most of what tens of entry VMs send;
 * larger, the first request over a connection that went silent meanwhile is lost more often.
 */
const idleFactor = 4;

const keepAliveFrame = encodeFrame({type: 'keep-alive'});

/**
 * Sends keep-alives over one connection and tells when the other end has gone silent. Both ends know of each request that waits for its
 * answer, so that both keep the same pace.
 * @internal
 */
export class JobKeepAlive {
	readonly #connection: FrameConnection;
	readonly #silenceMs: number;
	readonly #getTimeoutFactor: () => number;
	#isBusy = false;
	#silenceStart = 0;
	#lastSent = 0;

	/**
	 * @param connection - Connection to watch.
	 * @param silenceMs - Time without a byte after which the other end counts as silent while requests wait.
	 * @param getTimeoutFactor - Gets the factor on that time now.
	 */
	constructor(connection: FrameConnection, silenceMs: number, getTimeoutFactor: () => number = () => 1) {
		this.#connection = connection;
		this.#silenceMs = silenceMs;
		this.#getTimeoutFactor = getTimeoutFactor;
	}

	/**
	 * Sets whether requests wait for their answers.
	 * @param isBusy - Whether any waits.
	 * @param now - Monotonic time.
	 */
	setBusy(isBusy: boolean, now: number): void {
		if (isBusy && !this.#isBusy) {
			// Until now the other end kept the slow pace.
			this.resetSilenceTimer(now);
		}

		this.#isBusy = isBusy;
	}

	/**
	 * Gets whether nothing came in for too long.
	 * @param now - Monotonic time up to which silence is measured.
	 */
	isSilent(now: number): boolean {
		return now - Math.max(this.#connection.getLastReceived(), this.#silenceStart) > this.#getSilenceMs() * this.#getTimeoutFactor();
	}

	/**
	 * Sends a keep-alive if one is due.
	 * @param now - Monotonic time.
	 */
	send(now: number): void {
		// What waits to be sent serves as one.
		if (now - this.#lastSent < this.#getSilenceMs() / keepAlivesPerSilence || this.#connection.getBufferedBytes() > 0) {
			return;
		}

		this.#lastSent = now;
		this.#connection.send(keepAliveFrame);
	}

	/**
	 * Starts the time of silence anew.
	 * @param now - Monotonic time.
	 */
	resetSilenceTimer(now: number): void {
		this.#silenceStart = now;
	}

	#getSilenceMs(): number {
		return this.#isBusy ? this.#silenceMs : this.#silenceMs * idleFactor;
	}
}
