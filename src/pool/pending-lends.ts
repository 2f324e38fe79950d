/**
 * Requests to run a task for another pool whose borrower is not known to wait: it may count the task as lost and start it elsewhere.
 */
import {
	createImmediateProgress, type InputProgress, readInput, type SenderConfirmation,
} from '../connection/index.js';
import {type Clock, sleep} from '../seams/index.js';
import {maxUnreadMs} from './sender-confirmation.js';
import {type Run} from './upstream-orders.js';

/** Options of {@link PendingLends}. */
export type PendingLendsOptions = {
	readonly clock: Clock;
	/** Gets the monotonic time since which a borrower must have been confirmed for a start. */
	readonly getConfirmedSince: () => number;
	/** Up to when this process has read its input; by default, it reads everything as it arrives. */
	readonly inputProgress?: InputProgress;
};

/** Task that waits, and who asked for it. */
type PendingLend = {
	readonly pool: string;
	readonly run: Run;
	readonly confirmation: SenderConfirmation;
	/** Aborts when the borrower disconnects. */
	readonly signal: AbortSignal;
};

/** Time for which a task waits for a confirmation, in milliseconds. With a smaller value, tasks are refused that could start; a larger one keeps them from other pools. */
const maxWaitMs = 300;

/** Number of confirmations that are requested for one task: the first may have been sent before a pause that is detected after it. */
const maxRequests = 3;

/** Holds requests for tasks until their borrowers confirm that they wait. */
export class PendingLends {
	readonly #options: PendingLendsOptions;
	readonly #inputProgress: InputProgress;
	/** Waiting requests with the controllers that end their waits. */
	readonly #controllers = new Map<PendingLend, AbortController>();

	constructor(options: PendingLendsOptions) {
		this.#options = options;
		this.#inputProgress = options.inputProgress ?? createImmediateProgress(options.clock);
	}

	/**
	 * Gets whether a borrower is known to wait, and no stop or recall of its task can be unread.
	 * @param confirmation - Confirmations of the borrower.
	 */
	isConfirmed(confirmation: SenderConfirmation): boolean {
		const unreadMs = this.#options.clock.getMonotonicTime() - this.#inputProgress.getReadUntil();
		return unreadMs <= maxUnreadMs && this.#isWaiting(confirmation);
	}

	/**
	 * Waits until a borrower confirms that it waits.
	 * @param lend - Task that waits.
	 * @returns Whether it did within the time limit, and the task was neither stopped nor recalled meanwhile.
	 */
	async waitForConfirmation(lend: PendingLend): Promise<boolean> {
		const controller = new AbortController();
		this.#controllers.set(lend, controller);
		const timeout = sleep(this.#options.clock, maxWaitMs, controller.signal);
		const end = (): void => {
			controller.abort();
		};

		lend.signal.addEventListener('abort', end, {once: true});
		const isConfirmed = await Promise.race([this.#requestConfirmations(lend), this.#failAfter(timeout)]);
		const isCancelled = controller.signal.aborted;
		lend.signal.removeEventListener('abort', end);
		this.#controllers.delete(lend);
		end();
		return isConfirmed && !isCancelled;
	}

	/**
	 * Ends the waits of tasks, which are then refused.
	 * @param pool - Pool of the tasks.
	 * @param isAffected - Selects the tasks.
	 */
	cancel(pool: string, isAffected: (run: Run) => boolean): void {
		for (const [lend, controller] of this.#controllers) {
			if (lend.pool === pool && isAffected(lend.run)) {
				controller.abort();
			}
		}
	}

	async #requestConfirmations({confirmation, signal}: PendingLend): Promise<boolean> {
		await readInput(this.#inputProgress, this.#options.clock, maxUnreadMs);
		for (let requests = 0; requests < maxRequests && !signal.aborted && !this.#isWaiting(confirmation); requests++) {
			await confirmation.requestConfirmation();
		}

		return this.#isWaiting(confirmation);
	}

	#isWaiting(confirmation: SenderConfirmation): boolean {
		return confirmation.getConfirmedAt() >= this.#options.getConfirmedSince();
	}

	async #failAfter(timeout: Promise<void>): Promise<boolean> {
		await timeout;
		return false;
	}
}
