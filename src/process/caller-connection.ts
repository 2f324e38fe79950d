/**
 * The connection to the caller of one request.
 */
import {type ServerResponse} from 'node:http';
import {type RouteOptions} from './job-router.js';

/** The caller of one request as an operation's context. The abort signal is created on first use. */
export class CallerConnection implements RouteOptions {
	/** Time for which the operation is retried while its coordinator cannot be reached, in milliseconds. */
	readonly unreachableTimeoutMs: number | undefined;
	readonly #res: ServerResponse;
	#controller: AbortController | undefined;

	constructor(res: ServerResponse, unreachableTimeoutMs?: number) {
		this.#res = res;
		this.unreachableTimeoutMs = unreachableTimeoutMs;
	}

	/** Gets the signal that aborts when the caller disconnects before the answer is written. */
	get signal(): AbortSignal {
		this.#controller ??= this.#createController();
		return this.#controller.signal;
	}

	/**
	 * Gets the connection with a timeout for an unreachable coordinator.
	 * @param timeoutMs - Timeout in milliseconds; `undefined` leaves the timeout unchanged.
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
