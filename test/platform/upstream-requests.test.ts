/**
 * Upstreams whose entries change while the store rejects the reads of a pool's owner and serves other VMs.
 */
import test from 'ava';
import {type PeerNetwork} from '../../src/connection/index.js';
import {PoolLayout} from '../../src/pool/index.js';
import {sleep} from '../../src/seams/index.js';
import {type StoreClient} from '../../src/platform/store-client.js';
import {UpstreamList} from '../../src/platform/upstream-list.js';
import {upstreamRequestTopic, UpstreamRequests} from '../../src/platform/upstream-requests.js';
import {ManualClock} from '../../src/testing/index.js';
import {silentLog} from '../pool/pool-harness.js';

type Fixture = ReturnType<typeof createFixture>;

/** Time after which a changed entry counts, in milliseconds: the documented `contact_ms`. */
const contactMs = 3000;

/** Creates VMs of one data centre that read one entry in a common store and ask each other; the store can reject the calls of each of them. */
function createFixture(vmCount: number) {
	const clock = new ManualClock();
	const state = {cpu: 16_000, coldMs: 0, revision: 1};
	const layout = new PoolLayout();
	layout.setCount('dc1', 1);
	const vms = Array.from({length: vmCount}, (_, position) => createVm(`vm${position}`));
	return {
		clock, state, vms,
		setCpu(cpu: number) {
			state.cpu = cpu;
			state.revision++;
		},
	};

	function createVm(id: string) {
		const vm = {
			id, isRejected: false, isOwner: false, isFrozen: false, calls: [] as string[],
			getCpu: () => vm.list.getUpstreams('dc1').map(({capacity}) => capacity.cpu),
			own() {
				vm.isOwner = true;
				list.setFollowing(true);
			},
			list: undefined as unknown as UpstreamList,
			requests: undefined as unknown as UpstreamRequests,
		};
		const read = (kind: string) => {
			vm.calls.push(kind);
			const item = {key: 'servers/u1', value: createValue(), revision: state.revision};
			return vm.isRejected
				? {ok: false as const, reason: 'refused' as const, detail: 'status 503'}
				: {ok: true as const, value: {revision: state.revision, items: [item], changes: [item]}};
		};

		const store: Pick<StoreClient, 'getRange' | 'getChanges'> = {getRange: async () => read('range'), getChanges: async () => read('changes')};
		const list = new UpstreamList({
			clock, log: silentLog, store: store as StoreClient, layout, onChange() {/* Not checked. */}, requestReports: async () => vm.requests.request(),
		});
		const getPeers = (): Pick<PeerNetwork, 'getMembers' | 'request'> => ({
			getMembers: () => vms.filter(other => other !== vm).map(other => ({
				incarnation: {id: other.id, vm: other.id, dataCenter: 'dc1'}, state: 'up', isLeaving: false, peerAddress: '', configurationVersion: 1, claims: {}, cores: 1,
			})),
			async request(receiver, {topic, body}, signal) {
				const other = vms.find(candidate => candidate.id === receiver)!;
				if (other.isFrozen) {
					await sleep(clock, 60_000, signal);
					return {kind: 'lost', detail: ''};
				}

				// What is sent is encoded on the way.
				return topic === upstreamRequestTopic ? {kind: 'answered', body: structuredClone(await other.requests.handleRequest(body))} : {kind: 'not_sent', detail: ''};
			},
		});
		vm.list = list;
		vm.requests = new UpstreamRequests({
			clock, log: silentLog, dataCenter: 'dc1', getPeers, getPools: () => vm.isOwner ? ['dc1'] : [], upstreams: list,
		});
		return vm;
	}

	function createValue(): string {
		return JSON.stringify({
			service: 's', address: '10.0.0.1:80', zone: 'dc1', state: 'ready', capacity: {cpu: state.cpu, mem_mb: 1000, gpu: 0}, labels: ['a', 'r1'], born: 1, cold_remaining_ms: state.coldMs,
		});
	}
}

async function startOwner({clock, vms: [owner]}: Fixture): Promise<void> {
	owner!.own();
	await clock.advance(2000);
}

// Guards against an owner that fills an upstream by a capacity that it read before the store began to reject its reads.
test('an owner whose reads the store rejects learns from a peer that a capacity has changed, and has it again once it reads itself', async t => {
	const fixture = createFixture(3);
	const {clock, vms: [owner, busy, peer], setCpu} = fixture;
	await startOwner(fixture);
	owner!.isRejected = true;
	busy!.isRejected = true;
	await clock.advance(20);
	setCpu(8000);
	await clock.advance(contactMs);
	t.deepEqual(owner!.getCpu(), [8000]);
	t.true(owner!.list.getAgeMs('dc1') < contactMs);
	setCpu(4000);
	await clock.advance(contactMs);
	t.deepEqual(owner!.getCpu(), [4000]);
	// The peer reads the list at most once a second for others.
	t.true(peer!.calls.length <= 7);
	const {length} = owner!.calls;
	owner!.isRejected = false;
	setCpu(12_000);
	await clock.advance(1000);
	t.deepEqual(owner!.getCpu(), [12_000]);
	// What changed since the last read here may be older than what the peer has read.
	t.is(owner!.calls[length], 'range');
	const {length: peerCalls} = peer!.calls;
	await clock.advance(5000);
	t.is(peer!.calls.length, peerCalls);
	owner!.list.close();
});

// Guards against a new owner that begins with a capacity from before a change, since its first read is rejected.
test('a VM that becomes the owner while the store rejects its reads waits for what a peer has read', async t => {
	const {clock, vms: [owner, peer], setCpu} = createFixture(2);
	await owner!.list.read();
	await clock.advance(5000);
	setCpu(8000);
	owner!.isRejected = true;
	owner!.own();
	await owner!.list.waitForUpdate(200);
	t.deepEqual(owner!.getCpu(), [8000]);
	t.deepEqual(peer!.calls, ['range']);
	owner!.list.close();
});

// Guards against VMs that wait for each other's answers while the store rejects the reads of all of them.
test('an owner goes on with its last list if no peer can read it, and peers that do not answer hold nothing up', async t => {
	const fixture = createFixture(4);
	const {clock, vms, setCpu} = fixture;
	await startOwner(fixture);
	vms[1]!.own();
	await clock.advance(1000);
	for (const vm of vms) {
		vm.isRejected = true;
	}

	vms[2]!.isFrozen = true;
	setCpu(8000);
	await clock.advance(6000);
	t.deepEqual(vms[0]!.getCpu(), [16_000]);
	// A peer may answer with what it has read up to a second ago.
	t.true(vms[0]!.list.getAgeMs('dc1') >= 5000);
	vms[3]!.isRejected = false;
	await clock.advance(contactMs);
	t.deepEqual(vms.slice(0, 2).map(vm => vm.getCpu()), [[8000], [8000]]);
	vms[0]!.list.close();
	vms[1]!.list.close();
});

// Guards against a cold upstream that a report, which tells nothing of it, turns into a warm one.
test('an upstream of which a peer has read another capacity stays cold for as long as was read before', async t => {
	const fixture = createFixture(2);
	const {clock, state, vms: [owner], setCpu} = fixture;
	state.coldMs = 20_000;
	await startOwner(fixture);
	const [before] = owner!.list.getUpstreams('dc1');
	owner!.isRejected = true;
	setCpu(8000);
	await clock.advance(contactMs);
	const [after] = owner!.list.getUpstreams('dc1');
	t.is(after!.capacity.cpu, 8000);
	t.true(after!.cold!.until >= before!.cold!.until && after!.cold!.until > clock.getMonotonicTime() + 10_000);
	owner!.list.close();
});
