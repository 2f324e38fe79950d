/**
 * The pools as seen by one entry VM: it owns the pools that it is elected for and routes callers' jobs to the owners.
 */
import {type Subscription} from 'most';
import {
	type Incarnation, type InputProgress, type Member, type PeerNetwork, type PeerRequest, type RequestAbortReason, type SenderConfirmation,
} from '../connection/index.js';
import {type SchedulingOptions} from '../scheduling/index.js';
import {type Clock, type Random, type Timer} from '../seams/index.js';
import {AwaitedJobs} from './awaited-jobs.js';
import {CrashLedger} from './crash-ledger.js';
import {CrashReports} from './crash-reports.js';
import {type DecisionLog} from './decision-log.js';
import {Evacuations} from './evacuations.js';
import {FenceIssuer} from './fence-issuer.js';
import {JobSizeBudget} from './job-size.js';
import {OverdueCounts} from './overdue-counts.js';
import {PauseDetector} from './pause-detector.js';
import {PoolCandidates} from './pool-candidates.js';
import {decodePoolClaims, decodeSubmitRequest} from './pool-decoding.js';
import {PoolDirectory} from './pool-directory.js';
import {type PoolJobOutcome, type PoolJobRequest} from './pool-job.js';
import {getDataCenter, type PoolLayout} from './pool-layout.js';
import {PoolLending} from './pool-lending.js';
import {
	awaitedJobsTopic, loadTopic, failedRunsTopic, type PoolClaims, submitTopic, type SubmitAnswer,
} from './pool-messages.js';
import {type PoolLoad} from './pool-scheduler.js';
import {PoolOwner} from './pool-owner.js';
import {PoolRouter} from './pool-router.js';
import {ProofAges} from './proof-ages.js';
import {mayClaimAnotherPool, sortByVmPreference} from './pool-share.js';
import {RemoteLoadRelay} from './remote-load-relay.js';
import {type RoutingCount} from './routing-counts.js';
import {getConfirmedSince} from './sender-confirmation.js';
import {StartCounts} from './start-counts.js';
import {StarvationDetector} from './starvation-detector.js';
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
	/** The known pools; pools that other VMs claim are added to it. */
	readonly layout: PoolLayout;
	/** Returns whether the pools of all data centres are known. */
	readonly isLayoutKnown: () => boolean;
	readonly peers: PeerNetwork;
	/** Up to when this process has read its input. */
	readonly inputProgress: InputProgress;
	readonly orders: UpstreamOrders;
	/** Returns whether the VMs that may own pools have had time to announce their claims since this process started. */
	readonly isSettled: () => boolean;
	/** Returns the number of entry VMs registered in the local data centre, including this one; `Infinity` until the registry has been read. */
	readonly getVmCount: () => number;
	/** Claims on pools in the store. */
	readonly claims: StoredClaims;
	/** Returns the upstreams of a pool in the latest list. */
	readonly getUpstreams: (pool: string) => readonly UpstreamDescription[];
	/** Returns the upstreams of a pool that are no longer listed but may still be alive. */
	readonly getMissingUpstreams: (pool: string) => readonly UpstreamDescription[];
	/** Returns the instances of a pool's upstreams that were listed lately and are listed at other addresses now; none by default. */
	readonly getFormerUpstreams?: (pool: string) => readonly UpstreamDescription[];
	/** Returns whether the listed and the missing upstreams of a pool include every upstream that may be alive. */
	readonly isListComplete: (pool: string) => boolean;
	/** Receives the names of the pools owned by this VM whenever they change. */
	readonly onOwnedPoolsChanged: (pools: readonly string[]) => void;
	/** Maximum lease of a run, in milliseconds. */
	readonly maxLeaseMs: number;
	/** Time after which a caller whose submission has failed submits its job again, in milliseconds. */
	readonly resendMs?: number;
	/** Time without a message after which a VM closes the connection of a peer whose tasks it runs, in milliseconds. */
	readonly peerSilenceMs: number;
	/** Time after which the load of a remote pool that another VM passed on is unknown, in milliseconds. */
	readonly relayedMaxAgeMs?: number;
	/** Parts of the scheduling that are on; all by default. */
	readonly scheduling?: SchedulingOptions;
	/** Evacuated data centres; none by default. */
	readonly evacuations?: Evacuations;
};

/** Interval of elections while no member changes its state, in milliseconds: one heartbeat. A change triggers an election immediately. */
const electionIntervalMs = 100;

/** Interval until this process may take part in elections, in milliseconds. It is short since after a loss of all VMs callers wait for the first owner. */
const initialElectionIntervalMs = 25;

/** Time without a reachable VM in a pool's data centre before another data centre takes the pool over, in milliseconds: enough for a VM to restart. */
const remoteTakeoverMs = 1500;

/** Interval of probes of the upstreams of a pool whose data centre has no reachable VM, in milliseconds. */
const probeIntervalMs = 500;

/** Time for which upstreams must have answered before a remote takeover, in milliseconds: enough for VMs to reconnect after a network partition. */
const minReachableMs = 1000;

/** Number of upstreams of a pool that are probed. */
const maxProbedUpstreams = 3;

/** Timeout of a probe, in milliseconds. */
const probeTimeoutMs = 200;

/** Interval at which an owner renews its claims in the store while some members are not up, in milliseconds. */
const claimRenewalIntervalMs = 1000;

/** Time for which a VM cedes a pool to an owner that it cannot reach, in milliseconds; longer than two claim renewals of that owner. */
const cededMs = 2500;

/** Time after a lost connection until its jobs are aborted, in milliseconds; the sender reconnects within it. */
const disconnectGraceMs = 300;

/** State of the probes of a pool's upstreams. */
type Probe = {sentAt: number; isAnswered: boolean; reachableSince: number};

/** Owns pools of a deployment and routes jobs to the owners of the others. */
export class PoolNode {
	readonly directory: PoolDirectory;
	/** Evacuated data centres. */
	readonly evacuations: Evacuations;
	/** Loads of other data centres that VMs pass on. */
	readonly remoteLoads: RemoteLoadRelay;
	/** Ages of the proofs that senders wait, at each start and each lease. */
	readonly proofAges = new ProofAges();
	/** Decisions on runs that took long. */
	readonly overdueCounts = new OverdueCounts();
	/** What the plans of starts in the pools owned here decided. */
	readonly startCounts = new StartCounts();
	readonly #options: PoolNodeOptions;
	readonly #owned = new Map<string, PoolOwner>();
	readonly #fences: FenceIssuer;
	/** Fences of the last owners of this process, by pool. */
	readonly #lastFences = new Map<string, number>();
	/** Last load received from each VM, raw and decoded. */
	readonly #loads = new Map<string, {readonly load: unknown; readonly claims: PoolClaims}>();
	/** Members when the loads of departed VMs were last removed. */
	#lastPrunedMembers: readonly Member[] = [];
	/** Monotonic time since which the data centre of a remote pool has no reachable VM. */
	readonly #vacantSince = new Map<string, number>();
	readonly #probes = new Map<string, Probe>();
	/** Pools ceded to owners that this VM cannot reach, with the revision of their last claim. */
	readonly #cededPools = new Map<string, {until: number; revision: number}>();
	/** Pools acquired while no other VM was reachable. */
	readonly #acquiredInIsolation = new Set<string>();
	#claimsRenewedAt = 0;
	readonly #candidates: PoolCandidates;
	readonly #ledger: CrashLedger;
	readonly #jobSizes = new JobSizeBudget();
	readonly #crashReports: CrashReports;
	readonly #lending: PoolLending;
	readonly #awaitedJobs: AwaitedJobs;
	readonly #router: PoolRouter;
	readonly #subscription: Subscription<unknown>;
	#timer: Timer;
	readonly #pauses: PauseDetector;
	readonly #starvation = new StarvationDetector();
	/** Monotonic time from which this VM may acquire pools. */
	#settledAt: number | undefined;
	/** The pools in the order in which this VM acquires them, and the list that they were sorted from. */
	#acquisitionOrder: {readonly pools: readonly string[]; readonly sorted: readonly string[]} = {pools: [], sorted: []};
	#isLeaving = false;
	#isClosed = false;

	constructor(options: PoolNodeOptions) {
		this.#options = options;
		this.evacuations = options.evacuations ?? new Evacuations();
		this.#fences = new FenceIssuer(options.self.id);
		this.#pauses = new PauseDetector({
			clock: options.clock,
			onPause(pauseMs, stepMs) {
				options.log.warn({pauseMs: Math.round(pauseMs), stepMs: Math.round(stepMs)}, 'this process was paused');
			},
		});
		this.#candidates = new PoolCandidates({
			...options,
			getOwnedPools: () => [...this.#owned].map(([pool, owner]) => [pool, owner.getFence()]),
			isLeaving: () => this.isResigning(),
		});
		this.directory = new PoolDirectory({
			clock: options.clock,
			selfId: options.self.id,
			dataCenter: options.self.dataCenter,
			getPools: () => options.layout.getPools(),
			getCandidates: () => this.#candidates.getCandidates(),
			getOwnLoad: pool => this.#owned.get(pool)?.getLoad(),
			evacuations: this.evacuations,
			relayedMaxAgeMs: options.relayedMaxAgeMs,
		});
		this.remoteLoads = new RemoteLoadRelay({
			clock: options.clock, log: options.log, dataCenter: options.self.dataCenter, directory: this.directory, getVmCount: () => this.#candidates.countUp(),
		});
		this.#ledger = new CrashLedger(options.clock);
		this.#crashReports = new CrashReports({...options, ledger: this.#ledger});
		this.#lending = new PoolLending({
			ledger: this.#ledger,
			clock: options.clock,
			log: options.log,
			selfId: options.self.id,
			peers: options.peers,
			inputProgress: options.inputProgress,
			directory: this.directory,
			getOwner: pool => this.#owned.get(pool),
			isLayoutKnown: options.isLayoutKnown,
			getConfirmedSince: () => getConfirmedSince(options.clock.getMonotonicTime(), this.#pauses.getDetectedAt()),
			evacuations: this.evacuations,
		});
		this.#awaitedJobs = new AwaitedJobs(options);
		this.#router = new PoolRouter({
			awaitedJobs: this.#awaitedJobs,
			ledger: this.#ledger,
			clock: options.clock,
			random: options.random,
			log: options.log,
			selfId: options.self.id,
			dataCenter: options.self.dataCenter,
			peers: options.peers,
			inputProgress: options.inputProgress,
			directory: this.directory,
			getOwner: pool => this.#owned.get(pool),
			hasReachableVm: pool => this.#hasReachableVm(pool),
			hasCededPools: () => this.#cededPools.size > 0,
			pauses: this.#pauses,
			jobSizes: this.#jobSizes,
			scheduling: options.scheduling,
			evacuations: this.evacuations,
		});
		this.#timer = this.#setTimer();
		this.#subscription = options.peers.getMemberStream().subscribe({
			next: members => {
				this.#crashReports.handleMembers(members, options.self.id);
				this.#elect();
			},
			error(err) {
				options.log.warn({err: err.message}, 'member stream failed');
			},
			complete() {/* The peer network is closed. */},
		});
	}

	/** Gets the claims that heartbeats announce: fence and load of each ready pool owned by this VM. */
	getClaims(): PoolClaims {
		const ready = [...this.#owned].filter(([, owner]) => owner.isReady());
		const entries = ready.map(([pool, owner]) => [pool, {fence: owner.getFence(), load: roundLoad(owner.getLoad())}] as const);
		return Object.fromEntries(entries);
	}

	/** Gets the fences of the ready pools owned by this VM, by pool name. */
	getFences(): Readonly<Record<string, number>> {
		const ready = [...this.#owned].filter(([, owner]) => owner.isReady());
		return Object.fromEntries(ready.map(([pool, owner]) => [pool, owner.getFence()]));
	}

	/**
	 * Gets the interval of heartbeats to a peer, in ticks.
	 * @param peer - Peer.
	 */
	getHeartbeatIntervalTicks(peer: Incarnation): number {
		return this.#candidates.getHeartbeatIntervalTicks(peer);
	}

	/**
	 * Gets whether a VM is up and has reported its pools in a heartbeat.
	 * @param vm - Name of the VM.
	 */
	hasReportedPools(vm: string): boolean {
		return this.#options.peers.getMembers().some(({incarnation, state}) => incarnation.vm === vm && state === 'up' && this.#loads.has(incarnation.id));
	}

	/** Gets the owners of the pools that this VM owns. */
	getOwners(): readonly PoolOwner[] {
		return [...this.#owned.values()];
	}

	/**
	 * Records the pool claims in a heartbeat.
	 * @param load - Encoded claims of the sender.
	 * @param from - Sender.
	 */
	handleHeartbeat(load: unknown, from: Incarnation): void {
		const previous = this.#loads.get(from.id);
		if (previous !== undefined && previous.load === load) {
			this.directory.addClaims(previous.claims);
			return;
		}

		const claims = decodePoolClaims(load);
		if (claims === undefined) {
			this.#options.log.warn({peer: from.id}, 'heartbeat cannot be decoded');
			return;
		}

		this.#loads.set(from.id, {load, claims});
		this.directory.addClaims(claims);
	}

	/**
	 * Sets a revision at which this process wrote to the store, which tells its fences from those of all others.
	 * @param revision - Revision of the store.
	 */
	setOwnRevision(revision: number): void {
		if (Number.isSafeInteger(revision)) {
			this.#fences.setOwnRevision(revision);
		}
	}

	/** Passes the current list of upstreams to the local owners. */
	handleUpstreamsChanged(): void {
		for (const [pool, owner] of this.#owned) {
			owner.setUpstreams(this.#options.getUpstreams(pool));
		}
	}

	/** Gets whether this VM owns no pool and its data centre has several reachable owners, which watch the store at short intervals. */
	isStandby(): boolean {
		return this.#owned.size === 0 && this.#candidates.countLocalOwners() > 1;
	}

	/** Gets whether other VMs should take over the pools of this VM, since it is stopping or starved of processor time. */
	isResigning(): boolean {
		return this.#isLeaving || this.#starvation.isStarved();
	}

	/** Begins a planned stop: other VMs take the pools over; jobs are still routed to their owners. */
	leave(): void {
		this.#isLeaving = true;
		this.#elect();
	}

	/** Gets the numbers of decisions on the way of callers' jobs to pools. */
	getRoutingCounts(): readonly RoutingCount[] {
		return this.#router.counts.getCounts();
	}

	/** Gets whether this VM owns no pool. */
	ownsNoPools(): boolean {
		return this.#owned.size === 0;
	}

	/** Gets the time for which a caller's request that is read now may have waited unread, in milliseconds. */
	getUnreadMs(): number {
		const {clock, inputProgress} = this.#options;
		const readUntil = inputProgress.getReadUntil();
		return clock.getMonotonicTime() - readUntil + this.#pauses.getStoppedMsSince(readUntil);
	}

	/**
	 * Submits a job to a pool and waits for its outcome.
	 * @param job - Job.
	 * @param remainingMs - Time until the caller stops waiting, in milliseconds.
	 * @param signal - Aborts when the caller disconnects.
	 */
	async submit(job: PoolJobRequest, remainingMs: number, signal: AbortSignal): Promise<PoolJobOutcome> {
		return this.#router.submit(job, remainingMs, signal);
	}

	/**
	 * Gets whether this node handles requests of a topic.
	 * @param topic - Topic.
	 */
	handlesTopic(topic: string): boolean {
		return topic === submitTopic || topic === failedRunsTopic || topic === awaitedJobsTopic || this.#lending.handlesTopic(topic);
	}

	/**
	 * Handles a request of a peer: a submitted job or a lending request of another owner.
	 * @param request - Request of the peer.
	 * @param signal - Aborts when the peer no longer waits for the answer.
	 * @param confirmation - Proof that the peer still waits for it.
	 * @returns Body of the answer.
	 */
	async handleRequest(request: PeerRequest, signal: AbortSignal, confirmation: SenderConfirmation): Promise<unknown> {
		if (request.topic === failedRunsTopic) {
			this.#crashReports.handleReport(request.body);
			return {};
		}

		if (request.topic === awaitedJobsTopic) {
			return this.#awaitedJobs.handleRequest(request.body);
		}

		return request.topic === submitTopic ? this.#handleSubmit(request, signal, confirmation) : this.#lending.handleRequest(request, signal, confirmation);
	}

	/**
	 * Handles a message of a peer.
	 * @param topic - Topic.
	 * @param body - Body.
	 * @returns Whether the topic belongs to pools.
	 */
	handleMessage(topic: string, body: unknown): boolean {
		if (topic === failedRunsTopic) {
			this.#crashReports.handleReport(body);
			return true;
		}

		if (topic !== loadTopic) {
			return false;
		}

		this.#lending.handleLoadUpdate(body);
		return true;
	}

	/** Releases all pools and stops taking part in elections. */
	close(): void {
		this.#isClosed = true;
		this.#pauses.close();
		this.#crashReports.close();
		this.#timer.close();
		this.#subscription.unsubscribe();
		for (const pool of this.#owned.keys()) {
			this.#release(pool);
		}
	}

	async #handleSubmit(request: PeerRequest, signal: AbortSignal, confirmation: SenderConfirmation): Promise<SubmitAnswer> {
		const decoded = decodeSubmitRequest(request.body);
		if (decoded === undefined) {
			throw new Error('the job cannot be decoded');
		}

		const {pool, job} = decoded;
		const owner = this.#owned.get(pool);
		if (owner === undefined) {
			return {outcome: {kind: 'moved', hasStarted: false}};
		}

		const outcome = await owner.submit(job, this.#delayAbort(signal), {
			getConfirmedAt: () => confirmation.getConfirmedAt(),
			requestConfirmation: async () => confirmation.requestConfirmation(),
			isDisconnected: () => signal.aborted,
		});
		return {outcome, load: roundLoad(owner.getLoad())};
	}

	#setTimer(): Timer {
		const {clock, isSettled} = this.#options;
		const delayMs = isSettled() ? electionIntervalMs : initialElectionIntervalMs;
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
		// Process startup uses all processor time of a small VM and does not indicate starvation.
		if (isSettled() && this.#starvation.addDelay(now - dueAt, now)) {
			log.warn({
				lateMs: Math.round(now - dueAt), isStarved: this.#starvation.isStarved(), pools: [...this.#owned.keys()],
			}, 'processor starvation of this VM began or ended');
		}
	}

	#elect(): void {
		const now = this.#options.clock.getMonotonicTime();
		if (this.#isClosed || !this.#options.isSettled()) {
			return;
		}

		this.#settledAt ??= now;
		this.#pruneLoads();
		this.#clearCededPools();
		this.#renewClaims(now);
		for (const pool of this.#getAcquisitionOrder()) {
			const elected = this.directory.getElected(pool);
			const isOwn = elected?.id === this.#options.self.id;
			if (isOwn && !this.#owned.has(pool) && this.#mayAcquire(pool, now)) {
				this.#acquire(pool);
			} else if (!isOwn && this.#owned.has(pool) && elected?.claims[pool] !== undefined) {
				this.#release(pool);
			}
		}
	}

	/** Ends ceding of local pools once another VM of the data centre is up: heartbeats then report the owner. */
	#clearCededPools(): void {
		const {self, peers} = this.#options;
		for (const pool of this.#cededPools.keys()) {
			if (peers.getMembers().some(({incarnation, state}) => state === 'up' && incarnation.dataCenter === self.dataCenter) && getDataCenter(pool) === self.dataCenter) {
				this.#cededPools.delete(pool);
			}
		}
	}

	#pruneLoads(): void {
		const members = this.#options.peers.getMembers();
		if (this.#lastPrunedMembers === members) {
			return;
		}

		this.#lastPrunedMembers = members;
		const memberIds = new Set(members.map(({incarnation}) => incarnation.id));
		for (const id of this.#loads.keys()) {
			if (!memberIds.has(id)) {
				this.#loads.delete(id);
			}
		}
	}

	/**
	 * A pool of another data centre may be acquired only after no VM there was reachable for some time while its upstreams are
	 * reachable: a data centre that is partitioned off keeps working on its own.
	 */
	#mayAcquire(pool: string, now: number): boolean {
		if (this.#isCeded(pool, now)) {
			return false;
		}

		if (getDataCenter(pool) === this.#options.self.dataCenter) {
			return this.#mayAcquireLocal(now);
		}

		if (this.#hasReachableVm(pool)) {
			this.#vacantSince.delete(pool);
			return false;
		}

		const since = this.#vacantSince.get(pool) ?? now;
		this.#vacantSince.set(pool, since);
		return now - since >= remoteTakeoverMs && this.#isReachable(pool, now);
	}

	#mayAcquireLocal(now: number): boolean {
		const {self, layout, getVmCount} = this.#options;
		return mayClaimAnotherPool({
			poolCount: layout.getPoolsOf(self.dataCenter).length,
			vmCount: getVmCount(),
			ownedCount: [...this.#owned.keys()].filter(pool => getDataCenter(pool) === self.dataCenter).length,
			ageMs: now - this.#settledAt!,
		});
	}

	#getAcquisitionOrder(): readonly string[] {
		const pools = this.directory.getPools();
		if (this.#acquisitionOrder.pools !== pools) {
			this.#acquisitionOrder = {pools, sorted: sortByVmPreference(pools, this.#options.self.vm)};
		}

		return this.#acquisitionOrder.sorted;
	}

	/**
	 * Gets whether upstreams of a pool have answered probes for some time; sends the next probes when due. Upstreams that only now
	 * begin to answer indicate that a partition has just healed; the VMs on its other side will be reachable soon.
	 */
	#isReachable(pool: string, now: number): boolean {
		const probe = this.#probes.get(pool) ?? {sentAt: -Infinity, isAnswered: false, reachableSince: Infinity};
		this.#probes.set(pool, probe);
		if (now - probe.sentAt >= probeIntervalMs) {
			probe.reachableSince = probe.isAnswered ? Math.min(probe.reachableSince, probe.sentAt) : Infinity;
			probe.sentAt = now;
			probe.isAnswered = false;
			for (const upstream of this.#options.getUpstreams(pool).slice(0, maxProbedUpstreams)) {
				void this.#probe(upstream, probe);
			}
		}

		return now - probe.reachableSince >= minReachableMs;
	}

	/** Any answer proves that the upstream is reachable; with fence 0, an upstream that has an owner refuses the poll and changes nothing. */
	async #probe(upstream: UpstreamDescription, probe: Probe): Promise<void> {
		const outcome = await this.#options.orders.poll({
			upstream, fence: 0, timeoutMs: probeTimeoutMs, acknowledged: 0, waitMs: 0,
		});
		probe.isAnswered ||= outcome.kind !== 'unanswered';
	}

	/**
	 * Renews claims in the store while some members are not up: they may be partitioned off and try to acquire the same pools, and the
	 * claims show them that this owner is alive. An isolated VM renews only claims on pools that it acquired in isolation, since others
	 * may have taken over those that it owned before.
	 */
	#renewClaims(now: number): void {
		const members = this.#options.peers.getMembers();
		if (members.every(({state}) => state === 'up') || now - this.#claimsRenewedAt < claimRenewalIntervalMs) {
			return;
		}

		this.#claimsRenewedAt = now;
		const isIsolated = this.#isIsolated();
		for (const pool of this.#owned.keys()) {
			if (!isIsolated || this.#acquiredInIsolation.has(pool)) {
				void this.#options.claims.addClaim(pool);
			}
		}
	}

	/** Gets whether other VMs are known and none is up. */
	#isIsolated(): boolean {
		const members = this.#options.peers.getMembers();
		return members.length > 0 && members.every(({state}) => state !== 'up');
	}

	#hasReachableVm(pool: string): boolean {
		return this.#candidates.hasReachableVm(getDataCenter(pool));
	}

	#isCeded(pool: string, now: number): boolean {
		const ceded = this.#cededPools.get(pool);
		if (ceded === undefined) {
			return false;
		}

		if (now >= ceded.until) {
			// Until the store answers, the pool stays with the owner of the last known claim.
			ceded.until = now + cededMs;
			void this.#recheckCededPool(pool, ceded);
		}

		return true;
	}

	/** Resumes elections for a ceded pool once its owner has stopped renewing its claim. */
	async #recheckCededPool(pool: string, ceded: {until: number; revision: number}): Promise<void> {
		const claim = await this.#options.claims.getClaim(pool);
		if (claim === undefined || claim.revision <= ceded.revision) {
			this.#cededPools.delete(pool);
			return;
		}

		ceded.revision = claim.revision;
	}

	/** Upstreams refuse this owner's orders: another VM owns the pool, or a fence was issued without the store. */
	async #handleFenced(pool: string, owner: PoolOwner): Promise<void> {
		const claim = await this.#options.claims.getClaim(pool);
		if (this.#owned.get(pool) !== owner) {
			return;
		}

		if (claim !== undefined && claim.ownerId !== this.#options.self.id && (this.#fences.getFenceOfRevision(claim.revision) > owner.getFence() || this.#isIsolated())) {
			this.#options.log.warn({
				pool, owner: claim.ownerId, revision: claim.revision, fence: owner.getFence(),
			}, 'pool ceded to an unreachable owner');
			this.#cededPools.set(pool, {until: this.#options.clock.getMonotonicTime() + cededMs, revision: claim.revision});
			this.#release(pool);
			return;
		}

		await owner.raiseFence();
		if (this.#owned.get(pool) === owner) {
			// Another owner may have started tasks, which only a takeover finds. Entry VMs submit the current jobs to the next owner.
			this.directory.addFence(pool, owner.getFence());
			this.#release(pool);
			this.#acquire(pool, owner.getFenceStep());
		}
	}

	#acquire(pool: string, fenceStep?: number): void {
		const {clock, log, orders, getUpstreams, getMissingUpstreams, maxLeaseMs, peerSilenceMs} = this.#options;
		this.#vacantSince.delete(pool);
		const owner: PoolOwner = new PoolOwner({
			pool,
			clock,
			log,
			orders,
			maxLeaseMs,
			peerSilenceMs,
			knownFence: Math.max(this.directory.getKnownFence(pool), this.#lastFences.get(pool) ?? 0),
			fences: this.#fences,
			fenceStep,
			isListComplete: () => this.#options.isListComplete(pool),
			getFormerUpstreams: () => this.#options.getFormerUpstreams?.(pool) ?? [],
			getStoredFence: async () => this.#getStoredFence(pool),
			getUnawaitedJobs: async jobs => this.#awaitedJobs.getUnawaitedJobs(pool, jobs),
			onFenced: async () => this.#handleFenced(pool, owner),
			neighbours: this.#lending.createNeighbours(pool),
			ledger: this.#ledger,
			jobSizes: this.#jobSizes,
			resendMs: this.#options.resendMs,
			scheduling: this.#options.scheduling,
			overdueCounts: this.overdueCounts,
			inputProgress: this.#options.inputProgress,
			getPausedAt: () => this.#pauses.getDetectedAt(),
			getStoppedMs: () => this.#pauses.getStoppedMs(),
			getStoppedMsSince: since => this.#pauses.getStoppedMsSince(since),
			proofAges: this.proofAges,
			startCounts: this.startCounts,
			evacuation: this.evacuations.createView(getDataCenter(pool)),
		}, [...getUpstreams(pool), ...getMissingUpstreams(pool)]);
		this.#owned.set(pool, owner);
		if (this.#isIsolated()) {
			this.#acquiredInIsolation.add(pool);
		}

		this.#options.onOwnedPoolsChanged([...this.#owned.keys()]);
	}

	/** Writes a claim on a pool and gets the fence of its revision. */
	async #getStoredFence(pool: string): Promise<number | undefined> {
		const revision = await this.#options.claims.addClaim(pool);
		if (revision === undefined) {
			return undefined;
		}

		this.setOwnRevision(revision);
		return this.#fences.getFenceOfRevision(revision);
	}

	#release(pool: string): void {
		const owner = this.#owned.get(pool);
		if (owner === undefined) {
			return;
		}

		owner.close();
		this.#lastFences.set(pool, owner.getFence());
		this.#owned.delete(pool);
		this.#acquiredInIsolation.delete(pool);
		this.#options.onOwnedPoolsChanged([...this.#owned.keys()]);
	}

	/** Gets a signal that aborts immediately when the peer cancels, and after a grace period when its connection is lost. */
	#delayAbort(signal: AbortSignal): AbortSignal {
		const controller = new AbortController();
		signal.addEventListener('abort', () => {
			if ((signal.reason as RequestAbortReason) === 'cancelled') {
				controller.abort();
				return;
			}

			this.#options.clock.setTimer(() => {
				controller.abort();
			}, disconnectGraceMs);
		}, {once: true});
		return controller.signal;
	}
}

function roundLoad({cores, freeCpu, rooms, queuedWork}: PoolLoad): PoolLoad {
	return {
		cores, freeCpu: Math.max(0, Math.round(freeCpu)), rooms: rooms.map(freeCapacity => Math.round(freeCapacity)), queuedWork: Math.max(0, Math.round(queuedWork)),
	};
}
