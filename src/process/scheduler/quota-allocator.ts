/**
 * Allocates shares of the quotas of those teams that this entry VM owns.
 */
import {type MemberView} from './member-view.js';
import {type SchedulerContext} from './scheduler-context.js';
import {ShareAllocator, type ShareReport, type QuotaAmount} from './share-allocator.js';
import {type TeamShare} from './slot-messages.js';

/** Maximum wait for the reports of all members before shares are allocated, in milliseconds. */
const maxReportWaitMs = 1000;

/** Time for which the share of a member that is no longer listed stays reserved, in milliseconds. */
const departedShareMs = 30_000;

/** Allocation of one team's quota. */
type TeamAllocation = {
	/** Monotonic time of the first report, in milliseconds. */
	readonly firstReportAt: number;
	readonly shareAllocator: ShareAllocator;
};

/**
 * Divides the quotas of teams among the entry VMs of the data centre by their reported demand.
 * @internal
 */
export class QuotaAllocator {
	readonly #context: SchedulerContext;
	readonly #allocations = new Map<string, TeamAllocation>();
	readonly #departedSince = new Map<string, number>();
	#view: MemberView;

	constructor(context: SchedulerContext, view: MemberView) {
		this.#context = context;
		this.#view = view;
	}

	/**
	 * Replaces the view of the membership.
	 * @param view - New view.
	 */
	setMembers(view: MemberView): void {
		this.#view = view;
	}

	/**
	 * Records a member's demand and effective share of a team.
	 * @param team - Name of the team.
	 * @param member - Incarnation ID of the member.
	 * @param report - Its report.
	 */
	addReport(team: string, member: string, report: ShareReport): void {
		this.#getAllocation(team).shareAllocator.addReport(member, report);
	}

	/**
	 * Removes a team that is no longer declared, or that is now owned by another member.
	 * @param team - Name of the team.
	 */
	removeTeam(team: string): void {
		this.#allocations.delete(team);
	}

	/**
	 * Allocates a team's quota.
	 * @param team - Name of the team.
	 * @param quota - Its quota for the whole data centre.
	 * @returns The changed shares by member; empty while reports are awaited.
	 */
	allocate(team: string, quota: QuotaAmount): ReadonlyMap<string, TeamShare> {
		const {shareAllocator, firstReportAt} = this.#getAllocation(team);
		const isComplete = this.#getLocalMembers().every(member => shareAllocator.hasReport(member));
		if (!isComplete && this.#context.clock.getMonotonicTime() - firstReportAt < maxReportWaitMs) {
			return new Map();
		}

		const reachable = new Set([this.#context.self.id, ...this.#view.up]);
		const amount = isComplete ? quota : this.#getUnreservedAmount(quota, shareAllocator);
		return shareAllocator.allocate(amount, reachable);
	}

	/** Frees the shares of members that have not been listed for long enough that their tasks have ended. */
	removeDepartedMembers(): void {
		const now = this.#context.clock.getMonotonicTime();
		for (const {shareAllocator} of this.#allocations.values()) {
			for (const member of shareAllocator.getMembers()) {
				if (this.#view.dataCenters.has(member)) {
					this.#departedSince.delete(member);
					continue;
				}

				const since = this.#departedSince.get(member) ?? now;
				this.#departedSince.set(member, since);
				if (now - since >= departedShareMs) {
					shareAllocator.removeMember(member);
				}
			}
		}
	}

	/**
	 * Gets the amount of a quota that members without a report cannot have in use: the total committed to the members
	 * that have reported or, if no share has been assigned yet, their even part.
	 */
	#getUnreservedAmount(quota: QuotaAmount, shareAllocator: ShareAllocator): QuotaAmount {
		if (shareAllocator.hasAssignedShare()) {
			return shareAllocator.getCommittedTotal();
		}

		const members = this.#getLocalMembers();
		const fraction = members.filter(member => shareAllocator.hasReport(member)).length / members.length;
		return {slots: Math.floor(quota.slots * fraction), startsPerSecond: quota.startsPerSecond * fraction};
	}

	#getAllocation(team: string): TeamAllocation {
		const existing = this.#allocations.get(team);
		if (existing) {
			return existing;
		}

		const created = {firstReportAt: this.#context.clock.getMonotonicTime(), shareAllocator: new ShareAllocator()};
		this.#allocations.set(team, created);
		return created;
	}

	#getLocalMembers(): readonly string[] {
		return [...this.#view.dataCenters].filter(([, dataCenter]) => dataCenter === this.#context.self.dataCenter).map(([member]) => member);
	}
}
