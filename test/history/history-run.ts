/**
 * Runs a small deployment under load and faults that are drawn from a seed, and checks the history of the run.
 */
import {
	Caller, CallHistory, createLocalCluster, drawInterarrivalMs, type Arrival, drawArrival, type LoadMix, type CallerJobId, type LocalCluster,
} from '../../src/lab/index.js';
import {type EntryVm} from '../../src/process/index.js';
import {
	createSeededRandom, type Random, sleep, systemClock,
} from '../../src/seams/index.js';
import {
	checkHistory, History, type HistoryRecord, PeerFaults, type Violation,
} from '../../src/testing/index.js';
import {drawFaults, type Fault, type FaultKind} from './fault-schedule.js';
import {FaultInjector} from './fault-injector.js';

/** Options of {@link runHistory}. */
export type HistoryRunOptions = {
	readonly seed: number;
	readonly durationMs?: number;
	readonly perSecond?: number;
	readonly faultCount?: number;
	readonly faultKinds?: readonly FaultKind[];
};

/** Result of a run. */
export type HistoryRunResult = {
	readonly seed: number;
	readonly faults: readonly Fault[];
	readonly records: readonly HistoryRecord[];
	readonly violations: readonly Violation[];
	/** Number of requests by their last outcome. */
	readonly outcomes: Readonly<Record<string, number>>;
	readonly starts: number;
};

const defaultDurationMs = 2500;
const defaultPerSecond = 80;
const defaultFaultCount = 6;
const leavingGraceMs = 2000;
const maxSettleMs = 20_000;
const versionPollIntervalMs = 20;
const readinessPollIntervalMs = 10;
/** Odd factor that spreads consecutive seeds over all bits. */
const seedFactor = 0x9E_37_79_B1;
const skippedDraws = 32;
const clock = systemClock;
const service = 'demo';

const loadMix: LoadMix = {
	sizes: [{weight: 6, minTasks: 1, maxTasks: 4}, {weight: 3, minTasks: 5, maxTasks: 20}],
	medianRunMs: 10,
	runSigma: 0.8,
	maxRunMs: 120,
	resubmitFraction: 0.4,
	cancelFraction: 0.05,
	singleFraction: 0.3,
	idempotentFraction: 0.4,
};

const declarations = {
	profiles: {
		standard: {
			taskTimeoutMs: 1500, defaultDeadlineMs: 6000, notStartedStatuses: [503], spillToOtherDataCenters: true, spillWaitMs: 50, idleConnectionMs: 1000,
		},
	},
	services: {[service]: {profile: 'standard'}},
};

/** One run of the deployment. */
class HistoryRun {
	readonly #options: HistoryRunOptions;
	readonly #random: Random;
	readonly #history = new History();
	readonly #peerFaults = new PeerFaults();
	readonly #vmNames = new Map<string, string>();
	readonly #runningJobs = new Map<string, CallerJobId>();
	readonly #outcomes: Record<string, number> = {};
	readonly #callHistory = new CallHistory({history: this.#history, getVm: address => this.#vmNames.get(address) ?? address});
	readonly #caller = new Caller({
		addresses: [], observer: this.#callHistory, retryDelayMs: 30, maxCalls: 200,
	});

	#cluster!: LocalCluster;
	#balancedAddresses: readonly string[] = [];

	constructor(options: HistoryRunOptions) {
		this.#options = options;
		this.#random = createMixedRandom(options.seed);
	}

	async run(): Promise<HistoryRunResult> {
		const {seed, durationMs = defaultDurationMs, faultCount = defaultFaultCount, faultKinds} = this.#options;
		const faults = drawFaults(this.#random, {durationMs, count: faultCount, kinds: faultKinds});
		await this.#start();
		const versionsController = new AbortController();
		const versionsRecorded = this.#recordVersions(versionsController.signal);
		const startedAt = clock.getMonotonicTime();
		const [work] = await Promise.all([this.#submitAll(startedAt + durationMs), this.#injectFaults(faults, startedAt)]);
		await this.#waitForAnswers(work);
		this.#callHistory.close();
		versionsController.abort();
		await versionsRecorded;
		this.#addUpstreamRecords();
		await this.#close();
		const records = this.#history.getRecords();
		return {
			seed,
			faults,
			records,
			violations: checkHistory(records, {leavingGraceMs}),
			outcomes: this.#outcomes,
			starts: records.filter(record => record.kind === 'start').length,
		};
	}

	async #start(): Promise<void> {
		this.#cluster = await createLocalCluster({
			service, slots: 8, declarations, dataCenters: [{name: 'dc1', entryVms: 0, upstreams: 3}, {name: 'dc2', entryVms: 0, upstreams: 2}],
		});
		for (const dataCenter of ['dc1', 'dc1', 'dc1', 'dc2', 'dc2']) {
			await this.#addEntryVm(dataCenter);
		}

		await this.#cluster.waitUntilReady();
	}

	async #addEntryVm(dataCenter: string): Promise<void> {
		const vm = `h${this.#vmNames.size + 1}`;
		const entryVm = await this.#cluster.addEntryVm(dataCenter, {
			vm,
			drainMs: 150,
			periodMs: 1000,
			mesh: {
				dial: this.#peerFaults.createDial(vm), heartbeatIntervalMs: 50, remoteHeartbeatIntervalMs: 100, connectTimeoutMs: 300,
			},
		});
		this.#vmNames.set(entryVm.getCallerAddress(), vm);
		this.#peerFaults.setAddress(entryVm.getPeerAddress(), vm);
		while (!entryVm.isReady()) {
			await sleep(clock, readinessPollIntervalMs);
		}

		this.#setBalancedAddresses([...this.#balancedAddresses, entryVm.getCallerAddress()]);
	}

	#setBalancedAddresses(addresses: readonly string[]): void {
		this.#balancedAddresses = addresses;
		this.#caller.setAddresses(addresses);
	}

	async #submitAll(end: number): Promise<ReadonlyArray<Promise<void>>> {
		const work: Array<Promise<void>> = [];
		for (;;) {
			await sleep(clock, drawInterarrivalMs(this.#options.perSecond ?? defaultPerSecond, this.#random));
			if (clock.getMonotonicTime() >= end) {
				return work;
			}

			work.push(this.#submit(drawArrival(loadMix, this.#random)));
		}
	}

	async #submit(work: Arrival): Promise<void> {
		const key = this.#random.getHex(8);
		const tasks = work.runMs.map((_runMs, index) => `${key}/${index}`);
		this.#callHistory.addRequest(key, {form: work.kind, isIdempotent: work.isIdempotent, tasks});
		const id = await this.#caller.createId(key);
		if (id !== undefined) {
			this.#runningJobs.set(key, id);
			void this.#cancelLater(id, work.cancelAfterMs);
		}

		const result = await this.#send(work, key, id, tasks);
		this.#runningJobs.delete(key);
		const outcome = result.answer?.outcome ?? 'none';
		this.#outcomes[outcome] = (this.#outcomes[outcome] ?? 0) + 1;
	}

	async #send(work: Arrival, key: string, id: CallerJobId | undefined, tasks: readonly string[]) {
		const options = {id, key, resubmitAfterMs: work.resubmitAfterMs === undefined ? [] : [work.resubmitAfterMs, work.resubmitAfterMs * 3]};
		const bodies = tasks.map((task, index) => ({
			path: '/run', method: 'POST', headers: {'x-task-id': task, 'x-run-ms': String(work.runMs[index])}, body: '',
		}));
		return work.kind === 'job'
			? this.#caller.submitJob({service, tasks: bodies}, options)
			: this.#caller.sendRequest({...bodies[0]!, service, isIdempotent: work.isIdempotent}, options);
	}

	async #cancelLater(id: CallerJobId, delayMs: number | undefined): Promise<void> {
		if (delayMs !== undefined) {
			await sleep(clock, delayMs);
			await this.#cancel(id);
		}
	}

	async #cancel(id: CallerJobId): Promise<void> {
		this.#history.addRecord({kind: 'cancel', time: clock.getMonotonicTime(), request: id.key});
		await this.#caller.cancelJob(id);
	}

	/** Injects the faults; a fault that does not end in time shows in the checker through the calls that it blocks. */
	async #injectFaults(faults: readonly Fault[], startedAt: number): Promise<void> {
		const injector = new FaultInjector({
			clock,
			cluster: this.#cluster,
			history: this.#history,
			peerFaults: this.#peerFaults,
			addEntryVm: async dataCenter => this.#addEntryVm(dataCenter),
			removeFromBalancer: (entryVm: EntryVm) => {
				this.#setBalancedAddresses(this.#balancedAddresses.filter(address => address !== entryVm.getCallerAddress()));
			},
			cancelAll: async () => {
				await Promise.all([...this.#runningJobs.values()].map(async id => this.#cancel(id)));
			},
		});
		await Promise.all(faults.map(async fault => {
			await sleep(clock, startedAt + fault.atMs - clock.getMonotonicTime());
			await injector.injectFault(fault);
		}));
	}

	/** Waits for the answers; the checker reports calls that are still open afterwards. */
	async #waitForAnswers(work: ReadonlyArray<Promise<void>>): Promise<void> {
		const ended = new AbortController();
		await Promise.race([Promise.all(work), sleep(clock, maxSettleMs, ended.signal)]);
		ended.abort();
	}

	async #recordVersions(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			for (const entryVm of this.#cluster.getEntryVms()) {
				this.#history.addRecord({
					kind: 'version',
					time: clock.getMonotonicTime(),
					vm: entryVm.getIncarnation().id,
					version: entryVm.getStatus().configurationVersion,
				});
			}

			await sleep(clock, versionPollIntervalMs, signal);
		}
	}

	#addUpstreamRecords(): void {
		for (const {standIn} of this.#cluster.getUpstreams()) {
			for (const {kind, task, time, upstream} of standIn.getRecord()) {
				if (kind !== 'refusal') {
					this.#history.addRecord({
						kind, task, time, upstream,
					});
				}
			}
		}
	}

	async #close(): Promise<void> {
		await this.#caller.close();
		await this.#cluster.close();
		this.#peerFaults.close();
	}
}

/** Creates a random source whose first numbers differ between consecutive seeds. */
function createMixedRandom(seed: number): Random {
	const random = createSeededRandom(Math.imul(seed, seedFactor));
	for (let skipped = 0; skipped < skippedDraws; skipped++) {
		random.getFloat();
	}

	return random;
}

/**
 * Runs a deployment under load and faults and checks its history.
 * @param options - Seed, length and faults.
 */
export async function runHistory(options: HistoryRunOptions): Promise<HistoryRunResult> {
	return new HistoryRun(options).run();
}
