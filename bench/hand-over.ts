/**
 * Measures time and bytes of transferring the records of a stopping coordinator to its successor, by number of records.
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {createLocalCluster} from '../src/lab/index.js';
import {type SavedRecord, sendHandOver} from '../src/process/index.js';
import {writeResults} from './support/results.js';

const recordCounts = [1000, 10_000, 50_000];
const answerBytes = 300;

/** Measurements of one transfer. */
type HandOverResult = {
	readonly records: number;
	readonly ms: number;
	readonly bytes: number;
	readonly bytesPerRecord: number;
};

/** Runs the measurement. */
export async function run(): Promise<void> {
	const results: HandOverResult[] = [];
	for (const count of recordCounts) {
		results.push(await measureHandOver(count));
	}

	await writeResults('hand-over', {answerBytes, results});
}

async function measureHandOver(count: number): Promise<HandOverResult> {
	const cluster = await createLocalCluster({dataCenters: [{name: 'dc1', entryVms: 2, upstreams: 1}]});
	const [from, to] = cluster.getEntryVms();
	const {mesh, self} = from!.getComponents();
	const content = {coordinator: {incarnation: self, period: 1}, records: Array.from({length: count}, (_, index) => createRecord(index))};
	const startedAt = performance.now();
	const isDone = await sendHandOver(to!.getIncarnation().id, {peers: mesh, transferId: 'bench', content});
	const ms = performance.now() - startedAt;
	const bytes = mesh.getTraffic().job.bytesSent;
	await cluster.close();
	if (!isDone) {
		throw new Error(`the transfer of ${count} records failed`);
	}

	process.stdout.write(`${count} records: ${ms.toFixed(0)} ms, ${(bytes / count).toFixed(0)} bytes per record\n`);
	return {
		records: count, ms, bytes, bytesPerRecord: bytes / count,
	};
}

function createRecord(index: number): SavedRecord {
	return {
		key: `key-${index}`,
		period: 1,
		attempt: 1,
		fingerprint: 'cGFzc2VkIHRocm91Z2ggc2hhMQ==',
		outcome: 'complete',
		answer: {
			outcome: 'complete', status: 200, headers: [['Content-Type', 'application/json']], body: Buffer.alloc(answerBytes, 'a'),
		},
	};
}
