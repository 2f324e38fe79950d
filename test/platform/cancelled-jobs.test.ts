import test from 'ava';
import {type Member, type PeerNetwork, type PeerOutcome} from '../../src/connection/index.js';
import {CancelledJobs} from '../../src/platform/cancelled-jobs.js';
import {ManualClock} from '../../src/testing/index.js';

const job = '0123456789abcdef';

type FakeVm = {readonly id: string; readonly jobs: CancelledJobs; state: Member['state']; isAnswering: boolean};

/** VMs that reach each other unless one does not answer. */
function createVms(count: number): {readonly clock: ManualClock; readonly vms: readonly FakeVm[]} {
	const clock = new ManualClock();
	const vms: FakeVm[] = [];
	for (let position = 0; position < count; position++) {
		const id = `vm${position}`;
		const getPeers = () => ({
			getMembers: () => vms.filter(vm => vm.id !== id).map(vm => ({incarnation: {id: vm.id}, state: vm.state})),
			async request(to: string, {body}: {readonly body: unknown}, signal?: AbortSignal): Promise<PeerOutcome> {
				const vm = vms.find(other => other.id === to)!;
				if (vm.isAnswering) {
					return {kind: 'answered', body: vm.jobs.handleRequest(body)};
				}

				return new Promise(resolve => {
					signal?.addEventListener('abort', () => {
						resolve({kind: 'lost', reason: 'cancelled'} as unknown as PeerOutcome);
					});
				});
			},
		}) as unknown as Pick<PeerNetwork, 'getMembers' | 'request'>;
		vms.push({
			id, jobs: new CancelledJobs({clock, getPeers}), state: 'up', isAnswering: true,
		});
	}

	return {clock, vms};
}

test('a job is cancelled at all VMs at which requests of it wait', async t => {
	const {vms} = createVms(3);
	const ended: number[] = [];
	for (const position of [1, 2]) {
		vms[position]!.jobs.addRequest(job, () => {
			ended.push(position);
		});
	}

	vms[1]!.jobs.addRequest('fedcba9876543210', () => {
		t.fail();
	});
	t.is(await vms[0]!.jobs.cancel(job), 'cancelled');
	t.deepEqual(ended, [1, 2]);
	t.true(vms.every(vm => vm.jobs.isCancelled(job)));
	t.is(await vms[0]!.jobs.cancel('00000000000000aa'), 'unknown');
});

test('a request that has ended is not found', async t => {
	const {vms} = createVms(2);
	vms[1]!.jobs.addRequest(job, () => {
		t.fail();
	})();
	t.is(await vms[0]!.jobs.cancel(job), 'unknown');
});

test('a VM that does not answer is asked again, and the cancelling is not confirmed without its answer', async t => {
	const {clock, vms} = createVms(2);
	const [first, second] = vms;
	second!.isAnswering = false;
	let isEnded = false;
	second!.jobs.addRequest(job, () => {
		isEnded = true;
	});
	const cancelling = first!.jobs.cancel(job);
	await clock.advance(1000);
	t.is(await cancelling, 'unanswered');
	second!.isAnswering = true;
	await clock.advance(2000);
	t.true(isEnded);
});

test('a VM that is down does not keep an unknown job from being answered, and is asked again once it is back', async t => {
	const {clock, vms} = createVms(2);
	const [first, second] = vms;
	Object.assign(second!, {isAnswering: false, state: 'down'});
	let isEnded = false;
	second!.jobs.addRequest(job, () => {
		isEnded = true;
	});
	const cancelling = first!.jobs.cancel(job);
	await clock.advance(1000);
	t.is(await cancelling, 'unknown');
	Object.assign(second!, {isAnswering: true, state: 'up'});
	await clock.advance(2000);
	t.true(isEnded);
});

test('a cancelled job is forgotten after some time', async t => {
	const {clock, vms} = createVms(1);
	t.is(await vms[0]!.jobs.cancel(job), 'unknown');
	await clock.advance(29_000);
	t.true(vms[0]!.jobs.isCancelled(job));
	await clock.advance(2000);
	t.false(vms[0]!.jobs.isCancelled(job));
});
