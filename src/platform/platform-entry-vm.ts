/**
 * An entry VM on the platform: connects the pool node and the peer mesh to the platform's store, callers and upstreams.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import type Logger from 'bunyan';
import {type Subscription} from 'most';
import {type Dispatcher} from 'undici';
import {
	CallerMemory, createHttpListener, createPeerMesh, dialTcp, EventLoopProgress, getCallerBounds, type HttpListener, type Incarnation, type PeerMesh, type PeerRequest, type SenderConfirmation,
} from '../connection/index.js';
import {
	type CallerLimits, configurationTopic, createRateLimitedLog, type DecisionLog, type Evacuation, Evacuations, getDataCenter, maxFullMeshVms, StartupOwnerCheck, PoolLayout, PoolNode,
	type StoredClaim, upstreamsSchema,
	upstreamsTopic,
} from '../pool/index.js';
import {type SchedulingOptions} from '../scheduling/index.js';
import {
	type Clock, type Random, sleep, systemClock, systemRandom, type Timer,
} from '../seams/index.js';
import {CallerEndpoint} from './caller-endpoint.js';
import {CancelledJobs, cancelTopic} from './cancelled-jobs.js';
import {ConfigurationWatch} from './configuration-watch.js';
import {describeIssues} from './describe-issues.js';
import {EvacuationWatch} from './evacuation-watch.js';
import {HttpOrders} from './http-orders.js';
import {LayoutManager} from './layout-manager.js';
import {LearntSpeeds, speedReportIntervalMs, speedsTopic} from './learnt-speeds.js';
import {PoolMetrics} from './pool-metrics.js';
import {type PlatformSettings} from './settings-file.js';
import {StoreClient} from './store-client.js';
import {UpstreamList} from './upstream-list.js';
import {upstreamRequestTopic, UpstreamRequests} from './upstream-requests.js';
import {VmRegistry} from './vm-registry.js';

/** Options of {@link createPlatformEntryVm}. */
export type PlatformEntryVmOptions = {
	readonly settings: PlatformSettings;
	readonly logger: Logger;
	readonly clock?: Clock;
	readonly random?: Random;
	/** Port of the metrics listener on this VM's address. */
	readonly metricsPort?: number;
	/** Time for which the number of upstreams must be unchanged before the number of pools is decided, in milliseconds. */
	readonly layoutSettleMs?: number;
	/** Parts of the scheduling that are on; all by default. */
	readonly scheduling?: SchedulingOptions;
	/** HTTP client of the calls to the store; one of its own by default. */
	readonly storeDispatcher?: Dispatcher;
};

/** Heartbeat interval in milliseconds: a VM counts as silent after 300 ms and as down after 500 ms. */
const heartbeatIntervalMs = 100;
const missedHeartbeatsUntilSilent = 3;
const missedHeartbeatsUntilDown = 5;

/**
 * Time after its start for which a VM counts as new, in milliseconds. With a smaller value, small VMs that start at the same time consider each other
 * silent; with a larger one, the failure of a VM shortly after its start is detected later.
 */
const newMemberMs = 3000;

/** Longest delay between attempts to connect to a VM, in milliseconds; bounds the time until VMs are reachable again after a network partition. */
const maxBackoffMs = 300;

/** Connect timeout of a link between VMs, in milliseconds: a hundred times the latency between data centres. */
const connectTimeoutMs = 300;

/** Links to each remote data centre when not all VMs are linked: one may fail while another one is being re-established. */
const remoteLinkCount = 3;

/** Time for which a report about a remote data centre is valid, in milliseconds: five heartbeats at the long interval, and their relay. */
const reportMaxAgeMs = 3000;

/** Time limit of the write that assigns a new owner its fence, in milliseconds; if it fails, the owner takes a fence without the store. */
const claimTimeoutMs = 200;

const nextMicrotask = Promise.resolve();

/** Time after the stop signal during which the load balancer still sends new connections, in milliseconds: two failed readiness checks. */
const balancerDrainMs = 2200;

/** Time after the stop signal until new jobs are refused, in milliseconds; jobs accepted earlier have time to complete. */
const acceptAfterStopMs = 3000;

/** Time before the kill at which a stopping process ends unconditionally, in milliseconds. */
const stopMarginMs = 500;
const stopPollMs = 20;

/** Time allowed for sending the last answers, in milliseconds. */
const flushMs = 150;

/** Minimum interval between two requests for a newer configuration, in milliseconds: two heartbeats. */
const minConfigurationRequestIntervalMs = 200;

/**
 * Time to wait for the store's watch to deliver a newer configuration that a peer has announced, in milliseconds: the watches of all VMs are answered at the
 * same time, and a configuration of thousands of routes takes a tenth of a second on a small VM's link.
 */
const storeWatchGraceMs = 300;

/** Prefix of the stored ownership claims, one item per pool. */
const claimPrefix = 'pools/';

/** Maximum number of connections of each listener for readiness or metrics, so that these cannot take all descriptors. */
const maxMonitorConnections = 64;

const defaultMetricsPort = 9464;
const incarnationBytes = 4;

/** An entry VM; runs until `close` or `abort`. */
export class PlatformEntryVm {
	readonly #settings: PlatformSettings;
	readonly #clock: Clock;
	readonly #log: DecisionLog;
	readonly #self: Incarnation;
	readonly #store: StoreClient;
	readonly #orders: HttpOrders;
	readonly #inputProgress: EventLoopProgress;
	readonly #configuration: ConfigurationWatch;
	readonly #evacuations = new Evacuations();
	readonly #evacuationWatch: EvacuationWatch;
	readonly #layout = new PoolLayout();
	readonly #layoutManager: LayoutManager;
	readonly #upstreams: UpstreamList;
	readonly #upstreamRequests: UpstreamRequests;
	readonly #registry: VmRegistry;
	readonly #neighbours: StartupOwnerCheck;
	readonly #cancelledJobs: CancelledJobs;
	readonly #callerMemory: CallerMemory;
	readonly #options: PlatformEntryVmOptions;
	readonly #listeners: HttpListener[] = [];
	#subscription: Subscription<unknown> | undefined;
	#mesh!: PeerMesh;
	#node!: PoolNode;
	#callerEndpoint!: CallerEndpoint;
	#callerListener!: HttpListener;
	#isStopping = false;
	#ownedPools: readonly string[] = [];
	#configurationRequestedAt = -Infinity;
	/** Last published upstreams of each pool owned by this VM, and the incarnations that received them. */
	readonly #speeds = new LearntSpeeds();
	#speedTimer: Timer | undefined;
	readonly #published = new Map<string, {readonly text: string; readonly to: Set<string>}>();

	constructor(options: PlatformEntryVmOptions) {
		const {
			settings, logger, clock = systemClock, random = systemRandom, layoutSettleMs: settleMs,
		} = options;
		this.#options = options;
		this.#settings = settings;
		this.#clock = clock;
		this.#log = createRateLimitedLog({clock, log: logger});
		this.#self = {dataCenter: settings.dataCenter, vm: settings.vm, id: `${settings.vm}-${random.getHex(incarnationBytes)}`};
		this.#store = new StoreClient({address: settings.storeAddress, clock, dispatcher: options.storeDispatcher});
		this.#inputProgress = new EventLoopProgress({clock});
		this.#orders = new HttpOrders({clock, log: this.#log});
		const sharedOptions = {clock, log: this.#log, store: this.#store};
		this.#evacuationWatch = new EvacuationWatch({log: this.#log, dataCenters: settings.dataCenters, evacuations: this.#evacuations});
		this.#callerMemory = new CallerMemory({
			...getCallerBounds(settings),
			clock,
			onRefused: (counts, heldBytes) => {
				this.#log.warn({...counts, heldBytes}, 'connections of callers refused');
			},
		});
		this.#configuration = new ConfigurationWatch({
			...sharedOptions,
			isNotifiedByPeers: () => this.#node.isStandby(),
			evacuations: this.#evacuationWatch,
			maxChangeMs: settings.evacuateMs,
			onActivated: table => {
				this.#applyCallerLimits(table.callerLimits);
			},
		});
		this.#upstreams = new UpstreamList({
			...sharedOptions,
			layout: this.#layout,
			dataCenters: settings.dataCenters,
			coldLimits: settings.coldLimits,
			onChange: () => {
				this.#handleUpstreamsChanged();
			},
			requestReports: async () => this.#upstreamRequests.request(),
		});
		this.#upstreamRequests = new UpstreamRequests({
			clock, log: this.#log, dataCenter: settings.dataCenter, getPeers: () => this.#mesh, getPools: () => this.#ownedPools, upstreams: this.#upstreams,
		});
		const {vm: name, dataCenter, peerAddress, callerAddress} = settings;
		this.#layoutManager = new LayoutManager({
			...sharedOptions, layout: this.#layout, upstreams: this.#upstreams, dataCenter, dataCenters: settings.dataCenters, settleMs,
			getMedianCores: () => this.#getMedianCores(),
			isDecider: () => this.#isFirstOfDataCenter(),
		});
		this.#registry = new VmRegistry({
			...sharedOptions,
			self: {
				name, dataCenter, peerAddress, callerAddress,
			},
			onRead: listed => {
				this.#neighbours.setVms(listed.filter(vm => vm.dataCenter === dataCenter && vm.name !== name));
			},
			onRegistered: revision => {
				this.#node.setOwnRevision(revision);
			},
		});
		this.#cancelledJobs = new CancelledJobs({clock, getPeers: () => this.#mesh});
		this.#neighbours = new StartupOwnerCheck({clock, dial: dialTcp, hasReportedPools: vm => this.#node.hasReportedPools(vm)});
	}

	/** Gets the addresses that this VM listens on; the callers' address is first. */
	getAddresses(): readonly string[] {
		return this.#listeners.map(listener => listener.getAddress());
	}

	/** Starts all components. */
	async start(): Promise<void> {
		this.#mesh = await this.#createMesh();
		this.#node = this.#createNode();
		this.#callerEndpoint = new CallerEndpoint({
			clock: this.#clock,
			log: this.#log,
			node: this.#node,
			cancelledJobs: this.#cancelledJobs,
			getRoutingTable: () => this.#configuration.getRoutingTable(),
			memory: this.#callerMemory,
			onAnswer(answer) {
				metrics.addAnswer(answer);
			},
		});
		const metrics = new PoolMetrics({
			node: this.#node, store: this.#store, upstreams: this.#upstreams, getTraffic: () => this.#mesh.getTraffic(), getCallerCounters: () => ({...this.#callerMemory.getCounters(), ...this.#callerListener.getCounters()}),
		});
		this.#callerListener = await this.#listen(this.#settings.callerAddress, (req, res) => {
			void this.#callerEndpoint.handle(req, res);
		}, this.#callerMemory);
		this.#applyCallerLimits(this.#configuration.getRoutingTable()?.callerLimits);
		await this.#listen(this.#settings.readinessAddress, (_, res) => {
			res.writeHead(this.isReady() ? 200 : 503).end();
		});
		await this.#listen(`${this.#settings.ip}:${this.#options.metricsPort ?? defaultMetricsPort}`, async (_, res) => {
			res.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'}).end(await metrics.getText());
		});
		this.#subscription = this.#mesh.getMemberStream().subscribe({
			next: () => {
				this.#publishAllUpstreams();
			},
			error: err => {
				this.#log.warn({err: err.message}, 'member stream failed');
			},
			complete() {/* The mesh is closed. */},
		});
		if (this.#learnsDurations()) {
			this.#speedTimer = this.#clock.setRepeatingTimer(() => {
				this.#publishSpeeds();
			}, speedReportIntervalMs);
		}

		void this.#configuration.run();
		void this.#registry.run();
		void this.#upstreams.read();
		void this.#layoutManager.run();
		this.#log.warn({vm: this.#settings.vm, id: this.#self.id, dataCenter: this.#settings.dataCenter}, 'started');
	}

	/** Gets whether this VM should receive new connections of callers. */
	isReady(): boolean {
		return !this.#isStopping && this.#configuration.getRoutingTable() !== undefined && this.#node.directory.getViews().length > 0;
	}

	/** Gets the version of the active configuration; 0 if there is none. */
	getConfigurationVersion(): number {
		return this.#configuration.getRoutingTable()?.version ?? 0;
	}

	/** Gets the evacuated data centres and the revision of the store at which they are. */
	getEvacuation(): Evacuation {
		return this.#evacuations.getState();
	}

	/** Gets the number of known pools. */
	getPoolCount(): number {
		return this.#layout.getPools().length;
	}

	/** Gets the total cores of all pools according to the latest load reports. */
	getKnownCores(): number {
		return this.#node.directory.getViews().reduce((sum, {cores}) => sum + cores, 0);
	}

	/** Gets whether this VM owns a pool. */
	isOwner(): boolean {
		return !this.#node.ownsNoPools();
	}

	/** Gets the number of upstreams of the pools owned by this VM that accept tasks. */
	getAvailableUpstreamCount(): number {
		return this.#node.getOwners().flatMap(owner => owner.getUpstreams()).filter(({isSilent, isLeaving}) => !isSilent && !isLeaving).length;
	}

	/** Shuts down gracefully: drains callers' connections, hands the pools over to other VMs and answers accepted requests. */
	async close(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		const startedAt = this.#clock.getMonotonicTime();
		const endAt = startedAt + this.#settings.stopGraceMs - stopMarginMs;
		this.#isStopping = true;
		this.#log.warn({open: this.#callerEndpoint.getPendingCount()}, 'stopping');
		this.#callerListener.drain();
		this.#node.leave();
		while (this.#clock.getMonotonicTime() < endAt && !this.#isDrained(startedAt)) {
			if (this.#clock.getMonotonicTime() - startedAt >= acceptAfterStopMs) {
				this.#callerEndpoint.refuse();
			}

			await sleep(this.#clock, stopPollMs);
		}

		this.#callerEndpoint.refuse();
		this.#callerEndpoint.abort();

		// Requests on open connections are answered until all connections are closed.
		await Promise.race([this.#callerListener.close(), sleep(this.#clock, Math.max(flushMs, endAt - this.#clock.getMonotonicTime()))]);
		await this.#closeParts();
		this.#log.warn({open: this.#callerEndpoint.getPendingCount(), tookMs: Math.round(this.#clock.getMonotonicTime() - startedAt)}, 'stopped');
	}

	/** Stops immediately, as when the process dies. */
	async abort(): Promise<void> {
		this.#isStopping = true;
		await this.#closeParts();
		await Promise.all(this.#listeners.map(async listener => listener.abort()));
	}

	#isDrained(startedAt: number): boolean {
		return this.#clock.getMonotonicTime() - startedAt >= balancerDrainMs && this.#callerEndpoint.getPendingCount() === 0 && this.#node.ownsNoPools();
	}

	async #closeParts(): Promise<void> {
		this.#subscription?.unsubscribe();
		this.#speedTimer?.close();
		this.#configuration.close();
		this.#registry.close();
		this.#layoutManager.close();
		this.#upstreams.close();
		this.#node.close();
		this.#cancelledJobs.close();
		this.#callerMemory.close();
		this.#inputProgress.close();
		await this.#mesh.close();
		await this.#orders.close();
		await this.#store.close();
	}

	#applyCallerLimits(limits: CallerLimits = {}): void {
		// Peers may deliver a configuration before the listener is open.
		(this.#callerListener as HttpListener | undefined)?.setLimits(limits);
		this.#callerMemory.setStallTimeout(limits.idleTimeoutMs);
	}

	async #listen(address: string, handler: (req: IncomingMessage, res: ServerResponse) => void, memory?: CallerMemory): Promise<HttpListener> {
		const listener = await createHttpListener({
			address, handler, memory, maxConnections: maxMonitorConnections, clock: this.#clock,
		});
		this.#listeners.push(listener);
		return listener;
	}

	async #createMesh(): Promise<PeerMesh> {
		const {settings} = this.#options;
		return createPeerMesh({
			clock: this.#clock,
			random: this.#options.random ?? systemRandom,
			inputProgress: this.#inputProgress,
			deployment: 'endivemill',
			self: this.#self,
			log: this.#options.logger,
			listenAddress: settings.peerAddress,
			// The platform provides no secret; the store's address distinguishes the VMs of other deployments.
			key: settings.storeAddress,
			seeds: settings.peerSeeds.filter(seed => seed !== settings.peerAddress),
			entryVms: this.#registry.getStream(),
			heartbeatIntervalMs,
			remoteHeartbeatIntervalMs: heartbeatIntervalMs,
			missedHeartbeatsUntilSilent,
			missedHeartbeatsUntilDown,
			maxBackoffMs,
			connectTimeoutMs,
			newMemberMs,
			remoteLinkCount,
			maxFullMeshVms,
			reportMaxAgeMs,
			getHeartbeatIntervalTicks: peer => this.#node?.getHeartbeatIntervalTicks(peer) ?? 1,
			getHeartbeat: () => ({
				configurationVersion: this.#configuration.getRoutingTable()?.version ?? 0,
				isLeaving: this.#isStopping || (this.#node?.isResigning() ?? false),
				claims: this.#node?.getFences() ?? {},
				cores: settings.cores,
				load: this.#node?.getClaims() ?? {},
				evacuation: this.#evacuationWatch.getPublishedState(),
			}),
			onHeartbeat: (body, from) => {
				if (body.evacuation !== undefined) {
					this.#evacuationWatch.addPeerState(body.evacuation, from.id);
				}

				this.#node?.handleHeartbeat(body.load, from);
				if (body.configurationVersion > this.getConfigurationVersion()) {
					void this.#requestConfiguration(body.configurationVersion, from);
				}
			},
			getRelayed: () => this.#node?.remoteLoads.getItems() ?? [],
			onRelayed: (relayed, from) => {
				this.#node?.remoteLoads.handleRelayed(relayed, from);
			},
			onControl: ({topic, body}) => {
				this.#handleControl(topic, body);
			},
			onRequest: async (request, from, signal, confirmation) => this.#handleRequest(request, from, signal, confirmation),
			onPause: gapMs => {
				this.#log.warn({gapMs: Math.round(gapMs)}, 'process was paused');
			},
		});
	}

	#createNode(): PoolNode {
		const {cores, maxLeaseMs, resendMs} = this.#settings;
		return new PoolNode({
			clock: this.#clock,
			random: this.#options.random ?? systemRandom,
			log: this.#log,
			self: this.#self,
			cores,
			layout: this.#layout,
			isLayoutKnown: () => this.#layoutManager.isKnown(),
			peers: this.#mesh,
			inputProgress: this.#inputProgress,
			orders: this.#orders,
			maxLeaseMs,
			resendMs,
			scheduling: this.#options.scheduling,
			relayedMaxAgeMs: reportMaxAgeMs,
			peerSilenceMs: missedHeartbeatsUntilDown * heartbeatIntervalMs,
			evacuations: this.#evacuations,
			// An owner must know the evacuated data centres before it starts tasks.
			isSettled: () => this.#neighbours.isSettled() && this.#configuration.isFirstReadDone(),
			getVmCount: () => this.#neighbours.getVmCount() + 1,
			claims: {
				addClaim: async pool => this.#addClaim(pool),
				getClaim: async pool => this.#getClaim(pool),
			},
			getUpstreams: pool => this.#speeds.addTo(pool, this.#upstreams.getUpstreams(pool)),
			getMissingUpstreams: pool => this.#upstreams.getMissingUpstreams(pool),
			getFormerUpstreams: pool => this.#upstreams.getFormerUpstreams(pool),
			isListComplete: pool => this.#upstreams.isComplete(pool),
			onOwnedPoolsChanged: pools => {
				this.#published.clear();
				this.#ownedPools = pools;
				this.#upstreams.setFollowing(pools.length > 0);
			},
		});
	}

	/** Writes a claim and returns its revision, which is higher than all earlier ones: each write increments it. */
	async #addClaim(pool: string): Promise<number | undefined> {
		const writing = this.#store.setItem(`${claimPrefix}${pool}`, this.#self.id, claimTimeoutMs);
		await nextMicrotask;
		// A new owner follows the list from now on; what it knows from reports may be older than a change of an upstream's capacity.
		await this.#upstreams.waitForUpdate(claimTimeoutMs);
		const result = await writing;
		if (!result.ok) {
			this.#log.warn({pool, reason: result.reason, detail: result.detail}, 'failed to write the claim');
			return undefined;
		}

		return result.value.revision;
	}

	async #getClaim(pool: string): Promise<StoredClaim | undefined> {
		const result = await this.#store.getItem(`${claimPrefix}${pool}`);
		if (!result.ok) {
			this.#log.warn({pool, reason: result.reason, detail: result.detail}, 'failed to read the claim');
			return undefined;
		}

		const {item} = result.value;
		return item && {ownerId: item.value, revision: item.revision};
	}

	/** Gets the median core count of the VMs that are up in this data centre. */
	#getMedianCores(): number {
		const localMembers = this.#mesh.getMembers().filter(({incarnation, state}) => state === 'up' && incarnation.dataCenter === this.#self.dataCenter);
		const cores = [this.#settings.cores, ...localMembers.map(member => member.cores)].toSorted((a, b) => a - b);
		return cores[Math.floor(cores.length / 2)]!;
	}

	/** Gets whether this VM's name sorts first among the VMs that are up in its data centre. */
	#isFirstOfDataCenter(): boolean {
		const {vm, dataCenter} = this.#self;
		return this.#mesh.getMembers().every(({incarnation, state}) => state !== 'up' || incarnation.dataCenter !== dataCenter || vm <= incarnation.vm);
	}

	#handleUpstreamsChanged(): void {
		this.#node.handleUpstreamsChanged();
		this.#publishAllUpstreams();
	}

	#publishAllUpstreams(): void {
		for (const owner of this.#node.getOwners()) {
			this.#publishUpstreams(owner.getPool());
		}
	}

	/** Publishes a pool's upstreams to the VMs of its data centre, any of which may have to take over the pool while the store is unavailable. */
	#publishUpstreams(pool: string): void {
		const report = this.#upstreams.getReport(pool);
		if (report.upstreams.length === 0) {
			return;
		}

		const text = JSON.stringify({...report, revision: undefined});
		const previous = this.#published.get(pool);
		const publication = previous?.text === text ? previous : {text, to: new Set<string>()};
		this.#published.set(pool, publication);
		const dataCenter = getDataCenter(pool);
		for (const {incarnation, state} of this.#mesh.getMembers()) {
			const isDue = incarnation.dataCenter === dataCenter && state === 'up' && !publication.to.has(incarnation.id);
			if (isDue && this.#mesh.sendControl(incarnation.id, {topic: upstreamsTopic, body: report})) {
				publication.to.add(incarnation.id);
			}
		}
	}

	#learnsDurations(): boolean {
		return this.#options.scheduling?.learnsDurations ?? true;
	}

	/** Sends the learnt speeds of the upstreams to the VMs of the pool's data centre if they have changed. */
	#publishSpeeds(): void {
		for (const owner of this.#node.getOwners()) {
			const pool = owner.getPool();
			const sent = this.#speeds.getReport(pool, owner.getUpstreams());
			for (const {incarnation, state} of sent === undefined ? [] : this.#mesh.getMembers()) {
				const isDue = incarnation.dataCenter === getDataCenter(pool) && state === 'up' && !sent!.to.has(incarnation.id);
				if (isDue && this.#mesh.sendControl(incarnation.id, {topic: speedsTopic, body: sent!.report})) {
					sent!.to.add(incarnation.id);
				}
			}
		}
	}

	#handleControl(topic: string, body: unknown): void {
		if (this.#node?.handleMessage(topic, body)) {
			return;
		}

		if (topic === speedsTopic) {
			if (this.#learnsDurations() && !this.#speeds.addReport(body)) {
				this.#log.warn({topic}, 'invalid message');
			}

			return;
		}

		if (topic !== upstreamsTopic) {
			this.#log.warn({topic}, 'message with an unknown topic');
			return;
		}

		const parsed = upstreamsSchema.safeParse(body);
		if (!parsed.success) {
			this.#log.warn({topic, err: describeIssues(parsed.error)}, 'invalid message');
			return;
		}

		const {pool, invalidCount} = parsed.data;
		if (invalidCount > 0) {
			this.#log.info({topic, pool, invalidCount}, 'invalid upstreams of a report skipped');
		}

		this.#upstreams.addReport(parsed.data);
	}

	async #handleRequest(request: PeerRequest, from: Incarnation, signal: AbortSignal, confirmation: SenderConfirmation): Promise<unknown> {
		if (request.topic === configurationTopic) {
			return this.#configuration.getText();
		}

		if (request.topic === cancelTopic) {
			return this.#cancelledJobs.handleRequest(request.body);
		}

		if (request.topic === upstreamRequestTopic) {
			return this.#upstreamRequests.handleRequest(request.body);
		}

		if (this.#node.handlesTopic(request.topic)) {
			return this.#node.handleRequest(request, signal, confirmation);
		}

		this.#log.warn({topic: request.topic, peer: from.id}, 'request with an unknown topic');
		return {};
	}

	/** Requests a newer configuration from a peer; the store may reject this VM's calls while it serves the peer. */
	async #requestConfiguration(version: number, from: Incarnation): Promise<void> {
		const now = this.#clock.getMonotonicTime();
		if (version <= (this.#configuration.getRoutingTable()?.version ?? 0) || now - this.#configurationRequestedAt < minConfigurationRequestIntervalMs) {
			return;
		}

		this.#configurationRequestedAt = now;
		if (!this.#configuration.isStoreUnavailable()) {
			await sleep(this.#clock, storeWatchGraceMs);
			if (version <= (this.#configuration.getRoutingTable()?.version ?? 0)) {
				return;
			}
		}

		const outcome = await this.#mesh.request(from.id, {topic: configurationTopic, body: {}});
		if (outcome.kind === 'answered' && typeof outcome.body === 'string') {
			this.#configuration.addText(outcome.body, from.id);
		}
	}
}

/**
 * Creates and starts an entry VM on the platform.
 * @param options - Settings, logger and replaceable dependencies.
 */
export async function createPlatformEntryVm(options: PlatformEntryVmOptions): Promise<PlatformEntryVm> {
	const entryVm = new PlatformEntryVm(options);
	await entryVm.start();
	return entryVm;
}
