import {type MetricValue, type Registry} from 'prom-client';

/** Options of a {@link SingleLabelHistogram}. */
export type SingleLabelHistogramOptions = {
	readonly name: string;
	readonly help: string;
	readonly labelName: string;
	/** Upper bounds of the buckets in ascending order. */
	readonly bounds: readonly number[];
};

/** The values of a histogram in the form that `prom-client` expects. */
type HistogramValues = {
	readonly name: string;
	readonly help: string;
	readonly type: 'histogram';
	readonly aggregator: 'sum';
	readonly values: ReadonlyArray<MetricValue<string> & {readonly metricName: string}>;
};

type Series = {
	/** Number of observations in each bucket; the last bucket has no upper bound. */
	readonly counts: Float64Array;
	sum: number;
};

/**
 * A histogram with one label whose observations only increment an array element; converted for `prom-client` at each scrape.
 * @internal
 */
export class SingleLabelHistogram {
	readonly name: string;
	readonly help: string;
	readonly #labelName: string;
	readonly #bounds: readonly number[];
	readonly #series = new Map<string, Series>();

	constructor(options: SingleLabelHistogramOptions, registry: Registry) {
		this.name = options.name;
		this.help = options.help;
		this.#labelName = options.labelName;
		this.#bounds = options.bounds;
		// The registry uses only the name and `get` of a metric, although its type accepts only the built-in classes.
		registry.registerMetric(this as unknown as Parameters<Registry['registerMetric']>[0]);
	}

	/**
	 * Adds an observation.
	 * @param label - Value of the label.
	 * @param value - Observed value.
	 */
	observe(label: string, value: number): void {
		let series = this.#series.get(label);
		if (series === undefined) {
			series = {counts: new Float64Array(this.#bounds.length + 1), sum: 0};
			this.#series.set(label, series);
		}

		let bucket = 0;
		while (bucket < this.#bounds.length && value > this.#bounds[bucket]!) {
			bucket++;
		}

		series.counts[bucket]!++;
		series.sum += value;
	}

	/** Gets the values in the form of `prom-client`. */
	async get(): Promise<HistogramValues> {
		return {
			name: this.name,
			help: this.help,
			type: 'histogram',
			aggregator: 'sum',
			values: [...this.#series].flatMap(([label, series]) => this.#getValues(label, series)),
		};
	}

	#getValues(label: string, series: Series): HistogramValues['values'] {
		const labels = {[this.#labelName]: label};
		let cumulated = 0;
		const buckets = Array.from(series.counts, (count, index) => {
			cumulated += count;
			return {metricName: `${this.name}_bucket`, value: cumulated, labels: {le: this.#bounds[index] ?? '+Inf', ...labels}};
		});
		return [
			...buckets,
			{metricName: `${this.name}_sum`, value: series.sum, labels},
			{metricName: `${this.name}_count`, value: cumulated, labels},
		];
	}
}
