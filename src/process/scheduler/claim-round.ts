/**
 * Collection of the lease claims of other members.
 */
import {type Clock, type Timer} from '../../seams/index.js';

/** Maximum wait for the claims of the members, in milliseconds. */
const claimTimeoutMs = 500;

/**
 * Waits until the other members have sent claims for their leases of upstreams with a new owner.
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

	/** Gets the number of the latest round; 0 before the first one. */
	getNumber(): number {
		return this.#number;
	}

	/**
	 * Starts a round, which replaces one in progress.
	 * @param members - Members whose claims are requested.
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
		}, claimTimeoutMs);
		this.#endWhenComplete();
	}

	/**
	 * Records the answer of a member; an answer to an earlier round is ignored.
	 * @param member - Member that answered.
	 * @param round - Number of the round that it answered.
	 */
	addAnswer(member: string, round: number): void {
		if (round === this.#number) {
			this.#awaited.delete(member);
			this.#endWhenComplete();
		}
	}

	/**
	 * Stops waiting for members that are not up.
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

	/** Stops the timer. */
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
