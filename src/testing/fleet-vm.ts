/**
 * One incarnation of an entry VM in a simulated fleet: the real pool code between simulated links, upstreams, store and lists.
 */
import {type Incarnation} from '../connection/index.js';
import {
	type DecisionLog, type LogFields, type LookOutcome, NeighbourCheck, type OrderOptions, type OrderOutcome, PoolLayout, PoolNode, type StoredClaim, type UpstreamDescription,
	type UpstreamOrders,
} from '../pool/index.js';
import {
	type Clock, createSeededRandom, sleep,
} from '../seams/index.js';
import {type SimulatedUpstreams} from './simulated-upstreams.js';
import {type SimulatedVm, type SimulatedVms} from './simulated-vms.js';
import {SimulatedProcess} from './simulated-process.js';

/** A line of a VM's log. */
export type FleetLine = {readonly at: number; readonly vm: string; readonly message: string; readonly fields: LogFields};

/** The store, as all VMs share it. */
export type FleetStore = {
	revision: number;
	readonly claims: Map<string, StoredClaim>;
	/** Gets how a VM fares with the store now. `lost`: writes are carried out, answers are lost. */
	readonly getState: (vm: string) => 'there' | 'away' | 'lost';
};

/** What a VM has of its surroundings. */
export type FleetVmOptions = {
	readonly clock: Clock;
	readonly seed: number;
	readonly self: Incarnation;
	readonly network: SimulatedVms;
	readonly upstreams: SimulatedUpstreams;
	readonly store: FleetStore;
	/** Names and data centres of all VMs that are registered. */
	readonly vms: ReadonlyArray<{readonly name: string; readonly dataCenter: string}>;
	/** Pools of each data centre. */
	readonly poolCounts: ReadonlyMap<string, number>;
	/** Gets the upstreams of a pool as this VM knows them. */
	readonly getUpstreams: (pool: string) => readonly UpstreamDescription[];
	readonly addLine: (line: FleetLine) => void;
	/** Gets whether an order that a cut holds back is carried out once it has healed. */
	readonly isHeldOrder: () => boolean;
};

/** Time limit of writes of claims, and of answers of the store, in milliseconds. */
const storeTimeoutMs = 200;
const storeAnswerMs = 8;

/** Time until the list of upstreams is read after a start, and until peers have told it where the store is away, in milliseconds. */
const listReadMs = 40;
const listToldMs = 600;

/** Time for which the entry of an upstream that is alive may be missing, and silence after which VMs give a peer up, in milliseconds. */
const missingMs = 2500;
const peerSilenceMs = 500;

/** Time between reads of the list, in milliseconds. */
const listPollMs = 500;

/** Least time that a planned stop takes, and the time after which it ends in any case, in milliseconds. */
const balancerMs = 2200;
const stopMs = 4500;
const stopPollMs = 20;

/** Time between tries of an order that a cut holds back, in milliseconds. */
const heldPollMs = 100;

/** Time of one way to an upstream, in milliseconds. */
const orderWayMs = 0.5;

/** One incarnation. */
export class FleetVm {
	readonly process: SimulatedProcess;
	readonly node: PoolNode;
	isStopping = false;
	/** Callers' requests that wait here. */
	openCount = 0;
	readonly #options: FleetVmOptions;
	readonly #links: SimulatedVm;
	readonly #neighbours: NeighbourCheck;
	/** Own time at which the list of upstreams was first read. */
	#listedAt = Infinity;
	/** Upstreams of each pool as last listed, with the own time of the last list that named them. */
	readonly #seen = new Map<string, Map<string, {readonly upstream: UpstreamDescription; readonly at: number}>>();

	constructor(options: FleetVmOptions) {
		this.#options = options;
		const {
			clock, seed, self, network, vms, poolCounts, store,
		} = options;
		const random = createSeededRandom(seed);
		this.process = new SimulatedProcess(clock, random);
		const layout = new PoolLayout();
		for (const [dataCenter, count] of poolCounts) {
			layout.setCount(dataCenter, count);
		}

		this.#links = network.addVm({
			process: this.process,
			self,
			getBeat: () => ({
				isLeaving: this.isStopping || this.node.isResigning(), claims: this.node.getFences(), cores: 1, load: this.node.getClaims(),
			}),
			getBeatFactor: peer => this.node.getBeatFactor(peer),
			onBeat: (load, from) => {
				this.node.handleHeartbeat(load, from);
			},
			onControl: ({topic, body}) => {
				this.node.handleMessage(topic, body);
			},
			onRequest: async (request, signal) => this.node.handleRequest(request, signal),
		});
		this.#neighbours = new NeighbourCheck({clock: this.process, dial: network.createDial(this.#links), isHeard: vm => this.node.isHeard(vm)});
		this.node = new PoolNode({
			clock: this.process,
			random,
			log: this.#createLog(),
			self,
			cores: 1,
			layout,
			peers: this.#links,
			orders: this.#createOrders(),
			maxLeaseMs: 1000,
			isSettled: () => this.#neighbours.isSettled(),
			getVmCount: () => this.#neighbours.getCount() + 1,
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
			isListComplete: () => this.process.getMonotonicTime() - this.#listedAt >= missingMs,
			isLayoutKnown: () => true,
			peerSilenceMs,
			onOwnedChanged() {/* The list is always followed. */},
		});
		void this.#readRegistry(vms.filter(({name, dataCenter}) => dataCenter === self.dataCenter && name !== self.vm));
		this.process.setTimer(() => {
			this.#listedAt = this.process.getMonotonicTime();
			this.node.handleUpstreamsChanged();
		}, store.getState(self.vm) === 'there' ? listReadMs * random.getFloat() : listReadMs + (listToldMs * random.getFloat()));
		this.process.setRepeatingTimer(() => {
			for (const pool of layout.getPools()) {
				this.#getListed(pool);
			}

			this.node.handleUpstreamsChanged();
		}, listPollMs);
	}

	/** Stops as planned; resolves when the process has ended. */
	async leave(): Promise<void> {
		const startedAt = this.process.getMonotonicTime();
		this.isStopping = true;
		this.node.leave();
		for (;;) {
			const tookMs = this.process.getMonotonicTime() - startedAt;
			if (tookMs >= stopMs || (tookMs >= balancerMs && this.openCount === 0 && this.node.isFree())) {
				break;
			}

			await sleep(this.process, stopPollMs);
		}

		this.node.close();
		await this.#links.close();
		this.#options.network.kill(this.#options.self.vm);
	}

	#getListed(pool: string): readonly UpstreamDescription[] {
		const now = this.process.getMonotonicTime();
		const listed = this.#listedAt <= now ? this.#options.getUpstreams(pool) : [];
		const seen = this.#seen.get(pool) ?? new Map<string, {readonly upstream: UpstreamDescription; readonly at: number}>();
		this.#seen.set(pool, seen);
		for (const upstream of listed) {
			seen.set(upstream.id, {upstream, at: now});
		}

		return listed;
	}

	/** Gets what was listed lately and is not any more, as the list of upstreams keeps it. */
	#getMissing(pool: string): readonly UpstreamDescription[] {
		const listed = new Set(this.#getListed(pool).map(({id}) => id));
		const now = this.process.getMonotonicTime();
		return [...this.#seen.get(pool)!.values()].filter(({upstream: {id}, at}) => !listed.has(id) && now - at <= missingMs).map(({upstream}) => upstream);
	}

	async #readRegistry(neighbours: ReadonlyArray<{readonly name: string}>): Promise<void> {
		if (await this.#callStore(() => true)) {
			this.#neighbours.setNeighbours(neighbours.map(({name}) => ({name, peerAddress: name})));
		}
	}

	/** Calls the store; what it does is done on arrival. */
	async #callStore<T>(act: () => T): Promise<T | undefined> {
		const {clock, store, self} = this.#options;
		return new Promise(resolve => {
			const timer = this.process.setTimer(() => {
				resolve(undefined);
			}, storeTimeoutMs);
			clock.setTimer(() => {
				const state = store.getState(self.vm);
				const result = state === 'away' ? undefined : act();
				if (state === 'there') {
					clock.setTimer(() => {
						this.process.dispatch(() => {
							timer.close();
							resolve(result);
						});
					}, storeAnswerMs / 2);
				}
			}, storeAnswerMs / 2);
		});
	}

	#createLog(): DecisionLog {
		const {clock, self, addLine} = this.#options;
		const add = (fields: LogFields, message: string): void => {
			addLine({
				at: clock.getMonotonicTime(), vm: self.id, message, fields,
			});
		};

		return {debug: add, info: add, warn: add};
	}

	#createOrders(): UpstreamOrders {
		const {upstreams} = this.#options;
		return {
			startRun: async options => this.#order(options, async () => upstreams.startRun(options)),
			stopRun: async options => this.#order(options, async () => upstreams.stopRun(options)),
			look: async options => this.#order<LookOutcome>(options, async () => upstreams.look(options)),
		};
	}

	async #order<T extends OrderOutcome | LookOutcome>({upstream, timeoutMs}: OrderOptions, act: () => Promise<T>): Promise<T | {readonly kind: 'unanswered'; readonly detail: string}> {
		const {clock, network, self} = this.#options;
		return new Promise(resolve => {
			const timer = this.process.setTimer(() => {
				resolve({kind: 'unanswered', detail: 'no answer in time'});
			}, timeoutMs);
			void (async () => {
				await sleep(clock, orderWayMs);
				if (network.isCut(self.vm, upstream.id) && !await this.#waitForHeal(upstream.id)) {
					return;
				}

				const outcome = await act();
				await sleep(clock, orderWayMs);
				if (!network.isCut(upstream.id, self.vm)) {
					this.process.dispatch(() => {
						timer.close();
						resolve(outcome);
					});
				}
			})();
		});
	}

	/** What was sent into a cut may arrive once it has healed. */
	async #waitForHeal(upstream: string): Promise<boolean> {
		const {clock, network, self, isHeldOrder} = this.#options;
		if (!isHeldOrder()) {
			return false;
		}

		while (network.isCut(self.vm, upstream)) {
			await sleep(clock, heldPollMs);
		}

		return true;
	}
}
