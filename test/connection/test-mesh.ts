import {just, type Stream} from 'most';
import {
	createPeerMesh, type Member, type PeerMesh, type PeerMeshOptions,
} from '../../src/connection/index.js';
import {type ListedEntryVm} from '../../src/platform/index.js';

/** The part of a test that its fixtures need. */
export type TestContext = {
	readonly teardown: (callback: () => Promise<void>) => void;
};

/** Creates an entry VM's links with short periods, closed when the test ends. */
export async function createTestMesh(t: TestContext, vm: string, options: Partial<PeerMeshOptions> = {}): Promise<PeerMesh> {
	const mesh = await createPeerMesh({
		deployment: 'test',
		key: 'a key that the test shares',
		self: {dataCenter: 'kolkata', vm, id: `${vm}-1`},
		listenAddress: '127.0.0.1:0',
		getHeartbeat: () => ({configurationVersion: 1, isLeaving: false, load: undefined}),
		beatMs: 40,
		farBeatMs: 80,
		minBackoffMs: 10,
		maxBackoffMs: 50,
		connectTimeoutMs: 30_000,
		...options,
	});
	t.teardown(async () => mesh.close());
	return mesh;
}

/** Waits until the members of an entry VM are as wanted. */
export async function waitForMembers(mesh: PeerMesh, isWanted: (members: readonly Member[]) => boolean): Promise<void> {
	await mesh.getMemberStream().filter(members => isWanted(members)).take(1).drain();
}

/** Waits until one member has a state. */
export async function waitForState(mesh: PeerMesh, id: string, state: Member['state']): Promise<void> {
	await waitForMembers(mesh, members => members.some(member => member.incarnation.id === id && member.state === state));
}

/** Waits until a condition holds that no stream tells of. */
export async function waitUntil(isWanted: () => boolean): Promise<void> {
	while (!isWanted()) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}
}

/** Creates an entry VM of the platform's list. */
export function createListedVm(dataCenter: string, name: string, peerAddress: string): ListedEntryVm {
	return {
		kind: 'entry', dataCenter, name, state: 'live', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:1', peerAddress,
	};
}

/** Creates a list of entry VMs that never changes. */
export function createList(...entries: ReadonlyArray<Parameters<typeof createListedVm>>): Stream<readonly ListedEntryVm[]> {
	return just(entries.map(entry => createListedVm(...entry)));
}
