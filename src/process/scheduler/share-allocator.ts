/**
 * Divides the quota of one team among the members.
 */
import {type TeamShare} from './slot-messages.js';

/** Number of slots and starts per second. */
export type QuotaAmount = Pick<TeamShare, 'slots' | 'startsPerSecond'>;

/** Report of a member about a team to the member that allocates the shares. */
export type ShareReport = {
	/** Number of the team's running and queued tasks on the member. */
	readonly demand: number;
	/** Share that is in effect on the member. */
	readonly share: TeamShare;
};

/** State of one member in the allocator. */
type MemberState = {
	demand: number;
	/** Maximum share that may be in effect on the member. */
	committed: QuotaAmount;
	/** Share that was last sent to the member. */
	assigned: TeamShare;
};

/** Share of a member to which none has been assigned. */
export const emptyShare: TeamShare = {slots: 0, startsPerSecond: 0, number: 0};

/**
 * Allocates shares of one team's quota to the members of a data centre, so that their sum never exceeds the quota: a
 * share grows only by what others have confirmed to have released. The share of an unreachable member stays reserved.
 * @internal
 */
export class ShareAllocator {
	readonly #members = new Map<string, MemberState>();

	/**
	 * Records the report of a member.
	 * @param member - Incarnation ID of the member.
	 * @param report - Its report.
	 */
	addReport(member: string, report: ShareReport): void {
		const previousState = this.#members.get(member);
		const assigned = previousState?.assigned ?? report.share;
		const isConfirmed = report.share.number === assigned.number && report.share.slots <= assigned.slots && report.share.startsPerSecond <= assigned.startsPerSecond;
		this.#members.set(member, {
			demand: report.demand,
			assigned,
			committed: isConfirmed ? assigned : getMaximum(report.share, assigned),
		});
	}

	/**
	 * Returns whether a member has reported.
	 * @param member - Incarnation ID of the member.
	 */
	hasReport(member: string): boolean {
		return this.#members.has(member);
	}

	/**
	 * Removes a departed member and frees its share.
	 * @param member - Incarnation ID of the member.
	 */
	removeMember(member: string): void {
		this.#members.delete(member);
	}

	/** Gets the members that have reported and were not removed. */
	getMembers(): readonly string[] {
		return [...this.#members.keys()];
	}

	/**
	 * Reallocates the quota.
	 * @param quota - Quota for the whole data centre.
	 * @param reachable - Members to which a share can be sent; the others keep theirs.
	 * @returns The changed shares by member.
	 */
	allocate(quota: QuotaAmount, reachable: ReadonlySet<string>): ReadonlyMap<string, TeamShare> {
		const reachableMembers = [...this.#members].filter(([member]) => reachable.has(member));
		const reservedAmounts = [...this.#members].filter(([member]) => !reachable.has(member)).map(([, state]) => state.committed);
		const remaining = subtract(quota, reservedAmounts);
		const slots = divideSlots(remaining.slots, reachableMembers.map(([, state]) => state.demand));
		const totalWeight = reachableMembers.reduce((sum, [, state]) => sum + state.demand + 1, 0);
		const changed = new Map<string, TeamShare>();
		for (const [index, [member, state]] of reachableMembers.entries()) {
			const target = {slots: slots[index]!, startsPerSecond: remaining.startsPerSecond * (state.demand + 1) / totalWeight};
			const share = getMinimum(target, subtract(quota, this.#getCommittedOfOthers(member)));
			if (!isWithinTolerance(share, state.assigned)) {
				state.assigned = {...share, number: state.assigned.number + 1};
				state.committed = getMaximum(state.committed, share);
				changed.set(member, state.assigned);
			}
		}

		return changed;
	}

	/** Returns whether any member has been assigned a share, by this entry VM or another. */
	hasAssignedShare(): boolean {
		return [...this.#members.values()].some(state => state.assigned.number > 0);
	}

	/** Gets the sum of the maximum shares that may be in effect on the members. */
	getCommittedTotal(): QuotaAmount {
		return sumShares([...this.#members.values()].map(state => state.committed));
	}

	#getCommittedOfOthers(member: string): readonly QuotaAmount[] {
		return [...this.#members].filter(([other]) => other !== member).map(([, state]) => state.committed);
	}
}

/**
 * Divides slots by demand: each member gets its demand, or a proportional part if there are too few slots; the rest is
 * divided evenly.
 * @param slots - Number of slots to divide.
 * @param demands - Demand of each member.
 */
export function divideSlots(slots: number, demands: readonly number[]): readonly number[] {
	const total = demands.reduce((sum, demand) => sum + demand, 0);
	const scale = total > slots ? slots / total : 1;
	const shares = demands.map(demand => Math.floor(demand * scale));
	let remaining = slots - shares.reduce((sum, share) => sum + share, 0);
	const evenExtra = Math.floor(remaining / Math.max(demands.length, 1));
	remaining -= evenExtra * demands.length;
	const order = demands.map((_, index) => index).toSorted((a, b) => demands[b]! - demands[a]! || a - b);
	for (const [position, index] of order.entries()) {
		shares[index]! += evenExtra + (position < remaining ? 1 : 0);
	}

	return shares;
}

/** Relative change of a start rate up to which no new share is sent. */
const rateTolerance = 0.1;

function isWithinTolerance(a: QuotaAmount, b: QuotaAmount): boolean {
	const difference = Math.abs(a.startsPerSecond - b.startsPerSecond);
	return a.slots === b.slots && difference <= b.startsPerSecond * rateTolerance;
}

function sumShares(shares: readonly QuotaAmount[]): QuotaAmount {
	return {
		slots: shares.reduce((sum, share) => sum + share.slots, 0),
		startsPerSecond: shares.reduce((sum, share) => sum + share.startsPerSecond, 0),
	};
}

function subtract(quota: QuotaAmount, shares: readonly QuotaAmount[]): QuotaAmount {
	const sum = sumShares(shares);
	return {slots: Math.max(quota.slots - sum.slots, 0), startsPerSecond: Math.max(quota.startsPerSecond - sum.startsPerSecond, 0)};
}

function getMaximum(a: QuotaAmount, b: QuotaAmount): QuotaAmount {
	return {slots: Math.max(a.slots, b.slots), startsPerSecond: Math.max(a.startsPerSecond, b.startsPerSecond)};
}

function getMinimum(a: QuotaAmount, b: QuotaAmount): QuotaAmount {
	return {slots: Math.min(a.slots, b.slots), startsPerSecond: Math.min(a.startsPerSecond, b.startsPerSecond)};
}
