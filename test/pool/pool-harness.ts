/**
 * One pool owner with simulated upstreams on a manual clock.
 */
import {
	type DecisionLog, type JobStep, PoolOwner, type PoolJobOutcome, type SubmittedJob, type UpstreamDescription,
} from '../../src/pool/index.js';
import {sleep} from '../../src/seams/index.js';
import {ManualClock} from '../../src/testing/manual-clock.js';
import {type SimulatedUpstreamFaults, SimulatedUpstreams, type SimulatedWork} from '../../src/testing/simulated-upstreams.js';

/** Log that keeps nothing. */
export const silentLog: DecisionLog = {
	debug() {/* Kept nowhere. */},
	info() {/* Kept nowhere. */},
	warn() {/* Kept nowhere. */},
};

/** Options of {@link PoolHarness}. */
export type PoolHarnessOptions = {
	readonly upstreamCount?: number;
	/** Thousandths of a core of each upstream. */
	readonly cpu?: number;
	readonly getWork?: (task: string) => SimulatedWork;
};

/** Work that takes 100 ms and 6.8 cores. */
export const usualWork: SimulatedWork = {needs: {cpu: 6800, memoryMb: 64, accelerators: 0}, durationMs: 100};

/** A pool under test. */
export class PoolHarness {
	readonly clock = new ManualClock();
	readonly upstreams: SimulatedUpstreams;
	readonly descriptions: readonly UpstreamDescription[];
	readonly faults: readonly SimulatedUpstreamFaults[];
	readonly outcomes = new Map<string, PoolJobOutcome>();
	fencedCount = 0;
	isListComplete = true;
	#fence = 100;

	constructor({upstreamCount = 4, cpu = 16_000, getWork = () => usualWork}: PoolHarnessOptions = {}) {
		this.upstreams = new SimulatedUpstreams({clock: this.clock, getWork});
		this.descriptions = Array.from({length: upstreamCount}, (_, position) => createUpstream(`u${position}`, cpu));
		this.faults = this.descriptions.map(description => this.upstreams.addUpstream(description));
	}

	/**
	 * Creates an owner with a fence above all before.
	 * @param descriptions - Upstreams that it knows.
	 * @param getPausedAt - Gets the time of its last pause.
	 */
	createOwner(descriptions = this.descriptions, getPausedAt?: () => number): PoolOwner {
		this.#fence += 10;
		const fence = this.#fence;
		return new PoolOwner({
			pool: 'dc1',
			clock: this.clock,
			log: silentLog,
			orders: this.upstreams,
			getStoredFence: async () => fence,
			onFenced: async () => {
				this.fencedCount++;
			},
			isListComplete: () => this.isListComplete,
			knownFence: 0,
			maxLeaseMs: 1000,
			peerSilenceMs: 500,
			getPausedAt,
		}, descriptions);
	}

	/**
	 * Loses stops on their way to the upstreams.
	 * @param count - Number of the next stops that are lost.
	 */
	loseStops(count: number): void {
		const stopRun = this.upstreams.stopRun.bind(this.upstreams);
		let left = count;
		this.upstreams.stopRun = async options => {
			if (left <= 0) {
				return stopRun(options);
			}

			left--;
			await sleep(this.clock, options.timeoutMs);
			return {kind: 'unanswered', detail: 'no answer'};
		};
	}

	/**
	 * Submits a job; its outcome comes into `outcomes`.
	 * @param owner - Owner to ask.
	 * @param id - Identifier.
	 * @param options - What differs from a job of one usual task.
	 * @param signal - Aborts when the caller goes.
	 * @param isLost - Gets whether the caller's connection was lost.
	 */
	submit(owner: PoolOwner, id: string, options: Partial<SubmittedJob> & {readonly step?: Partial<JobStep>} = {}, signal?: AbortSignal, isLost?: () => boolean): void { // eslint-disable-line max-params
		void (async () => {
			this.outcomes.set(id, await owner.submit(createJob(id, options), signal, isLost));
		})();
	}
}

/**
 * Creates a job.
 * @param id - Identifier.
 * @param options - What differs from a job of one usual task.
 */
export function createJob(id: string, {step, ...options}: Partial<SubmittedJob> & {readonly step?: Partial<JobStep>} = {}): SubmittedJob {
	return {
		id,
		spec: 'work',
		steps: [{
			taskCount: 1, needs: usualWork.needs, estimateMs: 100, after: [], ...step,
		}],
		rules: {
			route: 'r', service: 's', priority: 0, maxAttempts: 3, stretch: 1.6, slackMs: 60,
		},
		ageMs: 0,
		remainingMs: 1500,
		priorFence: 0,
		...options,
	};
}

/**
 * Creates an upstream.
 * @param id - Identifier.
 * @param cpu - Thousandths of a core.
 */
export function createUpstream(id: string, cpu: number): UpstreamDescription {
	return {
		id, bornMs: 1, address: `${id}:1`, dataCenter: 'dc1', service: 's', rack: 'r1', labels: ['a', 'r1'], isLeaving: false,
		capacity: {cpu, memoryMb: 32_768, accelerators: 0},
	};
}
