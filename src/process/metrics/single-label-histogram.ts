import {type MetricValue, type Registry} from 'prom-client';

/** Options of a {@link SingleLabelHistogram}. */
export type SingleLabelHistogramOptions = {
	readonly name: string;
	readonly help: string;
	readonly labelName: string;
	/** Upper bounds of the buckets, rising. */
	readonly bounds: readonly number[];
};

/** The form in which `prom-client` reads a metric. */
type HistogramValues = {
	readonly name: string;
	readonly help: string;
	readonly type: 'histogram';
	readonly aggregator: 'sum';
	readonly values: ReadonlyArray<MetricValue<string> & {readonly metricName: string}>;
};

type Series = {
	/** Observations of each bucket; the last one has no upper bound. */
	readonly counts: Float64Array;
	sum: number;
};

/**
 * A histogram with one label that costs an array access for each observation; `prom-client` sees it when it is scraped.
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
		// The registry asks of a metric only its name and `get`, though its type names the built-in classes.
		registry.registerMetric(this as unknown as Parameters<Registry['registerMetric']>[0]);
	}

	/**
	 * Adds an observation.
	 * @param label - Value of the label.
	 * @param value - Value observed.
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
