/**
 * Records the calls of callers and their answers in the history of a run.
 */
import {type Clock, systemClock} from '../seams/index.js';
import {type History, type SubmitRecord} from '../testing/index.js';
import {type CallResult} from './call.js';
import {type CallObserver, type ObservedCall} from './caller.js';

/** Properties of a request that the history records with each of its calls. */
export type RequestDescription = Pick<SubmitRecord, 'form' | 'isIdempotent' | 'tasks'>;

/** Options of a {@link CallHistory}. */
export type CallHistoryOptions = {
	readonly history: History;
	readonly clock?: Clock;
	/** Gets the name of the entry VM at an address; the address itself by default. */
	readonly getVm?: (address: string) => string;
};

/** Observes callers and records their calls in a {@link History}. */
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
	 * Registers a request before its first call.
	 * @param request - Key of the request.
	 * @param description - Properties of the request.
	 */
	addRequest(request: string, description: RequestDescription): void {
		this.#requests.set(request, description);
	}

	/** Stops recording; calls that are still open count as hanging. */
	close(): void {
		this.#calls.clear();
	}

	/** @internal */
	submitted(observedCall: ObservedCall): void {
		const call = this.#history.getNextCall();
		this.#calls.set(observedCall, call);
		this.#history.addRecord({
			kind: 'submit',
			time: this.#clock.getMonotonicTime(),
			call,
			request: observedCall.request,
			attempt: observedCall.attempt,
			vm: this.#getVm(observedCall.address),
			coordinator: getCoordinatorVm(observedCall.coordinator),
			...this.#requests.get(observedCall.request)!,
		});
	}

	/** @internal */
	ended(observedCall: ObservedCall, result: CallResult): void {
		const call = this.#calls.get(observedCall);
		if (call === undefined) {
			return;
		}

		this.#calls.delete(observedCall);
		const time = this.#clock.getMonotonicTime();
		if (result.kind === 'answered') {
			const {hash, outcome, problemType, tasks} = result;
			this.#history.addRecord({
				kind: 'answer', time, call, outcome, problemType, hash, echoes: tasks.map(task => getEchoedTaskId(task.body)),
			});
		} else if (result.reason !== 'garbled') {
			// A garbled answer is not recorded, so that the checker treats the call as hanging.
			this.#history.addRecord({
				kind: 'no-answer', time, call, reason: result.reason,
			});
		}
	}
}

/** Gets the name of the entry VM in a coordinator token. */
function getCoordinatorVm(token: string): string {
	return token.split('.')[1] ?? token;
}

/** Gets the task id from the answer of an upstream stand-in; `undefined` when there is none. */
function getEchoedTaskId(body: string): string | undefined {
	try {
		const {task} = JSON.parse(body) as {task?: unknown};
		return typeof task === 'string' ? task : undefined;
	} catch {
		return undefined;
	}
}
