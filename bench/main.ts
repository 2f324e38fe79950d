/**
 * `npm run bench -- NAME`: runs one benchmark and writes its results to bench/results/NAME.json.
 */
import process from 'node:process';

const benches: Readonly<Record<string, () => Promise<{run: () => Promise<void>}>>> = {
	capacity: async () => import('./capacity.js'),
	'entry-vm-cost': async () => import('./entry-vm-cost.js'),
	coordinator: async () => import('./coordinator.js'),
	dispatch: async () => import('./dispatch.js'),
	peers: async () => import('./peers.js'),
	platform: async () => import('./platform.js'),
	'vm-list': async () => import('./vm-list.js'),
	recovery: async () => import('./recovery.js'),
	policy: async () => import('./policy.js'),
	pool: async () => import('./pool.js'),
	upstream: async () => import('./upstream.js'),
	'hand-over': async () => import('./hand-over.js'),
};

const name = process.argv[2] ?? '';
const load = benches[name];
if (load === undefined) {
	process.stderr.write(`usage: npm run bench -- NAME, where NAME is one of: ${Object.keys(benches).join(', ')}\n`);
	process.exitCode = 2;
} else {
	const bench = await load();
	await bench.run();
}
