/**
 * One entry VM's part in the pools: it owns those that it is elected for, and brings callers' jobs to the owners.
 */
import {type Subscription} from 'most';
import {
	type Incarnation, type Member, type PeerNetwork, type PeerRequest, type RequestAbortReason,
} from '../connection/index.js';
import {type Clock, type Random, type Timer} from '../seams/index.js';
import {type DecisionLog} from './decision-log.js';
import {PauseWatch} from './pause-watch.js';
import {PoolCandidates} from './pool-candidates.js';
import {decodePoolClaims, decodeSubmitRequest} from './pool-decoding.js';
import {PoolDirectory} from './pool-directory.js';
import {type PoolJobOutcome, type PoolJobRequest} from './pool-job.js';
import {getDataCenter, type PoolLayout} from './pool-layout.js';
import {PoolLending} from './pool-lending.js';
import {
	loadTopic, type PoolClaims, submitTopic, type SubmitAnswer,
} from './pool-messages.js';
import {type PoolLoad} from './pool-scheduler.js';
import {PoolOwner} from './pool-owner.js';
import {PoolRouter} from './pool-router.js';
import {mayTakeMore, sortForVm} from './pool-share.js';
import {StarvationWatch} from './starvation-watch.js';
import {type StoredClaims} from './stored-claims.js';
import {type UpstreamDescription, type UpstreamOrders} from './upstream-orders.js';

/** Options of {@link PoolNode}. */
export type PoolNodeOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: DecisionLog;
	readonly self: Incarnation;
	/** Cores that this process may use. */
	readonly cores: number;
	/** The pools as far as they are known; those that other VMs say they own are added. */
	readonly layout: PoolLayout;
	/** Gets whether the pools of all data centres are known. */
	readonly isLayoutKnown: () => boolean;
	readonly peers: PeerNetwork;
	readonly orders: UpstreamOrders;
	/** Gets whether the VMs that may own pools had time to say so since the start. */
	readonly isSettled: () => boolean;
	/** Gets the number of entry VMs registered in the own data centre, this one included; `Infinity` until the list was read. */
	readonly getVmCount: () => number;
	/** What the store holds of the owners of pools. */
	readonly claims: StoredClaims;
	/** Gets the upstreams of a pool as last listed. */
	readonly getUpstreams: (pool: string) => readonly UpstreamDescription[];
	/** Gets the upstreams of a pool that are listed no more but may be alive. */
	readonly getMissingUpstreams: (pool: string) => readonly UpstreamDescription[];
	/** Gets whether all upstreams of a pool that may be alive are among those listed and missing. */
	readonly isListComplete: (pool: string) => boolean;
	/** Takes the names of the pools owned here whenever they change. */
	readonly onOwnedPoolsChanged: (pools: readonly string[]) => void;
	/** Longest lease of a run, in milliseconds. */
	readonly maxLeaseMs: number;
	/** Silence after which a VM gives up the connection of another one whose tasks it runs, in milliseconds. */
	readonly peerSilenceMs: number;
};

/** Time between elections where no VM changed its state, in milliseconds: a heartbeat. A change is followed by one at once. */
const electionMs = 100;

/** The same until this process may take part, in milliseconds: after a loss of all VMs, callers wait for the first owner. */
const firstElectionMs = 25;

/** Time without any VM in a pool's data centre before another one takes the pool, in milliseconds: VMs restart within it. */
const farTakeoverMs = 1500;

/** Time between tries to reach the upstreams of a pool without VMs, in milliseconds. */
const probeMs = 500;

/** Time for which upstreams must have answered, in milliseconds: VMs that were cut off are linked again within it. */
const reachedMs = 1000;

/** Upstreams that are tried. */
const probedUpstreams = 3;

/** Time limit of such a try, in milliseconds. */
const probeTimeoutMs = 200;

/** Time between an owner's writes to the store while it does not see all VMs, in milliseconds. */
const assertMs = 1000;

/** Time for which a VM leaves a pool to an owner that it cannot see, in milliseconds; longer than two of the owner's writes. */
const yieldMs = 2500;

/** Time after a lost connection until its jobs are given up, in milliseconds; the sender comes back within it. */
const orphanMs = 300;

/** Tries to reach the upstreams of a pool. */
type Probe = {sentAt: number; isAnswered: boolean; reachedSince: number};

/** Takes part in the pools of a deployment. */
export class PoolNode {
	readonly directory: PoolDirectory;
	readonly #options: PoolNodeOptions;
	readonly #owned = new Map<string, PoolOwner>();
	/** Last load heard of each VM, as it came and as it was understood. */
	readonly #loads = new Map<string, {readonly load: unknown; readonly claims: PoolClaims}>();
	/** The members at the last look for loads of VMs that are gone. */
	#rememberedMembers: readonly Member[] = [];
	readonly #abandonedSince = new Map<string, number>();
	readonly #probes = new Map<string, Probe>();
	/** Pools left to owners that are not seen here, with the revision of their last write. */
	readonly #yielded = new Map<string, {until: number; revision: number}>();
	/** Pools taken over while no other VM was seen. */
	readonly #takenAlone = new Set<string>();
	#assertedAt = 0;
	readonly #candidates: PoolCandidates;
	readonly #lending: PoolLending;
	readonly #router: PoolRouter;
	readonly #subscription: Subscription<unknown>;
	#timer: Timer;
	readonly #pauses: PauseWatch;
	readonly #starvation = new StarvationWatch();
	/** Monotonic time at which this VM could first take pools. */
	#settledAt: number | undefined;
	/** The pools in the order in which this VM takes them, and the list that they were sorted from. */
	#takeOrder: {readonly pools: readonly string[]; readonly sorted: readonly string[]} = {pools: [], sorted: []};
	#isLeaving = false;
	#isClosed = false;

	constructor(options: PoolNodeOptions) {
		this.#options = options;
		this.#pauses = new PauseWatch({
			clock: options.clock,
			onPause(pauseMs) {
				options.log.warn({pauseMs: Math.round(pauseMs)}, 'this process did not run for a while');
			},
		});
		this.#candidates = new PoolCandidates({
			...options,
			getOwned: () => [...this.#owned].map(([pool, owner]) => [pool, owner.getFence()]),
			isLeaving: () => this.isResigning(),
		});
		this.directory = new PoolDirectory({
			clock: options.clock,
			selfId: options.self.id,
			dataCenter: options.self.dataCenter,
			getPools: () => options.layout.getPools(),
			getCandidates: () => this.#candidates.getList(),
			getOwnLoad: pool => this.#owned.get(pool)?.getLoad(),
		});
		this.#lending = new PoolLending({
			clock: options.clock,
			log: options.log,
			selfId: options.self.id,
			peers: options.peers,
			directory: this.directory,
			getOwner: pool => this.#owned.get(pool),
			isLayoutKnown: options.isLayoutKnown,
		});
		this.#router = new PoolRouter({
			clock: options.clock,
			random: options.random,
			log: options.log,
			selfId: options.self.id,
			dataCenter: options.self.dataCenter,
			peers: options.peers,
			directory: this.directory,
			getOwner: pool => this.#owned.get(pool),
			hasReachableVm: pool => this.#isInhabited(pool),
			hasCededPools: () => this.#yielded.size > 0,
			getSettleMs: () => this.#pauses.getSettleMs(),
		});
		this.#timer = this.#setTimer();
		this.#subscription = options.peers.getMemberStream().subscribe({
			next: () => {
				this.#elect();
			},
			error(err) {
				options.log.warn({err: err.message}, 'the stream of members failed');
			},
			complete() {/* The links are closed. */},
		});
	}

	/** Gets what heartbeats tell of the pools owned here. */
	getClaims(): PoolClaims {
		const ready = [...this.#owned].filter(([, owner]) => owner.isReady());
		const entries = ready.map(([pool, owner]) => [pool, {fence: owner.getFence(), load: roundLoad(owner.getLoad())}] as const);
		return Object.fromEntries(entries);
	}

	/** Gets the fences of the pools owned here, by pool. */
	getFences(): Readonly<Record<string, number>> {
		const ready = [...this.#owned].filter(([, owner]) => owner.isReady());
		return Object.fromEntries(ready.map(([pool, owner]) => [pool, owner.getFence()]));
	}

	/**
	 * Gets every how many ticks a heartbeat goes to a VM.
	 * @param peer - The VM.
	 */
	getHeartbeatIntervalTicks(peer: Incarnation): number {
		return this.#candidates.getBeatFactor(peer);
	}

	/**
	 * Gets whether a VM has told of its pools.
	 * @param vm - Name of the VM.
	 */
	hasReportedPools(vm: string): boolean {
		return this.#options.peers.getMembers().some(({incarnation, state}) => incarnation.vm === vm && state === 'up' && this.#loads.has(incarnation.id));
	}

	/** Gets the pools owned here. */
	getOwners(): readonly PoolOwner[] {
		return [...this.#owned.values()];
	}

	/**
	 * Takes what a heartbeat tells of the sender's pools.
	 * @param load - Part of the heartbeat.
	 * @param from - Sender.
	 */
	handleHeartbeat(load: unknown, from: Incarnation): void {
		const last = this.#loads.get(from.id);
		if (last !== undefined && last.load === load) {
			this.directory.addClaims(last.claims);
			return;
		}

		const claims = decodePoolClaims(load);
		if (claims === undefined) {
			this.#options.log.warn({peer: from.id}, 'heartbeat not understood');
			return;
		}

		this.#loads.set(from.id, {load, claims});
		this.directory.addClaims(claims);
	}

	/** Tells the owners here that the list of upstreams changed. */
	handleUpstreamsChanged(): void {
		for (const [pool, owner] of this.#owned) {
			owner.setUpstreams(this.#options.getUpstreams(pool));
		}
	}

	/** Gets whether this VM owns nothing and sees several owners in its data centre, which follow the store closely. */
	isStandby(): boolean {
		return this.#owned.size === 0 && this.#candidates.countNearOwners() > 1;
	}

	/** Gets whether other VMs should take the pools: this one stops, or is short of processor time. */
	isResigning(): boolean {
		return this.#isLeaving || this.#starvation.isStarved();
	}

	/** Begins a planned stop: the pools go to other VMs, jobs are still brought to their owners. */
	leave(): void {
		this.#isLeaving = true;
		this.#elect();
	}

	/** Gets whether no pool is owned here. */
	ownsNoPools(): boolean {
		return this.#owned.size === 0;
	}

	/**
	 * Brings a job to a pool and waits for its outcome.
	 * @param job - Job.
	 * @param remainingMs - Time until the caller stops waiting.
	 * @param signal - Aborts when the caller has gone.
	 */
	async submit(job: PoolJobRequest, remainingMs: number, signal: AbortSignal): Promise<PoolJobOutcome> {
		return this.#router.submit(job, remainingMs, signal);
	}

	/**
	 * Gets whether requests of a topic are answered here.
	 * @param topic - Topic.
	 */
	handlesTopic(topic: string): boolean {
		return topic === submitTopic || this.#lending.isTopic(topic);
	}

	/**
	 * Answers a request of a peer: a job, or what the owners of pools ask each other.
	 * @param request - Request of the peer.
	 * @param signal - Aborts when the peer does not wait any more.
	 */
	async handleRequest(request: PeerRequest, signal: AbortSignal): Promise<unknown> {
		return request.topic === submitTopic ? this.#handleSubmit(request, signal) : this.#lending.handleRequest(request, signal);
	}

	/**
	 * Takes a message of a peer; false where its topic is none of the pools'.
	 * @param topic - Topic.
	 * @param body - Body.
	 */
	handleMessage(topic: string, body: unknown): boolean {
		if (topic !== loadTopic) {
			return false;
		}

		this.#lending.handleNews(body);
		return true;
	}

	/** Gives up all pools. */
	close(): void {
		this.#isClosed = true;
		this.#pauses.close();
		this.#timer.close();
		this.#subscription.unsubscribe();
		for (const pool of this.#owned.keys()) {
			this.#release(pool);
		}
	}

	async #handleSubmit(request: PeerRequest, signal: AbortSignal): Promise<SubmitAnswer> {
		const decoded = decodeSubmitRequest(request.body);
		if (decoded === undefined) {
			throw new Error('the job cannot be decoded');
		}

		const {pool, job} = decoded;
		const owner = this.#owned.get(pool);
		if (owner === undefined) {
			return {outcome: {kind: 'moved', hasStarted: false}};
		}

		const outcome = await owner.submit(job, this.#delayDisconnect(signal), () => signal.aborted);
		return {outcome, load: roundLoad(owner.getLoad())};
	}

	#setTimer(): Timer {
		const {clock, isSettled} = this.#options;
		const delayMs = isSettled() ? electionMs : firstElectionMs;
		const dueAt = clock.getMonotonicTime() + delayMs;
		return clock.setTimer(() => {
			this.#checkStarvation(dueAt);
			this.#timer = this.#setTimer();
			this.#elect();
		}, delayMs);
	}

	#checkStarvation(dueAt: number): void {
		const {clock, log, isSettled} = this.#options;
		const now = clock.getMonotonicTime();
		// The start of a process takes all of a small VM's time and says nothing of what follows.
		if (isSettled() && this.#starvation.addCheck(now - dueAt, now)) {
			log.warn({
				lateMs: Math.round(now - dueAt), isStarved: this.#starvation.isStarved(), pools: [...this.#owned.keys()],
			}, 'processor time of this VM judged anew');
		}
	}

	#elect(): void {
		const now = this.#options.clock.getMonotonicTime();
		if (this.#isClosed || !this.#options.isSettled()) {
			return;
		}

		this.#settledAt ??= now;
		this.#forgetGoneMembers();
		this.#endYields();
		this.#assertOwnership(now);
		for (const pool of this.#getTakeOrder()) {
			const elected = this.directory.getElected(pool);
			const isOwn = elected?.id === this.#options.self.id;
			if (isOwn && !this.#owned.has(pool) && this.#mayTake(pool, now)) {
				this.#take(pool);
			} else if (!isOwn && this.#owned.has(pool) && elected?.claims[pool] !== undefined) {
				this.#release(pool);
			}
		}
	}

	/** A VM that sees a neighbour again hears of the owner by heartbeats. */
	#endYields(): void {
		const {self, peers} = this.#options;
		for (const pool of this.#yielded.keys()) {
			if (peers.getMembers().some(({incarnation, state}) => state === 'up' && incarnation.dataCenter === self.dataCenter) && getDataCenter(pool) === self.dataCenter) {
				this.#yielded.delete(pool);
			}
		}
	}

	#forgetGoneMembers(): void {
		const members = this.#options.peers.getMembers();
		if (this.#rememberedMembers === members) {
			return;
		}

		this.#rememberedMembers = members;
		const known = new Set(members.map(({incarnation}) => incarnation.id));
		for (const id of this.#loads.keys()) {
			if (!known.has(id)) {
				this.#loads.delete(id);
			}
		}
	}

	/**
	 * A pool of another data centre is taken only once no VM was seen there for a while and its upstreams can be reached: a data
	 * centre that is cut off goes on by itself.
	 */
	#mayTake(pool: string, now: number): boolean {
		if (this.#isYielded(pool, now)) {
			return false;
		}

		if (getDataCenter(pool) === this.#options.self.dataCenter) {
			return this.#mayTakeNear(now);
		}

		if (this.#isInhabited(pool)) {
			this.#abandonedSince.delete(pool);
			return false;
		}

		const since = this.#abandonedSince.get(pool) ?? now;
		this.#abandonedSince.set(pool, since);
		return now - since >= farTakeoverMs && this.#isReached(pool, now);
	}

	#mayTakeNear(now: number): boolean {
		const {self, layout, getVmCount} = this.#options;
		return mayTakeMore({
			poolCount: layout.getPoolsOf(self.dataCenter).length,
			vmCount: getVmCount(),
			ownedCount: [...this.#owned.keys()].filter(pool => getDataCenter(pool) === self.dataCenter).length,
			ageMs: now - this.#settledAt!,
		});
	}

	#getTakeOrder(): readonly string[] {
		const pools = this.directory.getPools();
		if (this.#takeOrder.pools !== pools) {
			this.#takeOrder = {pools, sorted: sortForVm(pools, this.#options.self.vm)};
		}

		return this.#takeOrder.sorted;
	}

	/**
	 * Gets whether upstreams of a pool have answered for a while; tries again now and then. Where they answer only now, a cut has
	 * just healed, and the VMs on its other side will soon be seen.
	 */
	#isReached(pool: string, now: number): boolean {
		const probe = this.#probes.get(pool) ?? {sentAt: -Infinity, isAnswered: false, reachedSince: Infinity};
		this.#probes.set(pool, probe);
		if (now - probe.sentAt >= probeMs) {
			probe.reachedSince = probe.isAnswered ? Math.min(probe.reachedSince, probe.sentAt) : Infinity;
			probe.sentAt = now;
			probe.isAnswered = false;
			for (const upstream of this.#options.getUpstreams(pool).slice(0, probedUpstreams)) {
				void this.#probe(upstream, probe);
			}
		}

		return now - probe.reachedSince >= reachedMs;
	}

	/** Any answer will do; without a fence, an upstream that has an owner refuses the look and changes nothing. */
	async #probe(upstream: UpstreamDescription, probe: Probe): Promise<void> {
		const outcome = await this.#options.orders.look({
			upstream, fence: 0, timeoutMs: probeTimeoutMs, acknowledged: 0, waitMs: 0,
		});
		probe.isAnswered ||= outcome.kind !== 'unanswered';
	}

	/**
	 * While VMs are missing here they may be cut off and want the pools too; the store then tells them that this VM lives. A VM
	 * that sees no other one keeps quiet about pools from before, since the others may have taken them over.
	 */
	#assertOwnership(now: number): void {
		const members = this.#options.peers.getMembers();
		if (members.every(({state}) => state === 'up') || now - this.#assertedAt < assertMs) {
			return;
		}

		this.#assertedAt = now;
		const isIsolated = this.#isIsolated();
		for (const pool of this.#owned.keys()) {
			if (!isIsolated || this.#takenAlone.has(pool)) {
				void this.#options.claims.addClaim(pool);
			}
		}
	}

	/** Gets whether other VMs are known and none is seen. */
	#isIsolated(): boolean {
		const members = this.#options.peers.getMembers();
		return members.length > 0 && members.every(({state}) => state !== 'up');
	}

	#isInhabited(pool: string): boolean {
		return this.#candidates.isInhabited(getDataCenter(pool));
	}

	#isYielded(pool: string, now: number): boolean {
		const yielded = this.#yielded.get(pool);
		if (yielded === undefined) {
			return false;
		}

		if (now >= yielded.until) {
			// Until the store answers, the pool stays with whoever was seen to own it.
			yielded.until = now + yieldMs;
			void this.#reconsider(pool, yielded);
		}

		return true;
	}

	/** Takes part in the election again once the owner has stopped writing. */
	async #reconsider(pool: string, yielded: {until: number; revision: number}): Promise<void> {
		const claim = await this.#options.claims.getClaim(pool);
		if (claim === undefined || claim.revision <= yielded.revision) {
			this.#yielded.delete(pool);
			return;
		}

		yielded.revision = claim.revision;
	}

	/** Upstreams refuse this VM's orders: another VM owns the pool, or its fence was given without the store. */
	async #handleFenced(pool: string, owner: PoolOwner): Promise<void> {
		const claim = await this.#options.claims.getClaim(pool);
		if (this.#owned.get(pool) !== owner) {
			return;
		}

		if (claim !== undefined && claim.ownerId !== this.#options.self.id && (claim.revision > owner.getFence() || this.#isIsolated())) {
			this.#options.log.warn({
				pool, owner: claim.ownerId, revision: claim.revision, fence: owner.getFence(),
			}, 'pool left to an owner that is not seen here');
			this.#yielded.set(pool, {until: this.#options.clock.getMonotonicTime() + yieldMs, revision: claim.revision});
			this.#release(pool);
			return;
		}

		await owner.raiseFence();
		if (owner.hasWork() && this.#owned.get(pool) === owner) {
			// Another owner may have started tasks of the jobs in hand; entry VMs bring them to the next one, which looks for their runs.
			this.directory.addFence(pool, owner.getFence());
			this.#release(pool);
			this.#take(pool, owner.getFenceStep());
		}
	}

	#take(pool: string, fenceStep?: number): void {
		const {clock, log, orders, claims, getUpstreams, getMissingUpstreams, maxLeaseMs, peerSilenceMs} = this.#options;
		this.#abandonedSince.delete(pool);
		const owner: PoolOwner = new PoolOwner({
			pool,
			clock,
			log,
			orders,
			maxLeaseMs,
			peerSilenceMs,
			knownFence: this.directory.getKnownFence(pool),
			fenceStep,
			isListComplete: () => this.#options.isListComplete(pool),
			getStoredFence: async () => claims.addClaim(pool),
			onFenced: async () => this.#handleFenced(pool, owner),
			neighbours: this.#lending.createNeighbours(pool),
			getPausedAt: () => this.#pauses.getNoticedAt(),
		}, [...getUpstreams(pool), ...getMissingUpstreams(pool)]);
		this.#owned.set(pool, owner);
		if (this.#isIsolated()) {
			this.#takenAlone.add(pool);
		}

		this.#options.onOwnedPoolsChanged([...this.#owned.keys()]);
	}

	#release(pool: string): void {
		this.#owned.get(pool)?.close();
		this.#owned.delete(pool);
		this.#takenAlone.delete(pool);
		this.#options.onOwnedPoolsChanged([...this.#owned.keys()]);
	}

	/** Gets a signal that aborts at once when the peer cancels, and after a while when its connection was lost. */
	#delayDisconnect(signal: AbortSignal): AbortSignal {
		const controller = new AbortController();
		signal.addEventListener('abort', () => {
			if ((signal.reason as RequestAbortReason) === 'cancelled') {
				controller.abort();
				return;
			}

			this.#options.clock.setTimer(() => {
				controller.abort();
			}, orphanMs);
		}, {once: true});
		return controller.signal;
	}
}

function roundLoad({cores, freeCpu, rooms, queuedWork}: PoolLoad): PoolLoad {
	return {
		cores, freeCpu: Math.max(0, Math.round(freeCpu)), rooms: rooms.map(room => Math.round(room)), queuedWork: Math.max(0, Math.round(queuedWork)),
	};
}
