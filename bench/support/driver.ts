/**
 * Sends requests from a worker thread, so that callers use no processor time of the measured thread.
 */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import {workerExecArgv} from './worker-exec-argv.js';

/** Options of {@link runDriver}. */
export type DriverOptions = {
	/** Address that the requests go to. */
	readonly address: string;
	readonly method: 'POST';
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
	/** Number of concurrent requests. */
	readonly concurrency: number;
	readonly warmUpMs: number;
	readonly measureMs: number;
};

/** Measurements of a driver. */
export type DriverResult = {
	readonly completed: number;
	/** Number of answers with a status other than 200. */
	readonly failed: number;
	readonly seconds: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
};

/** Message of a driver at the begin and the end of its measurement. */
export type DriverMessage = {readonly kind: 'begin'} | {readonly kind: 'end'; readonly result: DriverResult};

/**
 * Runs a driver in a worker thread.
 * @param options - Requests to send, concurrency and durations.
 * @param onPhaseChange - Called when the measurement begins and when it ends.
 */
export async function runDriver(options: DriverOptions, onPhaseChange: () => Promise<void>): Promise<DriverResult> {
	const extension = import.meta.url.endsWith('.ts') ? 'ts' : 'js';
	const worker = new Worker(new URL(`driver-main.${extension}`, import.meta.url), {workerData: options, execArgv: [...workerExecArgv]});
	const exited = once(worker, 'exit');
	const [begin] = await once(worker, 'message') as [DriverMessage];
	await onPhaseChange();
	const [end] = await once(worker, 'message') as [DriverMessage];
	await onPhaseChange();
	await exited;
	if (begin.kind !== 'begin' || end.kind !== 'end') {
		throw new Error('driver sent its messages out of order');
	}

	return end.result;
}
