/**
 * Creates the components of an entry VM and connects them.
 */
import {type Subscription} from 'most';
import {CallerMemory, defaultMaxConnections} from '../connection/index.js';
import {systemClock, systemRandom} from '../seams/index.js';
import {CallerApi} from './caller-api.js';
import {createConfigurationFollower} from './configuration-follower.js';
import {Coordinator} from './coordinator.js';
import {CoordinatorDirectory, locateTopic, successionTopic} from './coordinator-directory.js';
import {EntryVm, type EntryVmComponents} from './entry-vm.js';
import {createListeners} from './entry-vm-listeners.js';
import {type BaseComponents, createNetworkComponents, type NetworkComponents} from './entry-vm-network.js';
import {defaultMaxBodyBytes, defaultMaxJobAnswerBytes, type EntryVmOptions} from './entry-vm-options.js';
import {EventLog} from './events.js';
import {getSuccessors, HandOverReceiver, handOverTopic} from './hand-over.js';
import {JobRouter, jobTopic} from './job-router.js';
import {JobRunner} from './job-runner.js';
import {createMetrics} from './metrics/index.js';
import {PeerMessageDispatcher} from './peer-message-dispatcher.js';
import {configurationTopic, vmListTopic} from './peer-sync.js';
import {slotTopic} from './scheduler/index.js';
import {createVmListFollower} from './vm-list-follower.js';

const defaultMaxHeldBytes = 256 * 1024 * 1024;
const defaultMaxJobsInFlight = 20_000;
const defaultPeriodMs = 60_000;
const defaultPeriodsKept = 10;
const incarnationBytes = 6;

/**
 * Creates an entry VM; it is ready once it has a configuration.
 * @param options - Settings, platform, clock and random source.
 */
export async function createEntryVm(options: EntryVmOptions): Promise<EntryVm> {
	const base = createBaseComponents(options);
	const network = await createNetworkComponents(options, base);
	const components = createJobComponents(options, {...base, ...network});
	addPeerHandlers(options, components);
	const listeners = await createListeners(options, components, () => {
		void entryVm.close();
	});
	const entryVm = new EntryVm(options, components, listeners, subscribeComponents(components));
	return entryVm;
}

function createBaseComponents(options: EntryVmOptions): BaseComponents {
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
		messageDispatcher: new PeerMessageDispatcher(),
		metrics: createMetrics(),
	};
}

function createJobComponents(options: EntryVmOptions, existing: BaseComponents & NetworkComponents): EntryVmComponents {
	const {state, clock, random, self, events, configuration, metrics, sync, mesh, scheduler, upstreamClient} = existing;
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
	const maxBodyBytes = limits.maxBodyBytes ?? defaultMaxBodyBytes;
	const callerMemory = new CallerMemory({
		clock,
		// One body of the maximum size is read whatever the other limit says.
		maxHeldBytes: Math.max(limits.maxHeldBytes ?? defaultMaxHeldBytes, 2 * maxBodyBytes),
		maxConnections: limits.http?.maxConnections ?? defaultMaxConnections,
		stallTimeoutMs: limits.http?.idleTimeoutMs,
		onRefused(counts, heldBytes) {
			options.log?.warn({...counts, heldBytes}, 'connections of callers refused');
		},
	});
	const callerApi = new CallerApi({
		router,
		getCoordinatorToken: () => getTokenForNewJobs({...existing, coordinator}),
		maxBodyBytes,
		memory: callerMemory,
	});
	return {
		...existing, runner, coordinator, directory, router, callerMemory, callerApi,
	};
}

/** Gets this coordinator's token, or that of a successor while this process is stopping. */
function getTokenForNewJobs({state, self, sync, mesh, coordinator}: Pick<EntryVmComponents, 'state' | 'self' | 'sync' | 'mesh' | 'coordinator'>): string {
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

function addPeerHandlers(options: EntryVmOptions, {messageDispatcher, events, sync, scheduler, directory, router}: EntryVmComponents): void {
	const receiver = new HandOverReceiver({
		records: options.limits?.records ?? {},
		onAdopted(records) {
			directory.addAdoptedRecords(records);
			events.addEvent('records-taken-over', records.coordinator.incarnation.id, `${records.getRecordCount()} records`);
		},
	});
	messageDispatcher.addControlHandler(slotTopic, (message, from) => {
		scheduler.handleControl(message, from.id);
	});
	messageDispatcher.addRequestHandler(slotTopic, ({topic, body}, _signal, from) => {
		scheduler.handleControl({topic, body}, from.id);
		return {};
	});
	messageDispatcher.addControlHandler(successionTopic, ({body}) => {
		directory.handleSuccession(body);
	});
	messageDispatcher.addRequestHandler(locateTopic, ({body}) => directory.handleLocateRequest(body));
	messageDispatcher.addRequestHandler(handOverTopic, ({body}) => receiver.handleMessage(body));
	messageDispatcher.addRequestHandler(jobTopic, async ({body}, signal) => router.handleForwarded(body, signal));
	for (const topic of [configurationTopic, vmListTopic]) {
		messageDispatcher.addRequestHandler(topic, () => sync.getReply(topic));
	}
}

function subscribeComponents({vmList, mesh, sync, upstreamClient}: EntryVmComponents): ReadonlyArray<Subscription<unknown>> {
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
