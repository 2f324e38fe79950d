/**
 * Minimal dispatchers that give upper bounds on throughput: a loop that only sends requests, and a server that only forwards
 * them.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {Pool} from 'undici';
import {getMainThreadCpuUs} from './thread-cpu.js';

/** Rate and cost of a ceiling. */
export type CeilingResult = {
	readonly perSecond: number;
	readonly cpuUsEach: number;
};

/** Options of {@link measureBareLoop}. */
export type BareLoopOptions = {
	readonly addresses: readonly string[];
	readonly connections: number;
	readonly concurrency: number;
	readonly warmUpMs: number;
	readonly measureMs: number;
};

/**
 * Measures a loop over undici pools that reads each answer completely.
 * @param options - Upstreams, concurrency and durations.
 */
export async function measureBareLoop(options: BareLoopOptions): Promise<CeilingResult> {
	const pools = options.addresses.map(address => new Pool(`http://${address}`, {connections: options.connections}));
	const state = {isDone: false};
	let completed = 0;
	const loop = async (index: number): Promise<void> => {
		const pool = pools[index % pools.length]!;
		while (!state.isDone) {
			const res = await pool.request({method: 'POST', path: '/run', body: '{}'});
			await res.body.text();
			completed++;
		}
	};

	const loops = Promise.all(Array.from({length: options.concurrency}, async (_value, index) => loop(index)));
	await wait(options.warmUpMs);
	const [cpuBefore, timeBefore, countBefore] = [await getMainThreadCpuUs(), performance.now(), completed];
	await wait(options.measureMs);
	const cpuUs = await getMainThreadCpuUs() - cpuBefore;
	const seconds = (performance.now() - timeBefore) / 1000;
	const count = completed - countBefore;
	state.isDone = true;
	await loops;
	await Promise.all(pools.map(async pool => pool.close()));
	return {perSecond: count / seconds, cpuUsEach: cpuUs / count};
}

/**
 * Starts a server that forwards requests to the upstreams in round robin and buffers each answer completely.
 * @param addresses - Addresses of the upstreams.
 * @param connections - Connections to each upstream.
 */
export async function startBareForwarder(addresses: readonly string[], connections: number): Promise<{readonly address: string; close(): Promise<void>}> {
	const pools = addresses.map(address => new Pool(`http://${address}`, {connections}));
	let next = 0;
	const server = createServer(async (req, res) => {
		const chunks: Uint8Array[] = [];
		for await (const chunk of req) {
			chunks.push(chunk as Uint8Array);
		}

		const pool = pools[next++ % pools.length]!;
		const answer = await pool.request({method: 'POST', path: req.url ?? '/', body: Buffer.concat(chunks)});
		const body = new Uint8Array(await answer.body.arrayBuffer());
		res.writeHead(answer.statusCode, {'content-type': String(answer.headers['content-type'] ?? ''), 'content-length': body.length});
		res.end(body);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return {
		address: `127.0.0.1:${port}`,
		async close() {
			server.closeAllConnections();
			server.close();
			await once(server, 'close');
			await Promise.all(pools.map(async pool => pool.close()));
		},
	};
}

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
