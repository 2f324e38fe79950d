/**
 * The metrics of one entry VM, kept as plain numbers and formatted as text only when they are scraped.
 */
import {type IntervalHistogram, monitorEventLoopDelay} from 'node:perf_hooks';
import process from 'node:process';
import {Counter, Gauge, Registry} from 'prom-client';
import {type CallerAnswer, type JobTimes} from '../../request/index.js';
import {type MetricsText} from '../operator-api.js';
import {type MetricsSource, type SourceMetric} from './metrics-source.js';
import {SingleLabelHistogram} from './single-label-histogram.js';
import {processMetrics} from './process-metrics.js';
import {workMetrics} from './work-metrics.js';

const durationBucketBoundsSeconds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1, 2.5, 5, 10, 30];
const idealRatioBucketBounds = [1.01, 1.02, 1.05, 1.08, 1.1, 1.2, 1.5, 2, 2.5, 3, 5, 10, 25];

/** Maximum number of services with their own label value; the others share one. */
const maxServiceLabels = 200;
const otherServicesLabel = 'other';

const millisecondsPerSecond = 1000;
const microsecondsPerSecond = 1_000_000;
const nanosecondsPerSecond = 1_000_000_000;
const eventLoopResolutionMs = 10;

/** Metrics of one entry VM, in their own registry. */
export class Metrics {
	readonly #registry = new Registry();
	readonly #eventLoopDelay: IntervalHistogram = monitorEventLoopDelay({resolution: eventLoopResolutionMs});
	readonly #outcomes = new Map<string, Map<string, number>>();
	readonly #durations: SingleLabelHistogram;
	readonly #idealRatios: SingleLabelHistogram;
	#source: MetricsSource | undefined;

	/** @internal */
	constructor() {
		this.#durations = new SingleLabelHistogram({
			name: 'endivemill_job_duration_seconds', help: 'Time from the acceptance of a job to its answer, by service.', labelName: 'service', bounds: durationBucketBoundsSeconds,
		}, this.#registry);
		this.#idealRatios = new SingleLabelHistogram({
			name: 'endivemill_job_ideal_ratio', help: 'Time of a complete job divided by the run of its longest task, by service.', labelName: 'service', bounds: idealRatioBucketBounds,
		}, this.#registry);
		this.#addOutcomes();
		this.#addProcessMetrics();
		for (const metric of [...processMetrics, ...workMetrics]) {
			this.#addSourceMetric(metric);
		}

		this.#eventLoopDelay.enable();
	}

	/**
	 * Counts a job that ended.
	 * @param service - Service of the job.
	 * @param answer - Answer of the job.
	 * @param times - Times of the job.
	 */
	addJob(service: string, answer: Pick<CallerAnswer, 'outcome' | 'problem'>, times: JobTimes): void {
		const label = this.#getServiceLabel(service);
		const outcomes = this.#outcomes.get(label)!;
		const outcome = answer.problem ?? answer.outcome ?? 'complete';
		outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
		this.#durations.observe(label, times.responseMs / millisecondsPerSecond);
		if (outcome === 'complete' && times.idealMs > 0) {
			this.#idealRatios.observe(label, times.responseMs / times.idealMs);
		}
	}

	/**
	 * Gets the metrics as text.
	 * @param source - Status and counters to read the metrics from.
	 */
	async getText(source: MetricsSource): Promise<MetricsText> {
		this.#source = source;
		return {contentType: this.#registry.contentType, text: await this.#registry.metrics()};
	}

	/** Stops measuring the event loop. */
	close(): void {
		this.#eventLoopDelay.disable();
	}

	#getServiceLabel(service: string): string {
		if (this.#outcomes.has(service)) {
			return service;
		}

		const label = this.#outcomes.size < maxServiceLabels ? service : otherServicesLabel;
		if (!this.#outcomes.has(label)) {
			this.#outcomes.set(label, new Map());
		}

		return label;
	}

	#addOutcomes(): void {
		const outcomes = this.#outcomes;
		this.#register(new Counter({
			name: 'endivemill_job_outcomes_total',
			help: 'Jobs that ended after they were admitted, by service and outcome; an outcome other than complete is named by its problem.',
			labelNames: ['service', 'outcome'],
			registers: [],
			collect() {
				this.reset();
				for (const [service, counts] of outcomes) {
					for (const [outcome, count] of counts) {
						this.inc({service, outcome}, count);
					}
				}
			},
		}));
	}

	#addProcessMetrics(): void {
		const eventLoopDelay = this.#eventLoopDelay;
		this.#register(new Gauge({
			name: 'endivemill_event_loop_delay_seconds',
			help: 'Delay of the event loop since the last scrape, by quantile.',
			labelNames: ['quantile'],
			registers: [],
			collect() {
				this.set({quantile: '0.5'}, eventLoopDelay.percentile(50) / nanosecondsPerSecond);
				this.set({quantile: '0.99'}, eventLoopDelay.percentile(99) / nanosecondsPerSecond);
				this.set({quantile: '1'}, eventLoopDelay.max / nanosecondsPerSecond);
				eventLoopDelay.reset();
			},
		}));
		this.#register(new Counter({
			name: 'process_cpu_seconds_total',
			help: 'Processor time of the process.',
			registers: [],
			collect() {
				const {user, system} = process.cpuUsage();
				this.reset();
				this.inc((user + system) / microsecondsPerSecond);
			},
		}));
		this.#register(new Gauge({
			name: 'process_resident_memory_bytes',
			help: 'Resident memory of the process.',
			registers: [],
			collect() {
				this.set(process.memoryUsage.rss());
			},
		}));
	}

	#addSourceMetric({name, type, help, labelNames = [], read}: SourceMetric): void {
		const readSamples = () => this.#source === undefined ? [] : read(this.#source);
		const options = {
			name, help, labelNames, registers: [],
		};
		if (type === 'gauge') {
			this.#register(new Gauge({
				...options,
				collect() {
					this.reset();
					for (const {labels = {}, value} of readSamples()) {
						this.set(labels, value);
					}
				},
			}));
			return;
		}

		this.#register(new Counter({
			...options,
			collect() {
				this.reset();
				for (const {labels = {}, value} of readSamples()) {
					this.inc(labels, value);
				}
			},
		}));
	}

	#register(metric: Counter | Gauge): void {
		this.#registry.registerMetric(metric);
	}
}

/** Creates the metrics of one entry VM. */
export function createMetrics(): Metrics {
	return new Metrics();
}
