/**
 * Submits a synthetic load open-loop: arrivals do not wait for answers.
 */
import {
	type Clock, createSeededRandom, type Random, sleep, systemClock,
} from '../seams/index.js';
import {
	type CallerJobId, type CallerTask, type CallOutcome, type CallResult,
} from './call.js';
import {
	Caller, type CallObserver, type ObservedCall, type SubmitResult,
} from './caller.js';
import {
	defaultLoadMix, drawInterarrivalMs, type Arrival, drawArrival, type LoadMix,
} from './load-mix.js';
import {DistributionBuilder, type LoadReport} from './load-report.js';

/** Options of a {@link LoadGenerator}. */
export type LoadGeneratorOptions = {
	/** Callers' addresses of the entry VMs. */
	readonly addresses: readonly string[];
	readonly service: string;
	/** Team of the jobs; one of them is drawn for each. */
	readonly teams?: readonly string[];
	/** Arrivals a second. */
	readonly perSecond: number;
	/** Time in which work arrives, in milliseconds. */
	readonly durationMs: number;
	/** Work that arrives at once, on top, every `burstEveryMs`; 0: no bursts. */
	readonly burstSize?: number;
	readonly burstEveryMs?: number;
	readonly deadlineMs?: number;
	readonly mix?: Partial<LoadMix>;
	readonly seed?: number;
	readonly clock?: Clock;
	readonly observer?: CallObserver;
	/** Highest attempt of each request. */
	readonly maxAttempts?: number;
};

const defaultBurstEveryMs = 1000;
const defaultSeed = 1;
const keyBytes = 12;

/** Submits a synthetic load and reports what its callers saw. */
export class LoadGenerator {
	readonly #options: LoadGeneratorOptions;
	readonly #mix: LoadMix;
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #caller: Caller;
	readonly #hashes = new Map<string, string[]>();
	readonly #ratio = new DistributionBuilder();
	readonly #overhead = new DistributionBuilder();
	readonly #outcomes = new Map<CallOutcome | 'none', number>();
	readonly #problems: Record<string, number> = {};
	readonly #counts = {
		jobs: 0, singles: 0, tasks: 0, resubmitted: 0, joined: 0, cancelled: 0,
	};

	constructor(options: LoadGeneratorOptions) {
		this.#options = options;
		this.#mix = {...defaultLoadMix, ...options.mix};
		this.#clock = options.clock ?? systemClock;
		this.#random = createSeededRandom(options.seed ?? defaultSeed);
		this.#caller = new Caller({
			addresses: options.addresses,
			clock: this.#clock,
			observer: {
				submitted(call) {
					options.observer?.submitted(call);
				},
				ended: (call, result) => {
					this.#noteHash(call, result);
					options.observer?.ended(call, result);
				},
			},
		});
	}

	/**
	 * Submits the load, waits for its answers and gets the report.
	 * @param signal - Ends the arrivals early; answers are still awaited.
	 */
	async run(signal?: AbortSignal): Promise<LoadReport> {
		await this.#caller.getCoordinator();
		const started = this.#clock.getMonotonicTime();
		const end = started + this.#options.durationMs;
		const work = await Promise.all([this.#arrive(started, end, signal), this.#arriveInBursts(started, end, signal)]);
		await Promise.all(work.flat());
		return {
			seconds: Math.round(this.#clock.getMonotonicTime() - started) / 1000,
			calls: this.#caller.getCallCount(),
			...this.#counts,
			outcomes: Object.fromEntries(this.#outcomes),
			problems: {...this.#problems},
			ratio: this.#ratio.getDistribution(),
			overheadMs: this.#overhead.getDistribution(),
		};
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#caller.close();
	}

	async #arrive(started: number, end: number, signal?: AbortSignal): Promise<ReadonlyArray<Promise<void>>> {
		const running: Array<Promise<void>> = [];
		let next = started;
		while (!signal?.aborted) {
			next += drawInterarrivalMs(this.#options.perSecond, this.#random);
			if (next >= end) {
				break;
			}

			const waitMs = next - this.#clock.getMonotonicTime();
			if (waitMs > 0) {
				await sleep(this.#clock, waitMs, signal);
			}

			running.push(this.#submit());
		}

		return running;
	}

	async #arriveInBursts(started: number, end: number, signal?: AbortSignal): Promise<ReadonlyArray<Promise<void>>> {
		const running: Array<Promise<void>> = [];
		const {burstEveryMs = defaultBurstEveryMs, burstSize = 0} = this.#options;
		if (burstSize === 0) {
			return running;
		}

		for (let next = started + burstEveryMs; next < end && !signal?.aborted; next += burstEveryMs) {
			await sleep(this.#clock, Math.max(next - this.#clock.getMonotonicTime(), 0), signal);
			running.push(...Array.from({length: burstSize}, async () => this.#submit()));
		}

		return running;
	}

	async #submit(): Promise<void> {
		const work = drawArrival(this.#mix, this.#random);
		const started = this.#clock.getMonotonicTime();
		this.#counts[work.kind === 'job' ? 'jobs' : 'singles']++;
		this.#counts.tasks += work.runMs.length;
		this.#counts.resubmitted += work.resubmitAfterMs === undefined ? 0 : 1;
		const id = await this.#caller.createId(this.#random.getHex(keyBytes));
		if (work.cancelAfterMs !== undefined && id !== undefined) {
			void this.#cancelLater(id, work.cancelAfterMs);
		}

		const result = await this.#send(work, id);
		this.#note(work, result, this.#clock.getMonotonicTime() - started);
	}

	async #send(work: Arrival, id: CallerJobId | undefined): Promise<SubmitResult> {
		const {deadlineMs, maxAttempts, service, teams = []} = this.#options;
		const resubmitAfterMs = work.resubmitAfterMs === undefined ? [] : [work.resubmitAfterMs];
		const submitOptions = {id, maxAttempts, resubmitAfterMs};
		const tasks = work.runMs.map((runMs, index) => getTask(id?.key ?? '', index, runMs));
		if (work.kind === 'single') {
			const [task] = tasks;
			return this.#caller.sendRequest({
				...task!, method: 'POST', service, isIdempotent: work.isIdempotent,
			}, submitOptions);
		}

		const team = teams[Math.floor(this.#random.getFloat() * teams.length)];
		return this.#caller.submitJob({
			service, tasks, deadlineMs, team,
		}, submitOptions);
	}

	async #cancelLater(id: CallerJobId, delayMs: number): Promise<void> {
		await sleep(this.#clock, delayMs);
		if (await this.#caller.cancelJob(id)) {
			this.#counts.cancelled++;
		}
	}

	#noteHash({request}: ObservedCall, result: CallResult): void {
		if (result.kind === 'answered' && result.outcome === 'complete') {
			this.#hashes.set(request, [...this.#hashes.get(request) ?? [], result.hash]);
		}
	}

	#note(work: Arrival, {answer, key}: SubmitResult, responseMs: number): void {
		const outcome = answer?.outcome ?? 'none';
		this.#outcomes.set(outcome, (this.#outcomes.get(outcome) ?? 0) + 1);
		if (answer !== undefined && answer.problemType !== '') {
			this.#problems[answer.problemType] = (this.#problems[answer.problemType] ?? 0) + 1;
		}

		const hashes = this.#hashes.get(key) ?? [];
		this.#hashes.delete(key);
		if (hashes.length > 1 && hashes.every(hash => hash === hashes[0])) {
			this.#counts.joined++;
		}

		if (answer?.outcome === 'complete' && work.resubmitAfterMs === undefined) {
			const ideal = Math.max(...work.runMs, 1);
			this.#ratio.addValue(responseMs / ideal);
			this.#overhead.addValue(responseMs - ideal);
		}
	}
}

function getTask(key: string, index: number, runMs: number): CallerTask {
	return {
		path: '/run',
		method: 'POST',
		headers: {'x-task-id': `${key}/${index}`, 'x-run-ms': String(runMs)},
		body: '',
	};
}
