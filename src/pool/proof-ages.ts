/**
 * Counts of how old the proofs were by which tasks were started and leases were granted.
 */

/** What was done by a proof. */
export type ProofUse = 'start' | 'lease';

/** Number of uses with proofs up to an age. */
export type ProofAgeCount = {
	readonly use: ProofUse;
	/** Upper bound of the age, in milliseconds. */
	readonly upToMs: number;
	readonly count: number;
};

/** Upper bounds of the ages in milliseconds: from that on a calm VM to that at which no lease may be granted. */
const bounds = [25, 100, 250, 400, 600, 800, 1150, Infinity];

/** Counts the uses of proofs by their ages. */
export class ProofAges {
	readonly #counts: Readonly<Record<ProofUse, number[]>> = {start: bounds.map(() => 0), lease: bounds.map(() => 0)};

	/**
	 * Counts a use.
	 * @param use - What was done.
	 * @param ageMs - Age of the proof, in milliseconds.
	 */
	add(use: ProofUse, ageMs: number): void {
		let position = 0;
		while (ageMs > bounds[position]!) {
			position++;
		}

		this.#counts[use][position]!++;
	}

	/** Gets the counts so far. */
	getCounts(): readonly ProofAgeCount[] {
		return (['start', 'lease'] as const).flatMap(use => bounds.map((upToMs, position) => ({use, upToMs, count: this.#counts[use][position]!})));
	}
}
