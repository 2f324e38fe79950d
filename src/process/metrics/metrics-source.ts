/**
 * The values from which the metrics are read at each scrape.
 */
import {type HttpCounters} from '../../connection/index.js';
import {type EntryVmStatus} from '../entry-vm-status.js';

/** Status and counters of an entry VM. */
export type MetricsSource = {
	readonly status: EntryVmStatus;
	/** Number of calls to the platform since the start. */
	readonly platformCalls: number;
	readonly callerHttp: HttpCounters;
	readonly operatorHttp: HttpCounters;
};

/** One value of a metric with its labels. */
export type Sample = {
	readonly labels?: Readonly<Record<string, string>>;
	readonly value: number;
};

/** A metric whose values are read at each scrape. */
export type SourceMetric = {
	readonly name: string;
	readonly type: 'counter' | 'gauge';
	readonly help: string;
	readonly labelNames?: readonly string[];
	readonly read: (source: MetricsSource) => readonly Sample[];
};

/**
 * Gets one sample for each property of an object of counts.
 * @param labelName - Label whose value is the property's name.
 * @param counts - Counts by name; `undefined` counts as 0.
 */
export function getSamples(labelName: string, counts: Readonly<Record<string, number | undefined>>): readonly Sample[] {
	return Object.entries(counts).map(([name, value]) => ({labels: {[labelName]: name}, value: value ?? 0}));
}
