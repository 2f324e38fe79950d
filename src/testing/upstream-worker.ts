/**
 * Runs an upstream stand-in in a worker thread, so that it takes no processor time from the measured thread.
 */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import {type UpstreamFaults} from './upstream-faults.js';
import {type UpstreamCounts, type UpstreamRecordEntry} from './upstream-record.js';

/** Options of an {@link UpstreamWorker}. */
export type UpstreamWorkerOptions = {
	readonly name?: string;
	readonly slots?: number;
	/** Run time in milliseconds of a task whose request has none. */
	readonly runMs?: number;
	/** Whether starts and ends are kept; otherwise they are only counted. */
	readonly isRecording?: boolean;
	/** Node.js arguments of the thread. */
	readonly execArgv?: readonly string[];
};

/** Start parameters of the thread. @internal */
export type UpstreamWorkerData = Required<Omit<UpstreamWorkerOptions, 'execArgv'>>;

/** A command to the thread. @internal */
export type UpstreamWorkerRequest = {
	readonly id: number;
	readonly command: 'state' | 'record' | 'faults' | 'close';
	readonly faults?: Partial<UpstreamFaults>;
};

/** The thread's answer to a command. @internal */
export type UpstreamWorkerReply = {
	readonly id: number;
	readonly address: string;
	readonly counts: UpstreamCounts;
	readonly record: readonly UpstreamRecordEntry[];
};

const defaultSlots = 8;

/** Controls an upstream stand-in in a worker thread. */
export class UpstreamWorker {
	readonly #worker: Worker;
	readonly #pendingReplies = new Map<number, (reply: UpstreamWorkerReply) => void>();
	#nextId = 0;

	/** @internal */
	constructor(worker: Worker) {
		this.#worker = worker;
		worker.on('message', (reply: UpstreamWorkerReply) => {
			this.#pendingReplies.get(reply.id)?.(reply);
			this.#pendingReplies.delete(reply.id);
		});
	}

	/** Gets the address as `IP:port`. */
	async getAddress(): Promise<string> {
		const reply = await this.#sendRequest('state');
		return reply.address;
	}

	/** Gets the counters. */
	async getCounts(): Promise<UpstreamCounts> {
		const reply = await this.#sendRequest('state');
		return reply.counts;
	}

	/** Gets the kept starts, ends and refusals, oldest first. */
	async getRecord(): Promise<readonly UpstreamRecordEntry[]> {
		const reply = await this.#sendRequest('record');
		return reply.record;
	}

	/**
	 * Changes some of the faults.
	 * @param faults - Faults to change.
	 */
	async setFaults(faults: Partial<UpstreamFaults>): Promise<void> {
		await this.#sendRequest('faults', faults);
	}

	/** Closes the upstream and ends the thread. */
	async close(): Promise<void> {
		const exited = once(this.#worker, 'exit');
		await this.#sendRequest('close');
		await exited;
	}

	async #sendRequest(command: UpstreamWorkerRequest['command'], faults?: Partial<UpstreamFaults>): Promise<UpstreamWorkerReply> {
		const id = this.#nextId++;
		return new Promise(resolve => {
			this.#pendingReplies.set(id, resolve);
			this.#worker.postMessage({id, command, faults} satisfies UpstreamWorkerRequest);
		});
	}
}

/**
 * Creates an upstream stand-in in a worker thread.
 * @param options - Name, slots and run time.
 */
export function createUpstreamWorker(options: UpstreamWorkerOptions = {}): UpstreamWorker {
	const data: UpstreamWorkerData = {
		name: options.name ?? 'upstream',
		slots: options.slots ?? defaultSlots,
		runMs: options.runMs ?? 0,
		isRecording: options.isRecording ?? false,
	};
	const extension = import.meta.url.endsWith('.ts') ? 'ts' : 'js';
	const entry = new URL(`upstream-worker-main.${extension}`, import.meta.url);
	return new UpstreamWorker(new Worker(entry, {workerData: data, execArgv: options.execArgv?.slice()}));
}
