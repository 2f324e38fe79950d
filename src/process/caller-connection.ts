/**
 * The connection to the caller of one request.
 */
import {type ServerResponse} from 'node:http';
import {type RouteOptions} from './job-router.js';

/** Tells when the caller of a request is gone; the signal is made only when somebody asks for it. */
export class CallerConnection implements RouteOptions {
	/** Time for which the caller waits for a coordinator that cannot be reached, in milliseconds. */
	readonly unreachableTimeoutMs: number | undefined;
	readonly #res: ServerResponse;
	#controller: AbortController | undefined;

	constructor(res: ServerResponse, unreachableTimeoutMs?: number) {
		this.#res = res;
		this.unreachableTimeoutMs = unreachableTimeoutMs;
	}

	/** Gets the signal that aborts when the caller is gone. */
	get signal(): AbortSignal {
		this.#controller ??= this.#createController();
		return this.#controller.signal;
	}

	/**
	 * Gets the same connection with the time that the caller waits for a coordinator.
	 * @param timeoutMs - Time in milliseconds.
	 */
	withUnreachableTimeout(timeoutMs: number | undefined): CallerConnection {
		return timeoutMs === undefined ? this : new CallerConnection(this.#res, timeoutMs);
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
