import {execFile} from 'node:child_process';
import {promisify} from 'node:util';
import test from 'ava';
import {runSoak} from '../../bench/soak-processes/soak-run.js';

const run = promisify(execFile);

test.before(async () => {
	await run('npm', ['run', '--silent', 'bundle']);
});

for (const {seed, name} of [
	{seed: 5, name: 'planned stops'},
	{seed: 23, name: 'odd answers and entries, and two lives of an upstream'},
]) {
	test.serial(`a short soak of the real programs has no violations: ${name}`, async t => {
		const {history, violations: broken, folder} = await runSoak({
			seed, lengthMs: 8000, vmCount: 4, dataCenters: ['dc1', 'dc2'], upstreamsPerDataCenter: 4, callerCount: 4,
		});
		t.deepEqual(broken, [], `logs: ${folder}`);
		t.true(history.sends.some(({state}) => state === 'completed'));
		t.true(history.faults.length > 0);
		t.is(history.recoveries.length, 4);
	});
}

test.serial('a short soak whose callers leave VMs that are short of processor time has no violations', async t => {
	const {history, violations: broken, folder} = await runSoak({
		seed: 51_001, lengthMs: 8000, vmCount: 7, dataCenters: ['dc1', 'dc2', 'dc3', 'dc4'], upstreamsPerDataCenter: 4, callerCount: 14, leavingCount: 4, meanCallerPauseMs: 300,
	});
	t.deepEqual(broken, [], `logs: ${folder}`);
	t.true(history.faults.some(({kind}) => kind === 'callers-leave'));
	t.is(history.recoveries.length, 7);
});

test.serial('a short soak with jobs of hundreds of tasks, whose upstreams crash, has no violations', async t => {
	const {history, violations: broken, folder} = await runSoak({
		seed: 61, lengthMs: 8000, vmCount: 4, dataCenters: ['dc1', 'dc2'], upstreamsPerDataCenter: 4, callerCount: 4, largeJobShare: 0.2,
	});
	t.deepEqual(broken, [], `logs: ${folder}`);
	t.true(history.sends.some(({taskCount, state}) => taskCount === 600 && state === 'completed'));
	t.true(history.faults.some(({kind}) => kind === 'deadly-jobs'));
});
