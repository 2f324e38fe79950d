/**
 * Counts of what the plans of starts decided.
 */

/** What is counted: starts by a plan, those among them before or beside reserved capacity, reservations and jobs held back. */
export type StartCount = 'planned' | 'backfilled' | 'reservations' | 'held';

/** Counts the decisions of plans. */
export class StartCounts {
	readonly #counts: Record<StartCount, number> = {
		planned: 0, backfilled: 0, reservations: 0, held: 0,
	};

	/**
	 * Adds to a count.
	 * @param name - What is counted.
	 * @param count - Number to add.
	 */
	add(name: StartCount, count = 1): void {
		this.#counts[name] += count;
	}

	/** Gets the counts so far. */
	getAll(): Readonly<Record<StartCount, number>> {
		return {...this.#counts};
	}
}
