import test from 'ava';
import fc from 'fast-check';
import {type LinkCandidate, planLinks} from '../../src/connection/link-plan.js';

function createVms(dataCenter: string, count: number): readonly LinkCandidate[] {
	return Array.from({length: count}, (_, index) => ({dataCenter, vm: `vm-${index}`, address: `${dataCenter}:${index}`}));
}

function planAll(from: readonly LinkCandidate[], to: readonly LinkCandidate[], linkCount = 2): readonly string[] {
	return from.flatMap(self => planLinks({
		self, local: from, remote: to, linkCount,
	}).map(address => [self.address, address].toSorted().join(' '))).toSorted();
}

const sizes = fc.integer({min: 1, max: 9});

test('both data centres plan the same links, in the configured number if there are enough VMs', t => {
	fc.assert(fc.property(sizes, sizes, (localCount, remoteCount) => {
		const [kolkata, shanti] = [createVms('kolkata', localCount), createVms('shanti', remoteCount)];
		const links = planAll(kolkata, shanti);
		t.deepEqual(links, planAll(shanti, kolkata));
		t.is(links.length, localCount === 1 && remoteCount === 1 ? 1 : 2);
	}), {seed: 7});
});

test('removing an entry VM without a link changes no link', t => {
	const [kolkata, shanti] = [createVms('kolkata', 6), createVms('shanti', 6)];
	const links = planAll(kolkata, shanti);
	const unlinked = kolkata.filter(({address}) => !links.some(link => link.split(' ').includes(address)));
	t.true(unlinked.length >= 4);
	for (const removed of unlinked) {
		t.deepEqual(planAll(kolkata.filter(vm => vm !== removed), shanti), links);
	}
});

test('with enough links each pair of entry VMs has one, and both sides plan the same links for any number', t => {
	fc.assert(fc.property(sizes, sizes, fc.integer({min: 1, max: 81}), (localCount, remoteCount, linkCount) => {
		const [kolkata, shanti] = [createVms('kolkata', localCount), createVms('shanti', remoteCount)];
		t.is(planAll(kolkata, shanti, localCount * remoteCount).length, localCount * remoteCount);
		const links = planAll(kolkata, shanti, linkCount);
		t.deepEqual(links, planAll(shanti, kolkata, linkCount));
		t.is(links.length, Math.min(linkCount, localCount * remoteCount));
	}), {seed: 7});
});
