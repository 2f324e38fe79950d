import {just, type Stream} from 'most';
import {
	createPeerMesh, type Member, type PeerMesh, type PeerMeshOptions,
} from '../../src/connection/index.js';
import {type ListedEntryVm} from '../../src/platform/index.js';

/** Subset of the execution context of a test that the fixtures use. */
export type TestContext = {
	readonly teardown: (callback: () => Promise<void>) => void;
};

/** Creates the links of an entry VM with short intervals; they are closed when the test ends. */
export async function createTestMesh(t: TestContext, vm: string, options: Partial<PeerMeshOptions> = {}): Promise<PeerMesh> {
	const mesh = await createPeerMesh({
		deployment: 'test',
		key: 'a key that the test shares',
		self: {dataCenter: 'kolkata', vm, id: `${vm}-1`},
		listenAddress: '127.0.0.1:0',
		getHeartbeat: () => ({configurationVersion: 1, isLeaving: false, load: undefined}),
		heartbeatIntervalMs: 40,
		remoteHeartbeatIntervalMs: 80,
		minBackoffMs: 10,
		maxBackoffMs: 50,
		connectTimeoutMs: 30_000,
		...options,
	});
	t.teardown(async () => mesh.close());
	return mesh;
}

/** Waits until the members of an entry VM satisfy a condition. */
export async function waitForMembers(mesh: PeerMesh, isWanted: (members: readonly Member[]) => boolean): Promise<void> {
	await mesh.getMemberStream().filter(members => isWanted(members)).take(1).drain();
}

/** Waits until a member has a state. */
export async function waitForState(mesh: PeerMesh, id: string, state: Member['state']): Promise<void> {
	await waitForMembers(mesh, members => members.some(member => member.incarnation.id === id && member.state === state));
}

/** Polls until a condition holds for which there is no stream. */
export async function waitUntil(isWanted: () => boolean): Promise<void> {
	while (!isWanted()) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}
}

/** Creates an entry of the platform's list of entry VMs. */
export function createListedVm(dataCenter: string, name: string, peerAddress: string): ListedEntryVm {
	return {
		kind: 'entry', dataCenter, name, state: 'live', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:1', peerAddress,
	};
}

/** Creates a list of entry VMs that never changes. */
export function createList(...entries: ReadonlyArray<Parameters<typeof createListedVm>>): Stream<readonly ListedEntryVm[]> {
	return just(entries.map(entry => createListedVm(...entry)));
}
