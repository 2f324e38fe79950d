/**
 * Division of the quota of one team among the members.
 */
import {type TeamShare} from './slot-messages.js';

/** Slots and starts a second of a team, over some members. */
export type QuotaAmount = Pick<TeamShare, 'slots' | 'startsPerSecond'>;

/** What a member reports about a team to the member that allots the shares. */
export type ShareReport = {
	/** Tasks of the team that run or wait at the member. */
	readonly demand: number;
	/** Share that the member keeps to now. */
	readonly share: TeamShare;
};

/** State of one member at the allotter. */
type MemberState = {
	demand: number;
	/** Most that the member may believe to be its share. */
	committed: QuotaAmount;
	/** What the member was told last. */
	told: TeamShare;
};

/** The share of a member that was told none. */
export const emptyShare: TeamShare = {slots: 0, startsPerSecond: 0, number: 0};

/**
 * Allots the shares of one team's quota to the members of a data centre, so that they never sum up to more than the
 * quota: a share grows only by what others have confirmed to have given up. A member that is cut off keeps its share.
 * @internal
 */
export class ShareAllocator {
	readonly #members = new Map<string, MemberState>();

	/**
	 * Takes what a member reports.
	 * @param member - Member that reports.
	 * @param report - What it reports.
	 */
	addReport(member: string, report: ShareReport): void {
		const known = this.#members.get(member);
		const told = known?.told ?? report.share;
		const isConfirmed = report.share.number === told.number && report.share.slots <= told.slots && report.share.startsPerSecond <= told.startsPerSecond;
		this.#members.set(member, {
			demand: report.demand,
			told,
			committed: isConfirmed ? told : getLarger(report.share, told),
		});
	}

	/**
	 * Tells whether a member has reported.
	 * @param member - Member to look up.
	 */
	hasReport(member: string): boolean {
		return this.#members.has(member);
	}

	/**
	 * Forgets a member that is gone for good, with its share.
	 * @param member - Member to forget.
	 */
	removeMember(member: string): void {
		this.#members.delete(member);
	}

	/** Gets the members whose shares are counted. */
	getMembers(): readonly string[] {
		return [...this.#members.keys()];
	}

	/**
	 * Allots the quota anew; gets the shares that changed.
	 * @param quota - Quota over the whole data centre.
	 * @param reachable - Members that can be told a share; the others keep theirs.
	 */
	allocate(quota: QuotaAmount, reachable: ReadonlySet<string>): ReadonlyMap<string, TeamShare> {
		const open = [...this.#members].filter(([member]) => reachable.has(member));
		const kept = [...this.#members].filter(([member]) => !reachable.has(member)).map(([, state]) => state.committed);
		const rest = subtract(quota, kept);
		const slots = divideSlots(rest.slots, open.map(([, state]) => state.demand));
		const total = open.reduce((sum, [, state]) => sum + state.demand + 1, 0);
		const changed = new Map<string, TeamShare>();
		for (const [index, [member, state]] of open.entries()) {
			const target = {slots: slots[index]!, startsPerSecond: rest.startsPerSecond * (state.demand + 1) / total};
			const share = getSmaller(target, subtract(quota, this.#getOthers(member)));
			if (!isEqual(share, state.told)) {
				state.told = {...share, number: state.told.number + 1};
				state.committed = getLarger(state.committed, share);
				changed.set(member, state.told);
			}
		}

		return changed;
	}

	/** Tells whether some member was told a share before, by this entry VM or another. */
	hasAssignedShare(): boolean {
		return [...this.#members.values()].some(state => state.told.number > 0);
	}

	/** Gets the sum of what the members may believe to be their shares. */
	getCommittedTotal(): QuotaAmount {
		return sumShares([...this.#members.values()].map(state => state.committed));
	}

	#getOthers(member: string): readonly QuotaAmount[] {
		return [...this.#members].filter(([other]) => other !== member).map(([, state]) => state.committed);
	}
}

/**
 * Divides slots by demand: first as wanted or in proportion, then what is left evenly.
 * @param slots - Slots to divide.
 * @param demands - Demand of each member.
 */
export function divideSlots(slots: number, demands: readonly number[]): readonly number[] {
	const total = demands.reduce((sum, demand) => sum + demand, 0);
	const scale = total > slots ? slots / total : 1;
	const parts = demands.map(demand => Math.floor(demand * scale));
	let rest = slots - parts.reduce((sum, part) => sum + part, 0);
	const spare = Math.floor(rest / Math.max(demands.length, 1));
	rest -= spare * demands.length;
	const order = demands.map((_, index) => index).toSorted((a, b) => demands[b]! - demands[a]! || a - b);
	for (const [position, index] of order.entries()) {
		parts[index]! += spare + (position < rest ? 1 : 0);
	}

	return parts;
}

/** Least change of a rate that is told, as a part of it. */
const rateTolerance = 0.1;

function isEqual(a: QuotaAmount, b: QuotaAmount): boolean {
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

function getLarger(a: QuotaAmount, b: QuotaAmount): QuotaAmount {
	return {slots: Math.max(a.slots, b.slots), startsPerSecond: Math.max(a.startsPerSecond, b.startsPerSecond)};
}

function getSmaller(a: QuotaAmount, b: QuotaAmount): QuotaAmount {
	return {slots: Math.min(a.slots, b.slots), startsPerSecond: Math.min(a.startsPerSecond, b.startsPerSecond)};
}
