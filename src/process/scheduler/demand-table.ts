/**
 * Demand for slots, as told by and to the other members.
 */
import {type SlotDemand} from './slot-messages.js';

/** What another member wants, as told by it. */
export type ReceivedDemand = {
	readonly member: string;
	/** Slots still wanted. */
	count: number;
	/** Those of them that go before less urgent work of the owner. */
	urgentCount: number;
	/** Rank of its most urgent job, comparable with ranks here. */
	readonly rank: number;
	/** Monotonic time after which the demand has lapsed. */
	readonly validUntil: number;
	readonly isLocal: boolean;
	/** Whether the member has a slot at all. */
	readonly hasSlots: boolean;
};

/** What was last told to a member. */
type SentDemand = {
	readonly sentAt: number;
	count: number;
	urgentCount: number;
	readonly rank: number;
	readonly validUntil: number;
};

/**
 * Demand for slots of one service: what the others told, and what they were told.
 * @internal
 */
export class DemandTable {
	readonly #known = new Map<string, ReceivedDemand>();
	readonly #told = new Map<string, SentDemand>();

	/**
	 * Takes what a member wants.
	 * @param demand - What the member wants.
	 */
	setReceived(demand: ReceivedDemand): void {
		if (demand.count === 0) {
			this.#known.delete(demand.member);
			return;
		}

		this.#known.set(demand.member, demand);
	}

	/**
	 * Gets the demand of a member, if it has not lapsed.
	 * @param member - Member to look up.
	 * @param now - Monotonic time in milliseconds.
	 */
	getReceived(member: string, now: number): ReceivedDemand | undefined {
		const demand = this.#known.get(member);
		return demand && demand.validUntil > now ? demand : undefined;
	}

	/**
	 * Gets the most urgent demand; that of the own data centre goes first.
	 * @param now - Monotonic time in milliseconds.
	 */
	getMostUrgent(now: number): ReceivedDemand | undefined {
		let best: ReceivedDemand | undefined;
		for (const demand of this.#known.values()) {
			if (demand.validUntil <= now) {
				this.#known.delete(demand.member);
				continue;
			}

			if (!best || isBefore(demand, best)) {
				best = demand;
			}
		}

		return best;
	}

	/**
	 * Counts slots that a member got.
	 * @param member - Member that got them.
	 * @param count - Number of slots.
	 */
	countGrantedSlots(member: string, count: number): void {
		const demand = this.#known.get(member);
		if (!demand) {
			return;
		}

		demand.count -= count;
		demand.urgentCount -= count;
		if (demand.count <= 0) {
			this.#known.delete(member);
		}
	}

	/**
	 * Gets what a member was told, if it has not lapsed.
	 * @param member - Member to look up.
	 * @param now - Monotonic time in milliseconds.
	 */
	getSent(member: string, now: number): SentDemand | undefined {
		const told = this.#told.get(member);
		return told && told.validUntil > now && told.count > 0 ? told : undefined;
	}

	/**
	 * Gets the time at which a member was last told a demand.
	 * @param member - Member to look up.
	 */
	getLastSentTime(member: string): number {
		return this.#told.get(member)?.sentAt ?? Number.NEGATIVE_INFINITY;
	}

	/**
	 * Notes what a member is told.
	 * @param member - Member that is told.
	 * @param demand - Demand told.
	 * @param rank - Rank of the most urgent job.
	 * @param now - Monotonic time in milliseconds.
	 */
	setSent(member: string, demand: SlotDemand, rank: number, now: number): void {
		this.#told.set(member, {
			sentAt: now, count: demand.count, urgentCount: demand.urgentCount, rank, validUntil: now + demand.validMs,
		});
	}

	/**
	 * Counts slots that came from a member.
	 * @param member - Member that sent them.
	 * @param count - Number of slots.
	 */
	countReceivedSlots(member: string, count: number): void {
		const told = this.#told.get(member);
		if (told) {
			told.count -= count;
			told.urgentCount -= count;
		}
	}

	/**
	 * Forgets a member that went away.
	 * @param member - Member to forget.
	 */
	removeMember(member: string): void {
		this.#known.delete(member);
		this.#told.delete(member);
	}

	/** Gets the members with an entry. */
	getMembers(): readonly string[] {
		return [...new Set([...this.#known.keys(), ...this.#told.keys()])];
	}
}

function isBefore(a: ReceivedDemand, b: ReceivedDemand): boolean {
	return a.isLocal === b.isLocal ? a.rank < b.rank : a.isLocal;
}
