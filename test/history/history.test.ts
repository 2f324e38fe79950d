import test from 'ava';
import {type FaultKind} from './fault-schedule.js';
import {type HistoryRunOptions, runHistory} from './history-run.js';

const entryVmFaults: readonly FaultKind[] = ['kill', 'planned-stop', 'cut', 'silent-peer-connections'];
const upstreamFaults: readonly FaultKind[] = [
	'upstream-black-hole',
	'upstream-break-off',
	'upstream-unavailable',
	'upstream-silent',
	'upstream-refuse',
	'silent-upstream-connections',
	'upstream-slow',
	'cancel-wave',
];
const platformFaults: readonly FaultKind[] = ['store-down', 'store-slow', 'store-lossy', 'store-stale', 'store-silent', 'new-version', 'pause'];

const runs: ReadonlyArray<readonly [title: string, options: HistoryRunOptions]> = [
	['without faults', {seed: 1, faultCount: 0}],
	['while entry VMs crash, stop and are partitioned', {seed: 2, faultKinds: entryVmFaults}],
	['while upstreams fail', {seed: 3, faultKinds: upstreamFaults}],
	['while the platform fails and versions change', {seed: 4, faultKinds: platformFaults}],
	['while upstreams leave and entry VMs stop', {
		seed: 5, durationMs: 3500, faultKinds: ['upstream-leaving', 'planned-stop'], faultCount: 4,
	}],
	['under faults of all kinds', {seed: 6}],
];

for (const [title, options] of runs) {
	test.serial(`the guarantees hold ${title}`, async t => {
		const {outcomes, starts, violations} = await runHistory(options);
		t.deepEqual(violations, []);
		t.true(starts > 0);
		t.true((outcomes.complete ?? 0) > 0);
	});
}
