/**
 * Knowledge of the receiving end of a job connection whether the sender still waits for its answers. Received bytes are no proof of that: they may have
 * waited in a buffer while the sender gave its requests up. The receiver therefore sends stamps, and the sender echoes the last one that it has received.
 */
import {type Clock} from '../seams/index.js';
import {type ConfirmationAges} from './job-messages.js';
import {type SenderConfirmation} from './peer-network.js';

/** Options of {@link SenderConfirmations}. */
export type SenderConfirmationsOptions = {
	readonly clock: Clock;
	/** Sends a stamp that the sender echoes immediately. */
	readonly sendUrgentStamp: (stamp: number) => void;
	/** Gets the monotonic time in milliseconds at which bytes were last received. */
	readonly getLastReceived: () => number;
};

/** Age that is reported for a process that was never known to wait, in milliseconds. */
const maxReportedAgeMs = 1_000_000;

/**
 * Gets the age that a sender reports with a request.
 * @param getConfirmedAt - Gets the time at which the process was known to wait for which the request is made; `undefined` if it is made for the sender itself.
 * @param now - Monotonic time.
 * @returns Age in milliseconds, 0 for a process that is known to wait now; `undefined` for the sender itself.
 */
export function getReportedAge(getConfirmedAt: (() => number) | undefined, now: number): number | undefined {
	return getConfirmedAt && Math.min(maxReportedAgeMs, Math.max(0, now - getConfirmedAt()));
}

/**
 * Gets the ages that a sender reports with an echo.
 * @param requests - Requests in progress, with the times at which the processes were known to wait for which they are made.
 * @param now - Monotonic time.
 */
export function getReportedAges(requests: Iterable<{readonly id: number | undefined; readonly getConfirmedAt?: () => number}>, now: number): ConfirmationAges | undefined {
	const ages: Array<readonly [number, number]> = [];
	for (const {id, getConfirmedAt} of requests) {
		const ageMs = getReportedAge(getConfirmedAt, now);
		if (id !== undefined && ageMs !== undefined) {
			ages.push([id, ageMs]);
		}
	}

	return ages.length === 0 ? undefined : ages;
}

/** Interval at which an unanswered request for a confirmation is repeated at the earliest, in milliseconds. */
const minRepeatMs = 100;

/**
 * Stamps and echoes of one connection. Its messages arrive in order, so every request that is neither answered nor cancelled was still awaited when
 * the last echoed stamp was sent.
 * @internal
 */
export class SenderConfirmations implements SenderConfirmation {
	readonly #options: SenderConfirmationsOptions;
	#lastStamp: number;
	#urgentStamp = -Infinity;
	#confirmedAt: number;
	/** Monotonic times at which the processes were known to wait whose ages the last echo reported, by request. */
	#reported = new Map<number, number>();
	/** Whether the sender's version echoes no stamps. */
	#isEcholess = false;
	#isClosed = false;
	#reportProgress: (() => void) | undefined;
	#progress: Promise<void>;

	constructor(options: SenderConfirmationsOptions) {
		this.#options = options;
		// The last message of the handshake is sent after this, and the sender waits for it before its first request.
		this.#confirmedAt = options.clock.getMonotonicTime();
		this.#lastStamp = this.#confirmedAt;
		this.#progress = this.#createProgress();
	}

	/**
	 * Gets the monotonic time in milliseconds at which the sender is known to have waited. If its version echoes no stamps, that of the last receipt, as
	 * before there were stamps: a deployment that is being upgraded must go on serving.
	 */
	getConfirmedAt(): number {
		return this.#isEcholess ? Math.max(this.#confirmedAt, this.#options.getLastReceived()) : this.#confirmedAt;
	}

	async requestConfirmation(): Promise<void> {
		if (this.#isClosed) {
			return;
		}

		const now = this.#options.clock.getMonotonicTime();
		if (this.#urgentStamp <= this.#confirmedAt || now - this.#urgentStamp >= minRepeatMs) {
			this.#urgentStamp = this.createStamp();
			this.#options.sendUrgentStamp(this.#urgentStamp);
		}

		await this.#progress;
	}

	/** Creates the stamp of a message that is sent now. */
	createStamp(): number {
		this.#lastStamp = this.#options.clock.getMonotonicTime();
		return this.#lastStamp;
	}

	/**
	 * Gets the confirmation of one request.
	 * @param id - Identifier of the request.
	 * @param signal - Aborts when the request is cancelled; later echoes do not confirm it.
	 */
	getRequestConfirmation(id: number, signal: AbortSignal): SenderConfirmation {
		const getCurrent = (): number => Math.min(this.getConfirmedAt(), this.#reported.get(id) ?? Infinity);
		let lastConfirmedAt: number | undefined;
		signal.addEventListener('abort', () => {
			lastConfirmedAt = getCurrent();
		}, {once: true});
		return {
			getConfirmedAt: () => lastConfirmedAt ?? getCurrent(),
			requestConfirmation: async () => this.requestConfirmation(),
		};
	}

	/**
	 * Adds the stamp that a message of the sender echoes.
	 * @param echo - Stamp; `undefined` if the message echoes none.
	 * @param ages - Ages that the message reports.
	 */
	addEcho(echo: number | undefined, ages: ConfirmationAges = []): void {
		// A request may have echoed the same stamp before; the ages are later.
		if (this.#isNewStamp(echo) || (echo !== undefined && echo === this.#confirmedAt)) {
			const earlier = this.#reported;
			this.#reported = new Map(ages.map(([id, ageMs]) => [id, Math.max(earlier.get(id) ?? -Infinity, echo - ageMs)]));
			this.#confirm(echo);
		} else if (this.#isEcholess) {
			this.#report();
		}
	}

	/**
	 * Adds the stamp that a request echoes. It reports its own age only, so that what is known of the others stays.
	 * @param id - Identifier of the request.
	 * @param echo - Stamp, 0 if the sender has received none; `undefined` if its version echoes none.
	 * @param ageMs - Age that the request reports, in milliseconds.
	 */
	addRequest(id: number, echo: number | undefined, ageMs?: number): void {
		this.#isEcholess = echo === undefined;
		if (this.#isNewStamp(echo)) {
			this.#confirm(echo);
		} else if (this.#isEcholess) {
			this.#report();
		}

		if (ageMs !== undefined) {
			this.#reported.set(id, this.#confirmedAt - ageMs);
		}
	}

	/** Ends all waits, since no further echo can arrive. */
	close(): void {
		this.#isClosed = true;
		this.#report();
	}

	/** Gets whether an echo confirms more than the last one; a stamp that was never sent proves nothing. */
	#isNewStamp(echo: number | undefined): echo is number {
		return echo !== undefined && echo > this.#confirmedAt && echo <= this.#lastStamp;
	}

	#confirm(echo: number): void {
		this.#confirmedAt = echo;
		this.#report();
	}

	#report(): void {
		const reportProgress = this.#reportProgress;
		this.#progress = this.#createProgress();
		reportProgress?.();
	}

	async #createProgress(): Promise<void> {
		return new Promise(resolve => {
			this.#reportProgress = resolve;
		});
	}
}
