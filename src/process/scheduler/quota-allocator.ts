/**
 * Allotment of the shares of the teams that fall to this entry VM.
 */
import {type MemberView} from './member-view.js';
import {type SchedulerContext} from './scheduler-context.js';
import {ShareAllocator, type ShareReport, type QuotaAmount} from './share-allocator.js';
import {type TeamShare} from './slot-messages.js';

/** Longest wait for the reports of the other members before shares are allotted, in milliseconds. */
const reportWaitMs = 1000;

/** Time after which the share of a member is free that is no longer listed, in milliseconds. */
const absentMs = 30_000;

/** Shares of one team. */
type TeamAllotter = {
	/** Monotonic time of the first report in milliseconds. */
	readonly since: number;
	readonly shares: ShareAllocator;
};

/**
 * Divides the quotas of teams among the entry VMs of the data centre by their reports.
 * @internal
 */
export class QuotaAllocator {
	readonly #context: SchedulerContext;
	readonly #allotters = new Map<string, TeamAllotter>();
	readonly #absentSince = new Map<string, number>();
	#view: MemberView;

	constructor(context: SchedulerContext, view: MemberView) {
		this.#context = context;
		this.#view = view;
	}

	/**
	 * Takes a new view of the members.
	 * @param view - New view.
	 */
	setMembers(view: MemberView): void {
		this.#view = view;
	}

	/**
	 * Takes the demand of a team at a member.
	 * @param team - Name of the team.
	 * @param member - Member that reports.
	 * @param report - Its report.
	 */
	addReport(team: string, member: string, report: ShareReport): void {
		this.#getAllotter(team).shares.addReport(member, report);
	}

	/**
	 * Forgets a team that is no longer declared, or whose shares another member allots.
	 * @param team - Name of the team.
	 */
	removeTeam(team: string): void {
		this.#allotters.delete(team);
	}

	/**
	 * Gets the shares to tell, by member; none while reports are awaited.
	 * @param team - Name of the team.
	 * @param quota - Its quota over the whole data centre.
	 */
	allocate(team: string, quota: QuotaAmount): ReadonlyMap<string, TeamShare> {
		const {shares, since} = this.#getAllotter(team);
		const isComplete = this.#getLocalMembers().every(member => shares.hasReport(member));
		if (!isComplete && this.#context.clock.getMonotonicTime() - since < reportWaitMs) {
			return new Map();
		}

		const reachable = new Set([this.#context.self.id, ...this.#view.up]);
		const amount = isComplete ? quota : this.#getKnownPart(quota, shares);
		return shares.allocate(amount, reachable);
	}

	/** Frees the shares of members that are no longer listed, once their tasks have ended. */
	removeDepartedMembers(): void {
		const now = this.#context.clock.getMonotonicTime();
		for (const {shares} of this.#allotters.values()) {
			for (const member of shares.getMembers()) {
				if (this.#view.dataCenters.has(member)) {
					this.#absentSince.delete(member);
					continue;
				}

				const since = this.#absentSince.get(member) ?? now;
				this.#absentSince.set(member, since);
				if (now - since >= absentMs) {
					shares.removeMember(member);
				}
			}
		}
	}

	/**
	 * Gets the part of a quota that is surely not in use at members that have not reported: what the others had, or,
	 * when none was told a share yet, their even part.
	 */
	#getKnownPart(quota: QuotaAmount, shares: ShareAllocator): QuotaAmount {
		if (shares.hasAssignedShare()) {
			return shares.getCommittedTotal();
		}

		const members = this.#getLocalMembers();
		const part = members.filter(member => shares.hasReport(member)).length / members.length;
		return {slots: Math.floor(quota.slots * part), startsPerSecond: quota.startsPerSecond * part};
	}

	#getAllotter(team: string): TeamAllotter {
		const known = this.#allotters.get(team);
		if (known) {
			return known;
		}

		const created = {since: this.#context.clock.getMonotonicTime(), shares: new ShareAllocator()};
		this.#allotters.set(team, created);
		return created;
	}

	#getLocalMembers(): readonly string[] {
		return [...this.#view.dataCenters].filter(([, dataCenter]) => dataCenter === this.#context.self.dataCenter).map(([member]) => member);
	}
}
