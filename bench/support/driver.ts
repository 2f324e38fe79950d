/**
 * Sends requests from a worker thread, so that callers take no time from the thread that is measured.
 */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import {workerExecArgv} from './worker-exec-argv.js';

/** What a driver does. */
export type DriverOptions = {
	/** Address that the requests go to. */
	readonly address: string;
	readonly method: 'POST';
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
	/** Requests that are on their way at the same time. */
	readonly concurrency: number;
	readonly warmUpMs: number;
	readonly measureMs: number;
};

/** What a driver saw while it measured. */
export type DriverResult = {
	readonly completed: number;
	/** Answers that were not 200. */
	readonly failed: number;
	readonly seconds: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
};

/** A phase of a driver's run. */
export type DriverMessage = {readonly kind: 'begin'} | {readonly kind: 'end'; readonly result: DriverResult};

/**
 * Runs a driver in a thread of its own.
 * @param options - What to send.
 * @param measure - Called when the measured time begins and when it ends.
 */
export async function runDriver(options: DriverOptions, measure: () => Promise<void>): Promise<DriverResult> {
	const extension = import.meta.url.endsWith('.ts') ? 'ts' : 'js';
	const worker = new Worker(new URL(`driver-main.${extension}`, import.meta.url), {workerData: options, execArgv: [...workerExecArgv]});
	const exited = once(worker, 'exit');
	const [begin] = await once(worker, 'message') as [DriverMessage];
	await measure();
	const [end] = await once(worker, 'message') as [DriverMessage];
	await measure();
	await exited;
	if (begin.kind !== 'begin' || end.kind !== 'end') {
		throw new Error('driver sent its messages out of order');
	}

	return end.result;
}
