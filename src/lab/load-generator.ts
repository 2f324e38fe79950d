/**
 * Generates an open-loop synthetic load: arrivals do not wait for answers.
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
	/** Caller addresses of the entry VMs. */
	readonly addresses: readonly string[];
	readonly service: string;
	/** Teams; one is drawn for each job. */
	readonly teams?: readonly string[];
	/** Arrivals per second. */
	readonly perSecond: number;
	/** Duration of the arrivals, in milliseconds. */
	readonly durationMs: number;
	/** Additional arrivals every `burstEveryMs`; 0: no bursts. */
	readonly burstSize?: number;
	readonly burstEveryMs?: number;
	readonly deadlineMs?: number;
	readonly mix?: Partial<LoadMix>;
	readonly seed?: number;
	readonly clock?: Clock;
	readonly observer?: CallObserver;
	/** Maximum number of attempts of each request. */
	readonly maxAttempts?: number;
};

const defaultBurstEveryMs = 1000;
const defaultSeed = 1;
const keyBytes = 12;

/** Submits a synthetic load and reports the answers and response times of its callers. */
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
					this.#recordHash(call, result);
					options.observer?.ended(call, result);
				},
			},
		});
	}

	/**
	 * Submits the load, waits for all answers and returns the report.
	 * @param signal - Ends the arrivals early; pending answers are still awaited.
	 */
	async run(signal?: AbortSignal): Promise<LoadReport> {
		await this.#caller.getCoordinator();
		const started = this.#clock.getMonotonicTime();
		const end = started + this.#options.durationMs;
		const submissions = await Promise.all([this.#submitArrivals(started, end, signal), this.#submitBursts(started, end, signal)]);
		await Promise.all(submissions.flat());
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

	async #submitArrivals(started: number, end: number, signal?: AbortSignal): Promise<ReadonlyArray<Promise<void>>> {
		const submissions: Array<Promise<void>> = [];
		let nextArrival = started;
		while (!signal?.aborted) {
			nextArrival += drawInterarrivalMs(this.#options.perSecond, this.#random);
			if (nextArrival >= end) {
				break;
			}

			const waitMs = nextArrival - this.#clock.getMonotonicTime();
			if (waitMs > 0) {
				await sleep(this.#clock, waitMs, signal);
			}

			submissions.push(this.#submit());
		}

		return submissions;
	}

	async #submitBursts(started: number, end: number, signal?: AbortSignal): Promise<ReadonlyArray<Promise<void>>> {
		const submissions: Array<Promise<void>> = [];
		const {burstEveryMs = defaultBurstEveryMs, burstSize = 0} = this.#options;
		if (burstSize === 0) {
			return submissions;
		}

		for (let nextBurst = started + burstEveryMs; nextBurst < end && !signal?.aborted; nextBurst += burstEveryMs) {
			await sleep(this.#clock, Math.max(nextBurst - this.#clock.getMonotonicTime(), 0), signal);
			submissions.push(...Array.from({length: burstSize}, async () => this.#submit()));
		}

		return submissions;
	}

	async #submit(): Promise<void> {
		const arrival = drawArrival(this.#mix, this.#random);
		const started = this.#clock.getMonotonicTime();
		this.#counts[arrival.kind === 'job' ? 'jobs' : 'singles']++;
		this.#counts.tasks += arrival.runMs.length;
		this.#counts.resubmitted += arrival.resubmitAfterMs === undefined ? 0 : 1;
		const id = await this.#caller.createId(this.#random.getHex(keyBytes));
		if (arrival.cancelAfterMs !== undefined && id !== undefined) {
			void this.#cancelAfter(id, arrival.cancelAfterMs);
		}

		const result = await this.#send(arrival, id);
		this.#recordResult(arrival, result, this.#clock.getMonotonicTime() - started);
	}

	async #send(arrival: Arrival, id: CallerJobId | undefined): Promise<SubmitResult> {
		const {deadlineMs, maxAttempts, service, teams = []} = this.#options;
		const resubmitAfterMs = arrival.resubmitAfterMs === undefined ? [] : [arrival.resubmitAfterMs];
		const submitOptions = {id, maxAttempts, resubmitAfterMs};
		const tasks = arrival.runMs.map((runMs, index) => getTask(id?.key ?? '', index, runMs));
		if (arrival.kind === 'single') {
			const [task] = tasks;
			return this.#caller.sendRequest({
				...task!, method: 'POST', service, isIdempotent: arrival.isIdempotent,
			}, submitOptions);
		}

		const team = teams[Math.floor(this.#random.getFloat() * teams.length)];
		return this.#caller.submitJob({
			service, tasks, deadlineMs, team,
		}, submitOptions);
	}

	async #cancelAfter(id: CallerJobId, delayMs: number): Promise<void> {
		await sleep(this.#clock, delayMs);
		if (await this.#caller.cancelJob(id)) {
			this.#counts.cancelled++;
		}
	}

	#recordHash({request}: ObservedCall, result: CallResult): void {
		if (result.kind === 'answered' && result.outcome === 'complete') {
			this.#hashes.set(request, [...this.#hashes.get(request) ?? [], result.hash]);
		}
	}

	#recordResult(arrival: Arrival, {answer, key}: SubmitResult, responseMs: number): void {
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

		if (answer?.outcome === 'complete' && arrival.resubmitAfterMs === undefined) {
			const longestTaskMs = Math.max(...arrival.runMs, 1);
			this.#ratio.addValue(responseMs / longestTaskMs);
			this.#overhead.addValue(responseMs - longestTaskMs);
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
