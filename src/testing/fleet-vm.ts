/**
 * One incarnation of an entry VM in a simulated fleet: the real pool code with simulated peer connections, upstreams, store and lists.
 */
import {
	EventLoopProgress, type Incarnation, type InputProgress, type PeerRequest, type SenderConfirmation,
} from '../connection/index.js';
import {
	type DecisionLog, Evacuations, getDataCenter, type LogFields, type PollOutcome, StartupOwnerCheck, type OrderOptions, type OrderOutcome, PoolLayout, PoolNode, type StoredClaim, type UpstreamDescription,
	type UpstreamOrders,
} from '../pool/index.js';
import {type SchedulingOptions} from '../scheduling/index.js';
import {
	type Clock, createSeededRandom, sleep,
} from '../seams/index.js';
import {EvacuationWatch, evacuationPrefix} from '../platform/evacuation-watch.js';
import {type SentOrder} from './fleet-checks.js';
import {type SimulatedUpstreams} from './simulated-upstreams.js';
import {type SimulatedPeerMesh, type SimulatedVmNetwork} from './simulated-vm-network.js';
import {SimulatedProcess} from './simulated-process.js';

/** Line in the log of a VM. */
export type FleetLogLine = {readonly at: number; readonly vm: string; readonly message: string; readonly fields: LogFields};

/** State of the store, shared by all VMs. */
export type FleetStore = {
	revision: number;
	readonly claims: Map<string, StoredClaim>;
	/** Data centres that the operator evacuates; `undefined` in a fleet without evacuations, whose VMs do not read them. */
	readonly evacuated?: Set<string>;
	/** Returns the current state of the store for a VM. `lost`: writes are executed, but answers are lost. */
	readonly getState: (vm: string) => 'available' | 'unavailable' | 'lost';
};

/** Options of {@link FleetVm}. */
export type FleetVmOptions = {
	readonly clock: Clock;
	readonly seed: number;
	readonly self: Incarnation;
	readonly network: SimulatedVmNetwork;
	readonly upstreams: SimulatedUpstreams;
	readonly store: FleetStore;
	/** Names and data centres of all registered VMs. */
	readonly vms: ReadonlyArray<{readonly name: string; readonly dataCenter: string}>;
	/** Number of pools of each data centre. */
	readonly poolCounts: ReadonlyMap<string, number>;
	/** Returns the upstreams of a pool that are listed for this VM. */
	readonly getListedUpstreams: (pool: string) => readonly UpstreamDescription[];
	/** Returns the running incarnations that this one is connected to, whose owners report their former upstreams. */
	readonly getConnectedVms: () => readonly FleetVm[];
	readonly addLogLine: (line: FleetLogLine) => void;
	/** Called with each order that is sent to an upstream. */
	readonly onOrderSent: (order: SentOrder) => void;
	/** Returns whether an order that is sent during a network cut is delivered once the cut has healed. */
	readonly isDeliveredAfterCut: () => boolean;
	/** Switches of the scheduling; all parts are on by default. */
	readonly scheduling?: SchedulingOptions;
	/** Replaces the orders of all owners, for tests of the checks. */
	readonly wrapOrders?: (orders: UpstreamOrders) => UpstreamOrders;
	/** Replaces the proofs that senders still wait, for tests of the checks. */
	readonly wrapConfirmation?: (confirmation: SenderConfirmation) => SenderConfirmation;
	/** Replaces what VMs receive from each other, for tests of the checks. */
	readonly wrapMessage?: (message: PeerRequest) => PeerRequest;
	/** Replaces what the VM knows of its input, for tests of the checks. */
	readonly wrapProgress?: (progress: InputProgress, clock: Clock) => InputProgress;
	/** Replaces what the VM takes for the evacuated data centres, for tests of the checks. */
	readonly wrapEvacuated?: (dataCenters: readonly string[]) => readonly string[];
};

/** Timeout of calls to the store, and round-trip time of the store, in milliseconds. */
const storeTimeoutMs = 200;
const storeRoundTripMs = 8;

/** Maximum time after a start until the list of upstreams is read, and additional time until peers have sent it while the store is unavailable, in milliseconds. */
const maxListReadMs = 40;
const maxListFromPeersMs = 600;

/** Time for which the entry of a live upstream may be missing, and time without a message after which VMs close the connection of a peer, in milliseconds. */
const maxMissingMs = 2500;
const peerSilenceMs = 500;

/** Time for which the former address of an upstream is remembered, in milliseconds. */
const formerRetentionMs = 30_000;

/** Time after which all former addresses where owners may have runs are known without a report of an owner, in milliseconds. */
const formerKnownMs = 5000;

/** Interval of reads of the evacuated data centres, in milliseconds; a watch would be answered at once. */
const evacuationPollIntervalMs = 200;

/** Interval of reads of the list, in milliseconds. */
const listPollIntervalMs = 500;

/** Minimum and maximum duration of a planned stop, and interval of the checks for its end, in milliseconds. */
const minStopMs = 2200;
const maxStopMs = 4500;
const stopPollIntervalMs = 20;

/** Interval of the checks whether a network cut that delays an order has healed, in milliseconds. */
const cutPollIntervalMs = 100;

/** One-way latency to an upstream, in milliseconds. */
const orderLatencyMs = 0.5;

/** Incarnation of an entry VM. */
export class FleetVm {
	readonly process: SimulatedProcess;
	readonly node: PoolNode;
	isStopping = false;
	/** Number of callers' requests that wait for an outcome. */
	pendingRequestCount = 0;
	readonly #options: FleetVmOptions;
	readonly #mesh: SimulatedPeerMesh;
	readonly #evacuations = new Evacuations();
	readonly #evacuationWatch: EvacuationWatch;
	/** Whether the first read of the evacuated data centres has been answered or has failed, if there may be any. */
	#areEvacuationsRead: boolean;
	readonly #neighbours: StartupOwnerCheck;
	/** Monotonic time of the VM at which the list of upstreams was first read. */
	#firstListedAt = Infinity;
	/** Upstreams of each pool by identifier, with the monotonic time of the VM at which they were last listed. */
	readonly #lastListed = new Map<string, Map<string, {readonly upstream: UpstreamDescription; readonly at: number}>>();

	/** Instances of each pool's upstreams at addresses that they are no longer listed at, by address, with the time at which that was noticed. */
	readonly #former = new Map<string, Map<string, {readonly upstream: UpstreamDescription; readonly at: number}>>();

	/** Pools whose owners have reported their former upstreams. */
	readonly #reportedPools = new Set<string>();

	constructor(options: FleetVmOptions) {
		this.#options = options;
		const {
			clock, seed, self, network, vms, poolCounts, store, wrapConfirmation = confirmation => confirmation, wrapMessage = message => message,
			wrapProgress = progress => progress,
		} = options;
		const random = createSeededRandom(seed);
		this.#areEvacuationsRead = store.evacuated === undefined;
		this.#evacuationWatch = new EvacuationWatch({log: this.#createLog(), dataCenters: [...poolCounts.keys()], evacuations: this.#evacuations});
		this.process = new SimulatedProcess(clock, random);
		const progress = new EventLoopProgress({
			clock: this.process, callAfterPoll: callback => {
				this.process.setTimer(callback, 0);
			},
		});
		const inputProgress = wrapProgress(progress, this.process);
		const layout = new PoolLayout();
		for (const [dataCenter, count] of poolCounts) {
			layout.setCount(dataCenter, count);
		}

		this.#mesh = network.addVm({
			process: this.process,
			self,
			inputProgress,
			getHeartbeat: () => ({
				isLeaving: this.isStopping || this.node.isResigning(), claims: this.node.getFences(), cores: 1, load: this.node.getClaims(),
				evacuation: this.#evacuationWatch.getPublishedState(),
			}),
			getHeartbeatIntervalTicks: peer => this.node.getHeartbeatIntervalTicks(peer),
			onHeartbeat: (load, from, evacuation) => {
				if (evacuation !== undefined) {
					this.#evacuationWatch.addPeerState(evacuation, from.id);
				}

				this.node.handleHeartbeat(load, from);
			},
			onControl: message => {
				const {topic, body} = wrapMessage(message);
				this.node.handleMessage(topic, body);
			},
			onRequest: async (request, signal, confirmation) => this.node.handleRequest(wrapMessage(request), signal, wrapConfirmation(confirmation)),
		});
		this.#neighbours = new StartupOwnerCheck({clock: this.process, dial: network.createDial(this.#mesh), hasReportedPools: vm => this.node.hasReportedPools(vm)});
		this.node = new PoolNode({
			clock: this.process,
			random,
			log: this.#createLog(),
			scheduling: options.scheduling,
			self,
			cores: 1,
			layout,
			peers: this.#mesh,
			inputProgress,
			orders: this.#createOrders(),
			maxLeaseMs: 1000,
			evacuations: this.#evacuations,
			isSettled: () => this.#neighbours.isSettled() && this.#areEvacuationsRead,
			getVmCount: () => this.#neighbours.getVmCount() + 1,
			claims: {
				addClaim: async pool => this.#callStore(() => {
					store.revision += 1 + Math.floor(random.getFloat() * 3);
					store.claims.set(pool, {ownerId: self.id, revision: store.revision});
					return store.revision;
				}),
				getClaim: async pool => this.#callStore(() => store.claims.get(pool)),
			},
			getUpstreams: pool => this.#getListed(pool),
			getMissingUpstreams: pool => this.#getMissing(pool),
			getFormerUpstreams: pool => this.#getFormer(pool),
			isListComplete: pool => this.process.getMonotonicTime() - this.#firstListedAt >= (this.#reportedPools.has(pool) ? maxMissingMs : formerKnownMs),
			isLayoutKnown: () => true,
			peerSilenceMs,
			onOwnedPoolsChanged() {/* The list is read for all pools. */},
		});
		void this.#followEvacuations();
		void this.#readRegistry(vms.filter(({name, dataCenter}) => dataCenter === self.dataCenter && name !== self.vm));
		this.process.setTimer(() => {
			this.#firstListedAt = this.process.getMonotonicTime();
			this.node.handleUpstreamsChanged();
		}, store.getState(self.vm) === 'available' ? maxListReadMs * random.getFloat() : maxListReadMs + (maxListFromPeersMs * random.getFloat()));
		this.process.setRepeatingTimer(() => {
			for (const pool of layout.getPools()) {
				this.#getListed(pool);
				this.#receiveReports(pool);
			}

			this.node.handleUpstreamsChanged();
		}, listPollIntervalMs);
	}

	/** Performs a planned stop; resolves when the process has ended. */
	async leave(): Promise<void> {
		const startedAt = this.process.getMonotonicTime();
		this.isStopping = true;
		this.node.leave();
		for (;;) {
			const tookMs = this.process.getMonotonicTime() - startedAt;
			if (tookMs >= maxStopMs || (tookMs >= minStopMs && this.pendingRequestCount === 0 && this.node.ownsNoPools())) {
				break;
			}

			await sleep(this.process, stopPollIntervalMs);
		}

		this.node.close();
		await this.#mesh.close();
		this.#options.network.kill(this.#options.self.vm);
	}

	#getListed(pool: string): readonly UpstreamDescription[] {
		const now = this.process.getMonotonicTime();
		const listed = this.#firstListedAt <= now ? this.#options.getListedUpstreams(pool) : [];
		const lastListed = this.#lastListed.get(pool) ?? new Map<string, {readonly upstream: UpstreamDescription; readonly at: number}>();
		this.#lastListed.set(pool, lastListed);
		const former = this.#former.get(pool) ?? new Map<string, {readonly upstream: UpstreamDescription; readonly at: number}>();
		this.#former.set(pool, former);
		for (const upstream of listed) {
			const previous = lastListed.get(upstream.id)?.upstream;
			if (previous !== undefined && previous.address !== upstream.address) {
				former.set(`${previous.id} ${previous.address}`, {upstream: previous, at: now});
			}

			former.delete(`${upstream.id} ${upstream.address}`);
			lastListed.set(upstream.id, {upstream, at: now});
		}

		return listed;
	}

	/** Gets the upstreams that were listed recently and are not listed now, as the real list of upstreams does. */
	#getMissing(pool: string): readonly UpstreamDescription[] {
		const listed = new Set(this.#getListed(pool).map(({id}) => id));
		const now = this.process.getMonotonicTime();
		return [...this.#lastListed.get(pool)!.values()].filter(({upstream: {id}, at}) => !listed.has(id) && now - at <= maxMissingMs).map(({upstream}) => upstream);
	}

	/** Gets the instances of upstreams at addresses that they were listed at lately, as the real list of upstreams does. */
	#getFormer(pool: string): readonly UpstreamDescription[] {
		this.#getListed(pool);
		const now = this.process.getMonotonicTime();
		return [...this.#former.get(pool)!.values()].filter(({at}) => now - at <= formerRetentionMs).map(({upstream}) => upstream);
	}

	/** Receives the former upstreams from the owners of a pool in the data centre, as the real list of upstreams does. */
	#receiveReports(pool: string): void {
		const {self, getConnectedVms} = this.#options;
		const dataCenter = getDataCenter(pool);
		if (self.dataCenter !== dataCenter) {
			return;
		}

		const now = this.process.getMonotonicTime();
		for (const vm of getConnectedVms().filter(({node, process}) => !process.isFrozen() && node.getOwners().some(owner => owner.getPool() === pool))) {
			this.#reportedPools.add(pool);
			const listed = new Set(this.#getListed(pool).map(({address}) => address));
			for (const upstream of vm.#getFormer(pool).filter(({address}) => !listed.has(address))) {
				this.#former.get(pool)!.set(`${upstream.id} ${upstream.address}`, {upstream, at: now});
			}
		}
	}

	async #readRegistry(neighbours: ReadonlyArray<{readonly name: string}>): Promise<void> {
		if (await this.#callStore(() => true)) {
			this.#neighbours.setVms(neighbours.map(({name}) => ({name, peerAddress: name})));
		}
	}

	async #followEvacuations(): Promise<void> {
		const {store, wrapEvacuated = names => names} = this.#options;
		const {evacuated} = store;
		if (evacuated === undefined) {
			return;
		}

		for (;;) {
			const read = await this.#callStore(() => ({revision: store.revision, names: [...evacuated]}));
			if (read !== undefined) {
				this.#evacuationWatch.setItems(wrapEvacuated(read.names).map(name => ({key: `${evacuationPrefix}${name}`})), read.revision);
			}

			this.#areEvacuationsRead = true;
			await sleep(this.process, evacuationPollIntervalMs);
		}
	}

	/**
	 * Calls the store; the operation is executed when the request arrives there.
	 * @returns Result; `undefined` when no answer arrives in time.
	 */
	async #callStore<T>(operation: () => T): Promise<T | undefined> {
		const {clock, store, self} = this.#options;
		return new Promise(resolve => {
			const timer = this.process.setTimer(() => {
				resolve(undefined);
			}, storeTimeoutMs);
			clock.setTimer(() => {
				const state = store.getState(self.vm);
				const result = state === 'unavailable' ? undefined : operation();
				if (state === 'available') {
					clock.setTimer(() => {
						this.process.dispatch(() => {
							timer.close();
							resolve(result);
						});
					}, storeRoundTripMs / 2);
				}
			}, storeRoundTripMs / 2);
		});
	}

	#createLog(): DecisionLog {
		const {clock, self, addLogLine} = this.#options;
		const add = (fields: LogFields, message: string): void => {
			addLogLine({
				at: clock.getMonotonicTime(), vm: self.id, message, fields,
			});
		};

		return {debug: add, info: add, warn: add};
	}

	#createOrders(): UpstreamOrders {
		const {upstreams, wrapOrders = orders => orders} = this.#options;
		return wrapOrders({
			startRun: async options => this.#sendOrder(options, async () => upstreams.startRun(options)),
			stopRun: async options => this.#sendOrder(options, async () => upstreams.stopRun(options)),
			poll: async options => this.#sendOrder<PollOutcome>(options, async () => upstreams.poll(options)),
		});
	}

	async #sendOrder<T extends OrderOutcome | PollOutcome>({upstream, fence, timeoutMs}: OrderOptions, execute: () => Promise<T>): Promise<T | {readonly kind: 'unanswered'; readonly detail: string}> {
		const {clock, network, self, onOrderSent} = this.#options;
		onOrderSent({upstream: upstream.id, fence, process: self.id});
		return new Promise(resolve => {
			const timer = this.process.setTimer(() => {
				resolve({kind: 'unanswered', detail: 'no answer in time'});
			}, timeoutMs);
			void (async () => {
				await sleep(clock, orderLatencyMs);
				if (network.isCut(self.vm, upstream.address) && !await this.#waitForHeal(upstream.address)) {
					return;
				}

				const outcome = await execute();
				await sleep(clock, orderLatencyMs);
				if (!network.isCut(upstream.address, self.vm)) {
					this.process.dispatch(() => {
						timer.close();
						resolve(outcome);
					});
				}
			})();
		});
	}

	/** Waits until a network cut has healed; returns whether the order that was sent during the cut is delivered. */
	async #waitForHeal(upstream: string): Promise<boolean> {
		const {clock, network, self, isDeliveredAfterCut} = this.#options;
		if (!isDeliveredAfterCut()) {
			return false;
		}

		while (network.isCut(self.vm, upstream)) {
			await sleep(clock, cutPollIntervalMs);
		}

		return true;
	}
}
