import test from 'ava';
import {FreeCapacities} from '../../src/pool/free-capacities.js';
import {type UpstreamLink} from '../../src/pool/upstream-link.js';
import {createUpstream} from './pool-harness.js';

type FakeLink = {used: number; readonly link: UpstreamLink};

function createLink(id: string, service: string): FakeLink {
	const description = {...createUpstream(id, 16_000), service};
	const fake: FakeLink = {
		used: 0,
		link: {
			name: id, description, slowness: 1, consecutiveFailures: 0,
			getLabels: () => description.labels,
			getFreeCapacity: () => ({...description.capacity, cpu: description.capacity.cpu - fake.used}),
		} as unknown as UpstreamLink,
	};
	return fake;
}

function createFixture(): {readonly links: readonly FakeLink[]; readonly reads: {links: number; others: number}; readonly capacities: FreeCapacities} {
	const links = [createLink('a', 's'), createLink('b', 't'), createLink('c', 's')];
	const reads = {links: 0, others: 0};
	const capacities = new FreeCapacities(() => {
		reads.links++;
		return links.map(({link}) => link);
	}, () => {
		reads.others++;
		return [{pool: 'p', cpu: 20_000}];
	});
	return {links, reads, capacities};
}

test('capacities are read once, and those of other pools only where no upstream has enough', t => {
	const {reads, capacities} = createFixture();
	t.deepEqual(reads, {links: 0, others: 0});
	t.is(capacities.getMaxCpu(16_000), 16_000);
	t.deepEqual(reads, {links: 1, others: 0});
	t.is(capacities.getMaxCpu(17_000), 20_000);
	capacities.reduceOther(capacities.getOfOtherPools()[0]!, 15_000);
	t.is(capacities.getMaxCpu(17_000), 16_000);
	t.deepEqual(capacities.getOfOtherPools(), [{pool: 'p', cpu: 5000}]);
	t.deepEqual(reads, {links: 1, others: 1});
});

test('upstreams are those of the service, with the capacity that is free after a start', t => {
	const {links, capacities} = createFixture();
	const [first] = capacities.getUpstreams('s');
	t.deepEqual(capacities.getUpstreams('s').map(({id}) => id), ['a', 'c']);
	t.deepEqual(capacities.getUpstreams('u'), []);
	links[0]!.used = 6800;
	t.is(capacities.getUpstreams('s')[0]!.free.cpu, 16_000);
	capacities.update(first!);
	t.deepEqual(capacities.getUpstreams('s').map(({id, free}) => [id, free.cpu]), [['a', 9200], ['c', 16_000]]);
});

test('the largest free capacity is that after the last start', t => {
	const {links, capacities} = createFixture();
	t.is(capacities.getMaxCpu(16_000), 16_000);
	for (const [position, service] of (['s', 't', 's'] as const).entries()) {
		const candidate = capacities.getUpstreams(service).find(({id}) => id === links[position]!.link.name)!;
		links[position]!.used = 6800;
		capacities.update(candidate);
	}

	t.is(capacities.getMaxCpu(9200), 9200);
});
