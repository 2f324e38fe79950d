/**
 * The connection to the caller of one request.
 */
import {type ServerResponse} from 'node:http';
import {type RouteOptions} from './job-router.js';

/** Tells when the caller of a request is gone; the signal is made only when somebody asks for it. */
export class CallerConnection implements RouteOptions {
	/** Time for which the caller waits for a coordinator that cannot be reached, in milliseconds. */
	readonly patienceMs: number | undefined;
	readonly #res: ServerResponse;
	#controller: AbortController | undefined;

	constructor(res: ServerResponse, patienceMs?: number) {
		this.#res = res;
		this.patienceMs = patienceMs;
	}

	/** Gets the signal that aborts when the caller is gone. */
	get signal(): AbortSignal {
		this.#controller ??= this.#createController();
		return this.#controller.signal;
	}

	/**
	 * Gets the same connection with the time that the caller waits for a coordinator.
	 * @param patienceMs - Time in milliseconds.
	 */
	withUnreachableTimeout(patienceMs: number | undefined): CallerConnection {
		return patienceMs === undefined ? this : new CallerConnection(this.#res, patienceMs);
	}

	#createController(): AbortController {
		const controller = new AbortController();
		const res = this.#res;
		if (res.destroyed) {
			controller.abort();
		}

		res.once('close', () => {
			if (!res.writableFinished) {
				controller.abort();
			}
		});
		return controller;
	}
}
