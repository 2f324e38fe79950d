/**
 * Collection of the answers of members that were asked for the leases they hold.
 */
import {type Clock, type Timer} from '../../seams/index.js';

/** Longest wait for the answers of the members, in milliseconds. */
const claimWaitMs = 500;

/**
 * Waits until the other members have told the leases that they hold of upstreams with a new owner.
 * @internal
 */
export class ClaimRound {
	readonly #clock: Clock;
	readonly #onEnd: () => void;
	readonly #awaited = new Set<string>();
	#number = 0;
	#timer: Timer | undefined;

	constructor(clock: Clock, onEnd: () => void) {
		this.#clock = clock;
		this.#onEnd = onEnd;
	}

	/** Gets the number of the last round. */
	getNumber(): number {
		return this.#number;
	}

	/**
	 * Starts a round, in place of one under way.
	 * @param members - Members that are asked.
	 */
	start(members: readonly string[]): void {
		this.#number++;
		for (const member of members) {
			this.#awaited.add(member);
		}

		this.#timer?.close();
		this.#timer = this.#clock.setTimer(() => {
			this.#awaited.clear();
			this.#endWhenComplete();
		}, claimWaitMs);
		this.#endWhenComplete();
	}

	/**
	 * Takes the answer of a member.
	 * @param member - Member that answered.
	 * @param round - Round that it answered.
	 */
	addAnswer(member: string, round: number): void {
		if (round === this.#number) {
			this.#awaited.delete(member);
			this.#endWhenComplete();
		}
	}

	/**
	 * Ceases to wait for members that are not up.
	 * @param up - Members that are up.
	 */
	keepOnly(up: ReadonlySet<string>): void {
		for (const member of this.#awaited) {
			if (!up.has(member)) {
				this.#awaited.delete(member);
			}
		}

		this.#endWhenComplete();
	}

	/** Stops to wait. */
	close(): void {
		this.#timer?.close();
		this.#timer = undefined;
	}

	#endWhenComplete(): void {
		if (this.#awaited.size === 0 && this.#timer) {
			this.close();
			this.#onEnd();
		}
	}
}
