/**
 * Connections of callers that send given bytes, stay open, and come back at once when they are closed.
 */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import {setTimeout as delay} from 'node:timers/promises';
import {tsWorkerExecArgv} from '../support/ts-worker.js';

/** What a crowd does. */
export type CrowdSettings = {
	readonly ip: string;
	readonly port: number;
	readonly connectionCount: number;
	readonly bytes: Uint8Array;
	/** Connections that are opened in all. */
	readonly maxAttempts: number;
};

/** What a crowd has met so far. */
export type CrowdState = {
	/** Connections opened. */
	readonly attempts: number;
	/** Answers with status 503. */
	readonly refusals: number;
	/** Connections closed. */
	readonly closed: number;
};

const pollMs = 100;

/** Opens the connections in a thread of its own and opens others in the place of closed ones until `close`. */
export class ReturningCrowd {
	readonly #worker: Worker;

	constructor(settings: CrowdSettings) {
		this.#worker = new Worker(new URL('returning-crowd-worker.ts', import.meta.url), {workerData: settings, execArgv: [...tsWorkerExecArgv]});
	}

	/** Gets what the crowd has met so far. */
	async getState(): Promise<CrowdState> {
		this.#worker.postMessage('state');
		const [state] = await once(this.#worker, 'message') as [CrowdState];
		return state;
	}

	/**
	 * Waits until a number of connections has been opened.
	 * @param attempts - Number of connections.
	 */
	async waitForAttempts(attempts: number): Promise<void> {
		for (let state = await this.getState(); state.attempts < attempts; state = await this.getState()) {
			await delay(pollMs);
		}
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		this.#worker.postMessage('close');
		await once(this.#worker, 'exit');
	}
}
