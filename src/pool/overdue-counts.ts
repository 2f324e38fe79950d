/**
 * Numbers of decisions on runs that took long, for the metrics.
 */
import {type OverdueDecision} from '../scheduling/index.js';

/** Decision on a run that took long. */
export type OverdueVerdict = Exclude<OverdueDecision['verdict'], 'not-late'>;

/** Counts the decisions of all owners of a process; a run is counted once for each verdict that it gets in turn. */
export class OverdueCounts {
	readonly #counts = new Map<OverdueVerdict, number>();

	/**
	 * Counts a decision.
	 * @param verdict - What was decided.
	 */
	add(verdict: OverdueVerdict): void {
		this.#counts.set(verdict, (this.#counts.get(verdict) ?? 0) + 1);
	}

	/** Gets the number of decisions so far by verdict. */
	getCounts(): ReadonlyMap<OverdueVerdict, number> {
		return this.#counts;
	}
}
