/**
 * Keep-alives and detection of silence on a job connection.
 */
import {encodeFrame} from './frame-codec.js';
import {type FrameConnection} from './frame-connection.js';
import {type JobKeepAlive as KeepAliveMessage} from './job-messages.js';

/** Keep-alives sent within the silence timeout of the other end. */
const keepAlivesPerSilence = 4;

/**
 * Factor on the keep-alive interval and the silence timeout while no request is in progress. With a smaller one, keep-alives of idle
 * connections are most of the traffic among tens of entry VMs; with a larger one, the first request over a connection that has gone silent
 * is lost more often.
 */
const idleFactor = 4;

/**
 * Sends keep-alives over one connection and detects when the other end is silent. Both ends track the requests in progress, so both use the
 * same interval.
 * @internal
 */
export class JobKeepAlive {
	readonly #connection: FrameConnection;
	readonly #silenceMs: number;
	readonly #getTimeoutFactor: () => number;
	readonly #getFields: () => Omit<KeepAliveMessage, 'type'>;
	#isBusy = false;
	#silenceStart = 0;
	#lastSent = 0;

	/**
	 * @param connection - Connection to monitor.
	 * @param silenceMs - Time without a received byte after which the other end is silent while requests are in progress, in milliseconds.
	 * @param getFields - Gets the stamp or the echo of the next keep-alive.
	 * @param getTimeoutFactor - Gets the current factor on `silenceMs`.
	 */
	constructor(connection: FrameConnection, silenceMs: number, getFields: () => Omit<KeepAliveMessage, 'type'>, getTimeoutFactor: () => number = () => 1) {
		this.#connection = connection;
		this.#silenceMs = silenceMs;
		this.#getFields = getFields;
		this.#getTimeoutFactor = getTimeoutFactor;
	}

	/**
	 * Sets whether requests are in progress.
	 * @param isBusy - Whether any request waits for its answer.
	 * @param now - Monotonic time.
	 */
	setBusy(isBusy: boolean, now: number): void {
		if (isBusy && !this.#isBusy) {
			// Until now the other end used the longer idle interval.
			this.resetSilenceTimer(now);
		}

		this.#isBusy = isBusy;
	}

	/**
	 * Gets whether nothing was received for longer than the silence timeout.
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
		if (this.isDue(now)) {
			this.sendImmediately(now, this.#getFields());
		}
	}

	/**
	 * Gets whether a keep-alive is due.
	 * @param now - Monotonic time.
	 */
	isDue(now: number): boolean {
		// Buffered bytes serve as a keep-alive.
		return now - this.#lastSent >= this.#getSilenceMs() / keepAlivesPerSilence && this.#connection.getBufferedBytes() === 0;
	}

	/**
	 * Sends a keep-alive although none is due.
	 * @param now - Monotonic time.
	 * @param fields - Its stamp or echo.
	 */
	sendImmediately(now: number, fields: Omit<KeepAliveMessage, 'type'>): void {
		this.#lastSent = now;
		this.#connection.send(encodeFrame({type: 'keep-alive', ...fields}), 'keep-alive');
	}

	/**
	 * Records that a message was sent that serves as a keep-alive, since it carries the same stamp or echo.
	 * @param now - Monotonic time.
	 */
	addSent(now: number): void {
		this.#lastSent = now;
	}

	/**
	 * Resets the silence timer.
	 * @param now - Monotonic time.
	 */
	resetSilenceTimer(now: number): void {
		this.#silenceStart = now;
	}

	#getSilenceMs(): number {
		return this.#isBusy ? this.#silenceMs : this.#silenceMs * idleFactor;
	}
}
