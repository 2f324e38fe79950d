/**
 * Counts what a VM decides on the way of jobs to pools, for metrics and for a line of the log at most once a second.
 */
import {type Clock} from '../seams/index.js';
import {type DecisionLog, type LogFields} from './decision-log.js';

/** One decision: where a job was submitted, that it waited, or which answer or ranking refused it. */
export type RoutingDecision = {
	readonly kind: 'submit' | 'wait' | 'refuse';
	/** Whether a job goes to this data centre or to another, or who refused it: the owner of a pool, or the ranking. */
	readonly by: 'local' | 'remote' | 'owner' | 'ranking';
	/** Reason of a refusal; empty otherwise. */
	readonly reason: string;
	/** Age of the report that led to the decision, in milliseconds; `undefined` if none did, `Infinity` if none was received. */
	readonly ageMs?: number;
};

/** Number of decisions of one kind. */
export type RoutingCount = Omit<RoutingDecision, 'ageMs'> & {readonly upToMs: number | undefined; readonly count: number};

/** Upper bounds of the age classes, in milliseconds: a heartbeat at the highest rate, one between data centres, and older ones. */
const ageBoundsMs = [100, 200, 500, 1000, 2000];

const logIntervalMs = 1000;

/** Counts decisions. */
export class RoutingCounts {
	readonly #clock: Clock;
	readonly #log: DecisionLog;
	readonly #counts = new Map<string, {readonly decision: Omit<RoutingDecision, 'ageMs'>; readonly upToMs: number | undefined; count: number}>();
	#refusals = new Map<string, number>();
	#lastLoggedAt = -Infinity;

	constructor(clock: Clock, log: DecisionLog) {
		this.#clock = clock;
		this.#log = log;
	}

	/**
	 * Counts a decision.
	 * @param decision - Decision.
	 */
	add({ageMs, ...decision}: RoutingDecision): void {
		const upToMs = ageMs === undefined ? undefined : ageBoundsMs.find(bound => ageMs <= bound) ?? Infinity;
		const key = `${decision.kind} ${decision.by} ${decision.reason} ${upToMs ?? ''}`;
		const entry = this.#counts.get(key);
		if (entry === undefined) {
			this.#counts.set(key, {decision, upToMs, count: 1});
		} else {
			entry.count++;
		}
	}

	/**
	 * Counts a job that is refused, and logs the last one of each second with the numbers since the last line.
	 * @param decision - Decision.
	 * @param getFields - Gets the inputs of the decision; called only for a line.
	 */
	addRefusal(decision: RoutingDecision, getFields: () => LogFields): void {
		this.add(decision);
		const name = `${decision.by} ${decision.reason}`;
		this.#refusals.set(name, (this.#refusals.get(name) ?? 0) + 1);
		const now = this.#clock.getMonotonicTime();
		if (now - this.#lastLoggedAt >= logIntervalMs) {
			this.#lastLoggedAt = now;
			this.#log.info({...getFields(), refused: Object.fromEntries(this.#refusals)}, 'jobs refused by all data centres in reach');
			this.#refusals = new Map();
		}
	}

	/** Gets the numbers so far. */
	getCounts(): readonly RoutingCount[] {
		return [...this.#counts.values()].map(({decision, upToMs, count}) => ({...decision, upToMs, count}));
	}
}
