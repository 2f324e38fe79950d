/**
 * An entry VM on the platform: the parts of the product joined to the platform's store, callers and upstreams.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import type Logger from 'bunyan';
import {type Subscription} from 'most';
import {
	createHttpListener, createPeerMesh, dialTcp, type HttpListener, type Incarnation, type PeerMesh, type PeerRequest,
} from '../connection/index.js';
import {
	configurationTopic, createBoundedLog, type DecisionLog, getDataCenter, maxMeshVms, NeighbourCheck, PoolLayout, PoolNode, type StoredClaim, upstreamsSchema,
	upstreamsTopic,
} from '../pool/index.js';
import {
	type Clock, type Random, sleep, systemClock, systemRandom,
} from '../seams/index.js';
import {CallerDoor} from './caller-door.js';
import {ConfigurationWatch} from './configuration-watch.js';
import {HttpOrders} from './http-orders.js';
import {LayoutKeeper} from './layout-keeper.js';
import {PoolMetrics} from './pool-metrics.js';
import {type PlatformSettings} from './settings-file.js';
import {StoreClient} from './store-client.js';
import {UpstreamList} from './upstream-list.js';
import {VmRegistry} from './vm-registry.js';

/** Options of {@link createPlatformEntryVm}. */
export type PlatformEntryVmOptions = {
	readonly settings: PlatformSettings;
	readonly logger: Logger;
	readonly clock?: Clock;
	readonly random?: Random;
	/** Port of the metrics on this VM's address. */
	readonly metricsPort?: number;
	/** Time for which the number of upstreams must not change before the number of pools is decided, in milliseconds. */
	readonly layoutSettleMs?: number;
};

/** Time between heartbeats, in milliseconds: silence is noticed after 300 ms and a VM taken to be down after 500 ms. */
const beatMs = 100;
const silentBeats = 3;
const downBeats = 5;

/**
 * Time for which a VM that started counts as new, in milliseconds. Smaller, small VMs that start at the same time take each other for silent;
 * larger, one that dies soon after its start is missed later.
 */
const newcomerMs = 3000;

/** Longest time between tries to link to a VM, in milliseconds: soon after a cut has healed its VMs should be seen again. */
const maxRedialMs = 300;

/** Time limit of a link between VMs to be made, in milliseconds: a hundred times the way between data centres. */
const maxConnectMs = 300;

/** Links to each other data centre where not all VMs are linked: one may fail while another one is made anew. */
const farLinks = 3;

/** Time for which a report of another data centre counts, in milliseconds: five heartbeats of the slow pace, and its relay. */
const reportFreshMs = 3000;

/** Time limit of the write that gives a new owner its fence, in milliseconds; without it the owner goes on. */
const fenceTimeoutMs = 200;

/** Time after the stop signal in which the balancer still sends new connections, in milliseconds: two missed checks. */
const balancerMs = 2200;

/** Time after the stop signal until jobs are refused, in milliseconds: what came before has time to end. */
const stopTakingMs = 3000;

/** Time before the kill at which a stopping process ends in any case, in milliseconds. */
const stopMarginMs = 500;
const stopPollMs = 20;

/** Time for the last answers to leave, in milliseconds. */
const flushMs = 150;

/** Shortest time between two questions for a newer configuration, in milliseconds: two heartbeats. */
const configurationAskMs = 200;

/**
 * Time for which the store's own answer is waited for after a peer told of a newer configuration, in milliseconds: the watches of all VMs are answered at once,
 * and a configuration of thousands of routes takes a tenth of a second on a small VM's link.
 */
const configurationWaitMs = 300;

/** Prefix of the items that tell who owns a pool. */
const claimPrefix = 'pools/';

const defaultMetricsPort = 9464;
const incarnationBytes = 4;

/** Runs until `close`. */
export class PlatformEntryVm {
	readonly #settings: PlatformSettings;
	readonly #clock: Clock;
	readonly #log: DecisionLog;
	readonly #self: Incarnation;
	readonly #store: StoreClient;
	readonly #orders: HttpOrders;
	readonly #configuration: ConfigurationWatch;
	readonly #layout = new PoolLayout();
	readonly #layoutKeeper: LayoutKeeper;
	readonly #upstreams: UpstreamList;
	readonly #registry: VmRegistry;
	readonly #neighbours: NeighbourCheck;
	readonly #options: PlatformEntryVmOptions;
	readonly #listeners: HttpListener[] = [];
	#subscription: Subscription<unknown> | undefined;
	#mesh!: PeerMesh;
	#node!: PoolNode;
	#door!: CallerDoor;
	#callers!: HttpListener;
	#isStopping = false;
	#askedAt = -Infinity;
	/** What was last told of the upstreams of each pool owned here, and to whom. */
	readonly #told = new Map<string, {readonly text: string; readonly to: Set<string>}>();

	constructor(options: PlatformEntryVmOptions) {
		const {
			settings, logger, clock = systemClock, random = systemRandom, layoutSettleMs: settleMs,
		} = options;
		this.#options = options;
		this.#settings = settings;
		this.#clock = clock;
		this.#log = createBoundedLog({clock, log: logger});
		this.#self = {dataCenter: settings.dataCenter, vm: settings.vm, id: `${settings.vm}-${random.getHex(incarnationBytes)}`};
		this.#store = new StoreClient({address: settings.storeAddress, clock});
		this.#orders = new HttpOrders({clock});
		const parts = {clock, log: this.#log, store: this.#store};
		this.#configuration = new ConfigurationWatch({...parts, isBacked: () => this.#node.isBacked()});
		this.#upstreams = new UpstreamList({
			...parts,
			layout: this.#layout,
			onChange: () => {
				this.#handleUpstreamsChanged();
			},
		});
		const {vm: name, dataCenter, peerAddress, callerAddress} = settings;
		this.#layoutKeeper = new LayoutKeeper({
			...parts, layout: this.#layout, upstreams: this.#upstreams, dataCenter, dataCenters: settings.dataCenters, settleMs,
			getUsualCores: () => this.#getUsualCores(),
			isDecider: () => this.#isFirstOfDataCenter(),
		});
		this.#registry = new VmRegistry({
			...parts,
			self: {
				name, dataCenter, peerAddress, callerAddress,
			},
			onRead: listed => {
				this.#neighbours.setNeighbours(listed.filter(vm => vm.dataCenter === dataCenter && vm.name !== name));
			},
		});
		this.#neighbours = new NeighbourCheck({clock, dial: dialTcp, isHeard: vm => this.#node.isHeard(vm)});
	}

	/** Gets the addresses it listens on, callers first. */
	getAddresses(): readonly string[] {
		return this.#listeners.map(listener => listener.getAddress());
	}

	/** Starts all parts. */
	async start(): Promise<void> {
		this.#mesh = await this.#createMesh();
		this.#node = this.#createNode();
		this.#door = new CallerDoor({
			clock: this.#clock,
			log: this.#log,
			node: this.#node,
			getTable: () => this.#configuration.getTable(),
			resendMs: this.#settings.resendMs,
			onAnswer(answer) {
				metrics.addAnswer(answer);
			},
		});
		const metrics = new PoolMetrics(this.#node, this.#store);
		this.#callers = await this.#listen(this.#settings.callerAddress, (req, res) => {
			void this.#door.handle(req, res);
		});
		await this.#listen(this.#settings.readinessAddress, (_, res) => {
			res.writeHead(this.isReady() ? 200 : 503).end();
		});
		await this.#listen(`${this.#settings.ip}:${this.#options.metricsPort ?? defaultMetricsPort}`, async (_, res) => {
			res.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'}).end(await metrics.getText());
		});
		this.#subscription = this.#mesh.getMemberStream().subscribe({
			next: () => {
				this.#tellAllUpstreams();
			},
			error: err => {
				this.#log.warn({err: err.message}, 'the stream of members failed');
			},
			complete() {/* The mesh is closed. */},
		});
		void this.#configuration.run();
		void this.#registry.run();
		void this.#upstreams.read();
		void this.#layoutKeeper.run();
		this.#log.warn({vm: this.#settings.vm, id: this.#self.id, dataCenter: this.#settings.dataCenter}, 'started');
	}

	/** Gets whether new callers' connections should come here. */
	isReady(): boolean {
		return !this.#isStopping && this.#configuration.getTable() !== undefined && this.#node.directory.getViews().length > 0;
	}

	/** Gets the version of the configuration in force; 0 for none. */
	getConfigurationVersion(): number {
		return this.#configuration.getTable()?.version ?? 0;
	}

	/** Gets the number of pools known. */
	getPoolCount(): number {
		return this.#layout.getPools().length;
	}

	/** Gets the cores of all pools as last heard. */
	getKnownCores(): number {
		return this.#node.directory.getViews().reduce((sum, {cores}) => sum + cores, 0);
	}

	/** Gets whether this VM owns a pool. */
	isOwner(): boolean {
		return !this.#node.isFree();
	}

	/** Gets the number of upstreams of the pools owned here that take tasks. */
	getOpenUpstreamCount(): number {
		return this.#node.getOwners().flatMap(owner => owner.getUpstreams()).filter(({isSilent, isLeaving}) => !isSilent && !isLeaving).length;
	}

	/** Stops: callers go elsewhere, pools go to other VMs, accepted requests are answered. */
	async close(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		const startedAt = this.#clock.getMonotonicTime();
		const endAt = startedAt + this.#settings.stopGraceMs - stopMarginMs;
		this.#isStopping = true;
		this.#log.warn({open: this.#door.getOpenCount()}, 'stopping');
		this.#callers.drain();
		this.#node.leave();
		while (this.#clock.getMonotonicTime() < endAt && !this.#mayEnd(startedAt)) {
			if (this.#clock.getMonotonicTime() - startedAt >= stopTakingMs) {
				this.#door.refuse();
			}

			await sleep(this.#clock, stopPollMs);
		}

		this.#door.refuse();
		this.#door.abort();

		// Requests that come on open connections are answered until all of them are closed.
		await Promise.race([this.#callers.close(), sleep(this.#clock, Math.max(flushMs, endAt - this.#clock.getMonotonicTime()))]);
		await this.#closeParts();
		this.#log.warn({open: this.#door.getOpenCount(), tookMs: Math.round(this.#clock.getMonotonicTime() - startedAt)}, 'stopped');
	}

	/** Ends at once, as when the process dies. */
	async abort(): Promise<void> {
		this.#isStopping = true;
		await this.#closeParts();
		await Promise.all(this.#listeners.map(async listener => listener.abort()));
	}

	#mayEnd(startedAt: number): boolean {
		return this.#clock.getMonotonicTime() - startedAt >= balancerMs && this.#door.getOpenCount() === 0 && this.#node.isFree();
	}

	async #closeParts(): Promise<void> {
		this.#subscription?.unsubscribe();
		this.#configuration.close();
		this.#registry.close();
		this.#layoutKeeper.close();
		this.#upstreams.close();
		this.#node.close();
		await this.#mesh.close();
		await this.#orders.close();
		await this.#store.close();
	}

	async #listen(address: string, handler: (req: IncomingMessage, res: ServerResponse) => void): Promise<HttpListener> {
		const listener = await createHttpListener({address, handler, clock: this.#clock});
		this.#listeners.push(listener);
		return listener;
	}

	async #createMesh(): Promise<PeerMesh> {
		const {settings} = this.#options;
		return createPeerMesh({
			clock: this.#clock,
			random: this.#options.random ?? systemRandom,
			deployment: 'endivemill',
			self: this.#self,
			log: this.#options.logger,
			listenAddress: settings.peerAddress,
			// The platform hands out no secret; the store's address keeps VMs of other deployments apart.
			key: settings.storeAddress,
			seeds: settings.peerSeeds.filter(seed => seed !== settings.peerAddress),
			entryVms: this.#registry.getStream(),
			beatMs,
			farBeatMs: beatMs,
			silentBeats,
			downBeats,
			maxBackoffMs: maxRedialMs,
			connectTimeoutMs: maxConnectMs,
			newMemberMs: newcomerMs,
			remoteLinkCount: farLinks,
			maxFullMeshVms: maxMeshVms,
			reportMaxAgeMs: reportFreshMs,
			getHeartbeatIntervalFactor: peer => this.#node?.getBeatFactor(peer) ?? 1,
			getHeartbeat: () => ({
				configurationVersion: this.#configuration.getTable()?.version ?? 0,
				isLeaving: this.#isStopping || (this.#node?.isResigning() ?? false),
				claims: this.#node?.getFences() ?? {},
				cores: settings.cores,
				load: this.#node?.getClaims() ?? {},
			}),
			onHeartbeat: (body, from) => {
				this.#node?.handleHeartbeat(body.load, from);
				void this.#askConfiguration(body.configurationVersion, from);
			},
			onControl: ({topic, body}) => {
				this.#handleControl(topic, body);
			},
			onRequest: async (request, from, signal) => this.#handleRequest(request, from, signal),
			onPause: gapMs => {
				this.#log.warn({gapMs: Math.round(gapMs)}, 'process was paused');
			},
		});
	}

	#createNode(): PoolNode {
		const {cores, maxLeaseMs} = this.#settings;
		return new PoolNode({
			clock: this.#clock,
			random: this.#options.random ?? systemRandom,
			log: this.#log,
			self: this.#self,
			cores,
			layout: this.#layout,
			isLayoutKnown: () => this.#layoutKeeper.isKnown(),
			peers: this.#mesh,
			orders: this.#orders,
			maxLeaseMs,
			peerSilenceMs: downBeats * beatMs,
			isSettled: () => this.#neighbours.isSettled(),
			getVmCount: () => this.#neighbours.getCount() + 1,
			claims: {
				addClaim: async pool => this.#addClaim(pool),
				getClaim: async pool => this.#getClaim(pool),
			},
			getUpstreams: pool => this.#upstreams.getUpstreams(pool),
			getMissingUpstreams: pool => this.#upstreams.getMissingUpstreams(pool),
			isListComplete: pool => this.#upstreams.isComplete(pool),
			onOwnedChanged: pools => {
				this.#told.clear();
				this.#upstreams.setFollowing(pools.length > 0);
			},
		});
	}

	/** The store's revision rises with each write, so that the revision of a write is a fence above all earlier ones. */
	async #addClaim(pool: string): Promise<number | undefined> {
		const result = await this.#store.setItem(`${claimPrefix}${pool}`, this.#self.id, fenceTimeoutMs);
		if (!result.ok) {
			this.#log.warn({pool, reason: result.reason, detail: result.detail}, 'claim not written');
			return undefined;
		}

		return result.value.revision;
	}

	async #getClaim(pool: string): Promise<StoredClaim | undefined> {
		const result = await this.#store.getItem(`${claimPrefix}${pool}`);
		if (!result.ok) {
			this.#log.warn({pool, reason: result.reason, detail: result.detail}, 'claim not read');
			return undefined;
		}

		const {item} = result.value;
		return item && {ownerId: item.value, revision: item.revision};
	}

	/** Gets the median of the cores of the VMs seen in this data centre. */
	#getUsualCores(): number {
		const near = this.#mesh.getMembers().filter(({incarnation, state}) => state === 'up' && incarnation.dataCenter === this.#self.dataCenter);
		const cores = [this.#settings.cores, ...near.map(member => member.cores)].toSorted((a, b) => a - b);
		return cores[Math.floor(cores.length / 2)]!;
	}

	/** Gets whether this VM has the first name of those of its data centre that are seen here. */
	#isFirstOfDataCenter(): boolean {
		const {vm, dataCenter} = this.#self;
		return this.#mesh.getMembers().every(({incarnation, state}) => state !== 'up' || incarnation.dataCenter !== dataCenter || vm <= incarnation.vm);
	}

	#handleUpstreamsChanged(): void {
		this.#node.handleUpstreamsChanged();
		this.#tellAllUpstreams();
	}

	#tellAllUpstreams(): void {
		for (const owner of this.#node.getOwners()) {
			this.#tellUpstreams(owner.getPool());
		}
	}

	/** Tells the VMs of the data centre, one of which may own the pool when the store is away. */
	#tellUpstreams(pool: string): void {
		const upstreams = this.#upstreams.getUpstreams(pool);
		if (upstreams.length === 0) {
			return;
		}

		const text = JSON.stringify(upstreams);
		const last = this.#told.get(pool);
		const told = last?.text === text ? last : {text, to: new Set<string>()};
		this.#told.set(pool, told);
		const dataCenter = getDataCenter(pool);
		for (const {incarnation, state} of this.#mesh.getMembers()) {
			const isDue = incarnation.dataCenter === dataCenter && state === 'up' && !told.to.has(incarnation.id);
			if (isDue && this.#mesh.sendControl(incarnation.id, {topic: upstreamsTopic, body: {pool, revision: this.#upstreams.getRevision(), upstreams}})) {
				told.to.add(incarnation.id);
			}
		}
	}

	#handleControl(topic: string, body: unknown): void {
		if (this.#node?.handleMessage(topic, body)) {
			return;
		}

		if (topic !== upstreamsTopic) {
			this.#log.warn({topic}, 'message of an unknown topic');
			return;
		}

		const told = upstreamsSchema.safeParse(body);
		if (told.success) {
			this.#upstreams.addTold(told.data);
		} else {
			this.#log.warn({topic, err: told.error.message}, 'message not understood');
		}
	}

	async #handleRequest(request: PeerRequest, from: Incarnation, signal: AbortSignal): Promise<unknown> {
		if (request.topic === configurationTopic) {
			return this.#configuration.getText();
		}

		if (this.#node.isTopic(request.topic)) {
			return this.#node.handleRequest(request, signal);
		}

		this.#log.warn({topic: request.topic, peer: from.id}, 'request of an unknown topic');
		return {};
	}

	/** Takes a newer configuration from a peer; the store may turn this VM away while it serves the peer. */
	async #askConfiguration(version: number, from: Incarnation): Promise<void> {
		const now = this.#clock.getMonotonicTime();
		if (version <= (this.#configuration.getTable()?.version ?? 0) || now - this.#askedAt < configurationAskMs) {
			return;
		}

		this.#askedAt = now;
		if (!this.#configuration.isStoreLost()) {
			await sleep(this.#clock, configurationWaitMs);
			if (version <= (this.#configuration.getTable()?.version ?? 0)) {
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
 * @param options - Settings and seams.
 */
export async function createPlatformEntryVm(options: PlatformEntryVmOptions): Promise<PlatformEntryVm> {
	const entryVm = new PlatformEntryVm(options);
	await entryVm.start();
	return entryVm;
}
