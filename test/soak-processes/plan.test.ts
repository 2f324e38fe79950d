import test from 'ava';
import {areUpstreamsGuarded, createFaultPlan, maxShrunkMs} from '../../bench/soak-processes/plan.js';

const options = {
	series: 0, vmCount: 9, upstreamCount: 60, lengthMs: 12_000,
};

test('the same seed gives the same faults, and another seed or series gives others', t => {
	t.deepEqual(createFaultPlan({seed: 5, ...options}), createFaultPlan({seed: 5, ...options}));
	t.notDeepEqual(createFaultPlan({seed: 5, ...options}), createFaultPlan({seed: 6, ...options}));
	t.notDeepEqual(createFaultPlan({seed: 5, ...options}), createFaultPlan({seed: 5, ...options, series: 1}));
});

test('a hundred seeds give faults of all kinds, and some series with planned stops only', t => {
	const plans = Array.from({length: 100}, (_, seed) => createFaultPlan({seed, ...options}));
	const kinds = new Set(plans.flat().map(({kind}) => kind));
	t.deepEqual([...kinds].toSorted(), [
		'answers-lost',
		'answers-overtake',
		'capacity-shrinks',
		'deadly-jobs',
		'freeze',
		'kill',
		'odd-answers',
		'odd-entries',
		'orders-late',
		'stop',
		'store-away',
		'store-forgets',
		'store-loses-answers',
		'store-silent',
		'store-slow',
		'two-lives',
		'upstream-crash',
		'upstream-slow',
	]);
	const plannedStopsOnly = plans.filter(plan => plan.every(({kind}) => kind === 'stop'));
	t.true(plannedStopsOnly.length > 10 && plannedStopsOnly.length < 50);
	t.true(plans.flat().every(({kind, atMs, durationMs}) => atMs >= 0 && atMs <= 12_000 && durationMs >= 200 && durationMs <= (kind === 'capacity-shrinks' ? maxShrunkMs : 4000)));
});

test('upstreams crash and start again within 600 ms of faults of links, and the other faults stay as they are', t => {
	const linkKinds = new Set(['link-reset', 'link-silent', 'link-one-way', 'link-slow', 'processor-late', 'callers-reset', 'freeze']);
	const restartKinds = new Set<string>();
	for (let seed = 0; seed < 20; seed++) {
		const earlier = createFaultPlan({seed, ...options, linkFaultCount: 8});
		const plan = createFaultPlan({
			seed, ...options, linkFaultCount: 8, restartCount: 6,
		});
		const known = new Set(earlier.map(fault => JSON.stringify(fault)));
		const restarts = plan.filter(fault => !known.has(JSON.stringify(fault)));
		t.deepEqual(plan.filter(fault => known.has(JSON.stringify(fault))), earlier);
		t.is(restarts.length, earlier.every(({kind}) => kind === 'stop') ? 0 : 6);
		for (const {kind, atMs} of restarts) {
			restartKinds.add(kind);
			t.true(earlier.some(fault => linkKinds.has(fault.kind) && Math.abs(fault.atMs - atMs) <= 600));
		}
	}

	t.deepEqual([...restartKinds].toSorted(), ['two-lives', 'upstream-crash']);
	t.deepEqual(createFaultPlan({seed: 5, ...options, restartCount: 6}), createFaultPlan({seed: 5, ...options}));
});

test('callers leave VMs that are short of processor time while others are disturbed, and the other faults stay as they are', t => {
	const kinds = new Set<string>();
	for (let seed = 0; seed < 30; seed++) {
		const earlier = createFaultPlan({seed, ...options, vmCount: 7});
		const plan = createFaultPlan({
			seed, ...options, vmCount: 7, leavingCount: 6, dataCenterCount: 4,
		});
		const known = new Set(earlier.map(fault => JSON.stringify(fault)));
		const further = plan.filter(fault => !known.has(JSON.stringify(fault)));
		t.is(plan.length - further.length, earlier.length);
		t.is(further.filter(({kind}) => kind === 'callers-leave').length, earlier.every(({kind}) => kind === 'stop') ? 0 : 6);
		for (const {kind, atMs, durationMs} of further) {
			kinds.add(kind);
			t.true(atMs >= 0 && atMs <= 12_000 && durationMs >= 1000);
		}
	}

	t.deepEqual([...kinds].toSorted(), [
		'answers-lost',
		'callers-leave',
		'freeze',
		'kill',
		'processor-late',
		'processor-slices',
		'single-orders-late',
		'stops-slow',
		'store-partly',
		'store-silent',
		'store-slow',
		'upstream-slow',
	]);
});

test('the upstreams of some soaks refuse what exceeds their capacity, those of others do not', t => {
	const guardedCount = Array.from({length: 100}, (_, seed) => seed).filter(seed => areUpstreamsGuarded(seed)).length;
	t.true(guardedCount > 30 && guardedCount < 70);
});
