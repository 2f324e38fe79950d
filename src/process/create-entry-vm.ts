/**
 * Creates an entry VM out of its parts.
 */
import {type Subscription} from 'most';
import {
	type ControlMessage, createHttpListener, createPeerMesh, createTlsDial, createTlsListen, createUpstreamClient, type Incarnation, type PeerMesh,
} from '../connection/index.js';
import {sleep, systemClock, systemRandom} from '../seams/index.js';
import {CallerApi} from './caller-api.js';
import {createConfigurationFollower} from './configuration-follower.js';
import {Coordinator} from './coordinator.js';
import {CoordinatorDirectory, locateTopic, successionTopic} from './coordinator-directory.js';
import {
	EntryVm, type EntryVmListeners, type EntryVmParts, isEntryVmReady,
} from './entry-vm.js';
import {type EntryVmLimits, type EntryVmOptions} from './entry-vm-options.js';
import {getEntryVmStatus} from './entry-vm-status.js';
import {EventLog} from './events.js';
import {getSuccessors, HandOverReceiver, handOverTopic} from './hand-over.js';
import {JobRouter, jobTopic} from './job-router.js';
import {JobRunner} from './job-runner.js';
import {createMetrics} from './metrics/index.js';
import {createOperatorAccess} from './operator-access.js';
import {OperatorApi} from './operator-api.js';
import {PeerInbox} from './peer-inbox.js';
import {configurationTopic, PeerSync, vmListTopic} from './peer-sync.js';
import {createTaskScheduler, type SlotScheduler, slotTopic} from './scheduler/index.js';
import {createVmListFollower} from './vm-list-follower.js';

const defaultMaxBodyBytes = 8 * 1024 * 1024;
const defaultMaxHeldBytes = 256 * 1024 * 1024;
const defaultMaxJobsInFlight = 20_000;
const defaultMaxJobAnswerBytes = 16 * 1024 * 1024;
const defaultPeriodMs = 60_000;
const defaultPeriodsKept = 10;
const incarnationBytes = 6;
/** Longest wait for a fresh list of VMs after a pause of the process. */
const confirmTimeoutMs = 1000;
const maxOperatorConnections = 256;

/** The parts that need no link to another process. */
type BaseParts = Pick<EntryVmParts, 'state' | 'clock' | 'random' | 'self' | 'events' | 'configuration' | 'vmList' | 'inbox' | 'metrics'>;

/** The parts that link this process to others. */
type NetworkParts = Pick<EntryVmParts, 'sync' | 'mesh' | 'scheduler' | 'upstreamClient'>;

/**
 * Creates an entry VM; it takes requests once it knows a configuration.
 * @param options - Settings, platform and seams.
 */
export async function createEntryVm(options: EntryVmOptions): Promise<EntryVm> {
	const base = createBaseParts(options);
	const network = await createNetworkParts(options, base);
	const parts = createJobParts(options, {...base, ...network});
	addPeerHandlers(options, parts);
	const listeners = await createListeners(options, parts, () => {
		void entryVm.close();
	});
	const entryVm = new EntryVm(options, parts, listeners, subscribeParts(parts));
	return entryVm;
}

function createBaseParts(options: EntryVmOptions): BaseParts {
	const {clock = systemClock, random = systemRandom, log, deployment, dataCenter, vm, platform, pollMs, limits = {}} = options;
	const self = {dataCenter, vm, id: `${vm}-${random.getHex(incarnationBytes)}`};
	const events = new EventLog({clock, process: self.id, capacity: limits.maxEvents});
	const followerOptions = {
		platform, deployment, clock, random, events, logger: log, pollMs,
	};
	return {
		state: {isStopping: false},
		clock,
		random,
		self,
		events,
		configuration: createConfigurationFollower(followerOptions),
		vmList: createVmListFollower(followerOptions),
		inbox: new PeerInbox(),
		metrics: createMetrics(),
	};
}

async function createNetworkParts(options: EntryVmOptions, base: BaseParts): Promise<NetworkParts> {
	const {clock, random, self, events, configuration, vmList} = base;
	const sync = new PeerSync({configuration, vmList, getPeers: () => mesh});
	const mesh = await createMesh(options, base, sync, () => {
		void confirmAfterPause(base, scheduler);
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
		decisions: options.decisions,
		tuning: options.tuning,
	});
	return {
		sync, mesh, scheduler, upstreamClient,
	};
}

async function createMesh(options: EntryVmOptions, base: BaseParts, sync: PeerSync, onPause: () => void): Promise<PeerMesh> {
	const {state, clock, random, self, events, configuration, vmList, inbox} = base;
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
			load: sync.getLoad(),
		}),
		onHeartbeat(body, from) {
			sync.handleHeartbeat(body, from);
		},
		onControl(message, from) {
			inbox.handleControl(message, from);
		},
		onRequest: async (request, from, signal) => inbox.handleRequest(request, from, signal),
		onPause,
	});
}

/** Gets a bound that takes any forwarded request and any answer with what goes around it. */
function getMaxPeerBodyBytes({maxBodyBytes = defaultMaxBodyBytes, maxJobAnswerBytes = defaultMaxJobAnswerBytes}: EntryVmLimits = {}): number {
	return 2 * Math.max(maxBodyBytes, maxJobAnswerBytes);
}

/**
 * Sends a message about slots: over the control link where there is one, else over a job connection, since not every VM has
 * control links to the VMs of other data centres. One that is lost there is made good by the next exchange of claims.
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

/** Starts no task after a pause until the list of VMs is fresh, or cannot be had. */
async function confirmAfterPause({clock, vmList}: BaseParts, scheduler: SlotScheduler): Promise<void> {
	scheduler.handlePause();
	await Promise.race([vmList.refresh(), sleep(clock, confirmTimeoutMs)]);
	scheduler.confirmView();
}

function createJobParts(options: EntryVmOptions, linked: BaseParts & NetworkParts): EntryVmParts {
	const {state, clock, random, self, events, configuration, metrics, sync, mesh, scheduler, upstreamClient} = linked;
	const {limits = {}, periodMs = defaultPeriodMs} = options;
	const runner = new JobRunner({
		clock,
		events,
		scheduler,
		upstreamClient,
		getConfiguration: () => configuration.getConfiguration(),
		maxAnswerBytes: limits.maxJobAnswerBytes ?? defaultMaxJobAnswerBytes,
		maxJobsInFlight: limits.maxJobsInFlight ?? defaultMaxJobsInFlight,
		onJobEnded(job, answer, service) {
			metrics.addJob(service, answer, job.getTimes());
		},
	});
	const coordinator = new Coordinator({
		clock, random, events, incarnation: self, runner, periodMs, records: limits.records,
	});
	sync.setTokenSource(() => coordinator.getToken());
	const directory = new CoordinatorDirectory({
		clock, selfId: self.id, peers: mesh, retentionMs: periodMs * (limits.records?.periodsKept ?? defaultPeriodsKept),
	});
	const router = new JobRouter({
		clock, events, self, coordinator, directory, peers: mesh, isStopping: () => state.isStopping,
	});
	const callerApi = new CallerApi({
		router,
		getCoordinatorToken: () => getTokenForNewJobs({...linked, coordinator}),
		maxBodyBytes: limits.maxBodyBytes ?? defaultMaxBodyBytes,
		maxHeldBytes: limits.maxHeldBytes ?? defaultMaxHeldBytes,
	});
	return {
		...linked, runner, coordinator, directory, router, callerApi,
	};
}

/** Gets this coordinator's token, or a peer's while this process is stopping. */
function getTokenForNewJobs({state, self, sync, mesh, coordinator}: Pick<EntryVmParts, 'state' | 'self' | 'sync' | 'mesh' | 'coordinator'>): string {
	if (state.isStopping) {
		for (const {incarnation} of getSuccessors(mesh.getMembers(), self)) {
			const token = sync.getToken(incarnation.id);
			if (token !== undefined) {
				return token;
			}
		}
	}

	return coordinator.getToken();
}

function addPeerHandlers(options: EntryVmOptions, {inbox, events, sync, scheduler, directory, router}: EntryVmParts): void {
	const receiver = new HandOverReceiver({
		records: options.limits?.records ?? {},
		onAdopted(records) {
			directory.addAdoptedRecords(records);
			events.addEvent('records-taken-over', records.coordinator.incarnation.id, `${records.getRecordCount()} records`);
		},
	});
	inbox.addControlHandler(slotTopic, (message, from) => {
		scheduler.handleControl(message, from.id);
	});
	inbox.addRequestHandler(slotTopic, ({topic, body}, _signal, from) => {
		scheduler.handleControl({topic, body}, from.id);
		return {};
	});
	inbox.addControlHandler(successionTopic, ({body}) => {
		directory.handleSuccession(body);
	});
	inbox.addRequestHandler(locateTopic, ({body}) => directory.handleLocate(body));
	inbox.addRequestHandler(handOverTopic, ({body}) => receiver.handleMessage(body));
	inbox.addRequestHandler(jobTopic, async ({body}, signal) => router.handleForwarded(body, signal));
	for (const topic of [configurationTopic, vmListTopic]) {
		inbox.addRequestHandler(topic, () => sync.getReply(topic));
	}
}

async function createListeners(options: EntryVmOptions, parts: EntryVmParts, startDrain: () => void): Promise<EntryVmListeners> {
	const {callerApi, events, metrics} = parts;
	const operatorApi = new OperatorApi({
		events,
		isReady: () => isEntryVmReady(parts),
		getStatus: () => getEntryVmStatus(parts),
		getMetrics: async () => metrics.getText({
			status: getEntryVmStatus(parts),
			platformCalls: options.platform.getCallCount(),
			callerHttp: caller.getCounters(),
			operatorHttp: operator.getCounters(),
		}),
		startDrain,
		isAllowed: createOperatorAccess({token: options.operatorToken, takesCertificates: options.tls?.operator?.hasAuthorities}),
	});
	const operator = await createHttpListener({
		address: options.operatorAddress,
		tls: options.tls?.operator,
		needsCertificate: false,
		maxConnections: maxOperatorConnections,
		handler(req, res) {
			void operatorApi.handleRequest(req, res);
		},
	});
	const caller = await createHttpListener({
		...options.limits?.http,
		address: options.callerAddress,
		tls: options.tls?.caller,
		handler(req, res) {
			void callerApi.handleRequest(req, res);
		},
	});
	return {caller, operator};
}

function subscribeParts({vmList, mesh, sync, upstreamClient}: EntryVmParts): ReadonlyArray<Subscription<unknown>> {
	return [
		vmList.getStream().subscribe({
			next({upstreams}) {
				upstreamClient.setUpstreams(upstreams);
			},
			error: rethrow,
			complete: () => undefined,
		}),
		mesh.getMemberStream().subscribe({
			next(members) {
				sync.setMembers(new Set(members.map(({incarnation}) => incarnation.id)));
			},
			error: rethrow,
			complete: () => undefined,
		}),
	];
}

function rethrow(err: Error): void {
	throw err;
}
