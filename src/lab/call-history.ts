/**
 * Writes what callers send and are told into the record of a run.
 */
import {type Clock, systemClock} from '../seams/index.js';
import {type History, type SubmitRecord} from '../testing/index.js';
import {type CallResult} from './call.js';
import {type CallObserver, type ObservedCall} from './caller.js';

/** What the record says of a request besides its calls. */
export type RequestDescription = Pick<SubmitRecord, 'form' | 'isIdempotent' | 'tasks'>;

/** Options of a {@link CallHistory}. */
export type CallHistoryOptions = {
	readonly history: History;
	readonly clock?: Clock;
	/** Gets the entry VM behind an address. */
	readonly getVm?: (address: string) => string;
};

/** Observes callers for a {@link History}. */
export class CallHistory implements CallObserver {
	readonly #history: History;
	readonly #clock: Clock;
	readonly #getVm: (address: string) => string;
	readonly #requests = new Map<string, RequestDescription>();
	readonly #calls = new Map<ObservedCall, number>();

	constructor(options: CallHistoryOptions) {
		this.#history = options.history;
		this.#clock = options.clock ?? systemClock;
		this.#getVm = options.getVm ?? (address => address);
	}

	/**
	 * Adds a request before its first call.
	 * @param request - Key of the request.
	 * @param description - What it consists of.
	 */
	addRequest(request: string, description: RequestDescription): void {
		this.#requests.set(request, description);
	}

	/** Ends the record of calls; those that are still open then count as hanging. */
	close(): void {
		this.#calls.clear();
	}

	/** @internal */
	submitted(observed: ObservedCall): void {
		const call = this.#history.getNextCall();
		this.#calls.set(observed, call);
		this.#history.addRecord({
			kind: 'submit',
			time: this.#clock.getMonotonicTime(),
			call,
			request: observed.request,
			attempt: observed.attempt,
			vm: this.#getVm(observed.address),
			coordinator: getCoordinatorVm(observed.coordinator),
			...this.#requests.get(observed.request)!,
		});
	}

	/** @internal */
	ended(observed: ObservedCall, result: CallResult): void {
		const call = this.#calls.get(observed);
		if (call === undefined) {
			return;
		}

		this.#calls.delete(observed);
		const time = this.#clock.getMonotonicTime();
		if (result.kind === 'answered') {
			const {hash, outcome, problemType, tasks} = result;
			this.#history.addRecord({
				kind: 'answer', time, call, outcome, problemType, hash, echoes: tasks.map(task => getEcho(task.body)),
			});
		} else if (result.reason !== 'garbled') {
			// A garbled answer stays out, so that the checker counts the call as one that hangs.
			this.#history.addRecord({
				kind: 'no-answer', time, call, reason: result.reason,
			});
		}
	}
}

/** Gets the entry VM that a coordinator token names. */
function getCoordinatorVm(token: string): string {
	return token.split('.')[1] ?? token;
}

/** Gets the task id that an upstream stand-in answered with. */
function getEcho(body: string): string | undefined {
	try {
		const {task} = JSON.parse(body) as {task?: unknown};
		return typeof task === 'string' ? task : undefined;
	} catch {
		return undefined;
	}
}
