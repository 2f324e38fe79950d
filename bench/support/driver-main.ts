/**
 * Worker thread of a driver: a fixed number of closed loops that send requests.
 */
import {parentPort, workerData} from 'node:worker_threads';
import {build} from 'hdr-histogram-js';
import {Pool} from 'undici';
import {type DriverMessage, type DriverOptions} from './driver.js';

const options = workerData as DriverOptions;
const pool = new Pool(`http://${options.address}`, {connections: options.concurrency, headersTimeout: 0, bodyTimeout: 0});
const latencyUs = build({lowestDiscernibleValue: 1, highestTrackableValue: 1e10, numberOfSignificantValueDigits: 3});
let completed = 0;
let failed = 0;
let isMeasuring = false;
const state = {isDone: false};

function postToParent(message: DriverMessage): void {
	parentPort!.postMessage(message);
}

async function sendAll(): Promise<void> {
	while (!state.isDone) {
		const started = performance.now();
		const res = await pool.request({
			method: options.method, path: options.path, headers: options.headers, body: options.body,
		});
		await res.body.dump();
		if (isMeasuring) {
			completed++;
			failed += res.statusCode === 200 ? 0 : 1;
			latencyUs.recordValue(Math.round((performance.now() - started) * 1000));
		}
	}
}

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

const loops = Promise.all(Array.from({length: options.concurrency}, async () => sendAll()));
await wait(options.warmUpMs);
isMeasuring = true;
const measurementStart = performance.now();
postToParent({kind: 'begin'});
await wait(options.measureMs);
isMeasuring = false;
const seconds = (performance.now() - measurementStart) / 1000;
postToParent({
	kind: 'end',
	result: {
		completed, failed, seconds, p50Ms: latencyUs.getValueAtPercentile(50) / 1000, p99Ms: latencyUs.getValueAtPercentile(99) / 1000,
	},
});
state.isDone = true;
await loops;
await pool.close();
