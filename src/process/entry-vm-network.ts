/**
 * The components that connect an entry VM to other processes: the peer mesh, the scheduler and the upstream client.
 */
import {
	type ControlMessage, createPeerMesh, createTlsDial, createTlsListen, createUpstreamClient, type Incarnation, type PeerMesh,
} from '../connection/index.js';
import {sleep} from '../seams/index.js';
import {
	defaultMaxBodyBytes, defaultMaxJobAnswerBytes, type EntryVmLimits, type EntryVmOptions,
} from './entry-vm-options.js';
import {type EntryVmComponents} from './entry-vm.js';
import {PeerSync} from './peer-sync.js';
import {createTaskScheduler, type SlotScheduler} from './scheduler/index.js';

/** The components that need no connection to another entry VM or upstream. */
export type BaseComponents = Pick<EntryVmComponents, 'state' | 'clock' | 'random' | 'self' | 'events' | 'configuration' | 'vmList' | 'messageDispatcher' | 'metrics'>;

/** The components that connect this process to others. */
export type NetworkComponents = Pick<EntryVmComponents, 'sync' | 'mesh' | 'scheduler' | 'upstreamClient'>;

/** Maximum wait for an up-to-date list of VMs after a pause of the process, in milliseconds. */
const refreshTimeoutMs = 1000;

/**
 * Creates the components that connect an entry VM to other processes.
 * @param options - Settings of the entry VM.
 * @param base - Components that already exist.
 * @internal
 */
export async function createNetworkComponents(options: EntryVmOptions, base: BaseComponents): Promise<NetworkComponents> {
	const {clock, random, self, events, configuration, vmList} = base;
	const sync = new PeerSync({configuration, vmList, getPeers: () => mesh});
	const mesh = await createMesh(options, base, sync, () => {
		void refreshAfterPause(base, scheduler);
	});
	const upstreamClient = createUpstreamClient({clock, maxAnswerBytes: options.limits?.maxAnswerBytes, ...options.upstreams});
	const scheduler = createTaskScheduler({
		clock,
		random,
		self,
		events,
		upstreams: vmList.getStream().map(({upstreams}) => upstreams),
		configuration: configuration.getStream(),
		members: mesh.getMemberStream(),
		sendControl: (incarnationId, message) => sendSlotMessage(mesh, self, incarnationId, message),
		policies: options.policies,
		tuning: options.tuning,
	});
	return {
		sync, mesh, scheduler, upstreamClient,
	};
}

async function createMesh(options: EntryVmOptions, base: BaseComponents, sync: PeerSync, onPause: () => void): Promise<PeerMesh> {
	const {state, clock, random, self, events, configuration, vmList, messageDispatcher} = base;
	const peerTls = options.tls?.peer;
	return createPeerMesh({
		...(peerTls === undefined ? undefined : {dial: createTlsDial(peerTls), listen: createTlsListen(peerTls)}),
		...options.mesh,
		clock,
		random,
		deployment: options.deployment,
		self,
		events,
		log: options.log,
		listenAddress: options.peerAddress,
		key: options.peerKey,
		seeds: options.peerSeeds,
		maxJobBodyBytes: getMaxPeerBodyBytes(options.limits),
		entryVms: vmList.getStream().map(({entryVms}) => entryVms),
		getHeartbeat: () => ({
			configurationVersion: configuration.getConfiguration().version,
			isLeaving: state.isStopping,
			load: sync.getHeartbeatPayload(),
		}),
		onHeartbeat(body, from) {
			sync.handleHeartbeat(body, from);
		},
		onControl(message, from) {
			messageDispatcher.handleControl(message, from);
		},
		onRequest: async (request, from, signal) => messageDispatcher.handleRequest(request, from, signal),
		onPause,
	});
}

/** Gets a limit in bytes that fits any forwarded request and any answer including their envelopes. */
function getMaxPeerBodyBytes({maxBodyBytes = defaultMaxBodyBytes, maxJobAnswerBytes = defaultMaxJobAnswerBytes}: EntryVmLimits = {}): number {
	return 2 * Math.max(maxBodyBytes, maxJobAnswerBytes);
}

/**
 * Sends a message about slots over the control link if there is one, otherwise over a job connection, because not every VM has
 * control links to the VMs of other data centres. The next exchange of claims makes up for a message lost on a job connection.
 */
function sendSlotMessage(mesh: PeerMesh, self: Incarnation, incarnationId: string, message: ControlMessage): boolean {
	if (mesh.sendControl(incarnationId, message)) {
		return true;
	}

	const member = mesh.getMembers().find(({incarnation}) => incarnation.id === incarnationId);
	if (member?.state !== 'up' || member.incarnation.dataCenter === self.dataCenter) {
		return false;
	}

	void mesh.request(incarnationId, message);
	return true;
}

/** Suspends task starts after a pause of the process until the list of VMs was read, the read failed, or the wait timed out. */
async function refreshAfterPause({clock, vmList}: BaseComponents, scheduler: SlotScheduler): Promise<void> {
	scheduler.handlePause();
	await Promise.race([vmList.refresh(), sleep(clock, refreshTimeoutMs)]);
	scheduler.confirmView();
}
