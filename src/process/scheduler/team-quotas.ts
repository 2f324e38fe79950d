/**
 * Quotas of the teams on one entry VM.
 */
import {type Timer} from '../../seams/index.js';
import {type Team} from '../../version/index.js';
import {type SchedulerStatus} from '../task-scheduler.js';
import {type MemberView} from './member-view.js';
import {getOwner} from './owner-choice.js';
import {QuotaAllocator} from './quota-allocator.js';
import {type SchedulerContext} from './scheduler-context.js';
import {type TeamShare, type TeamUpdate} from './slot-messages.js';
import {type TeamLimits} from './team-limits.js';
import {TeamQuota} from './team-quota.js';

/** Options of {@link TeamQuotas}. */
export type TeamQuotasOptions = {
	readonly context: SchedulerContext;
	/** Called when tasks that the quotas deferred may start. */
	readonly onChange: () => void;
};

/** Interval at which the demand of the teams is checked, in milliseconds. */
const reportCheckIntervalMs = 500;

/** Interval at which an unchanged demand is reported again, in milliseconds. */
const reportRefreshMs = 5000;

/** Relative change of the demand that is reported at the next check. */
const demandChangeThreshold = 0.25;

/** Minimum delay of a timer, in milliseconds. */
const minDelayMs = 1;

/** Last report of a team's demand. */
type LastReport = {
	readonly sentAt: number;
	readonly owner: string;
	readonly demand: number;
	readonly slots: number;
};

/**
 * Enforces the teams' shares on this entry VM, and allocates the shares of those teams of which it is the owner.
 * @internal
 */
export class TeamQuotas implements TeamLimits {
	readonly #options: TeamQuotasOptions;
	readonly #context: SchedulerContext;
	readonly #quotas = new Map<string, TeamQuota>();
	readonly #quotaAllocator: QuotaAllocator;
	readonly #lastReports = new Map<string, LastReport>();
	readonly #reportTimer: Timer;
	#wakeTimer: Timer | undefined;
	#view: MemberView;

	constructor(options: TeamQuotasOptions, view: MemberView) {
		this.#options = options;
		this.#context = options.context;
		this.#view = view;
		this.#quotaAllocator = new QuotaAllocator(this.#context, view);
		this.#reportTimer = this.#context.clock.setRepeatingTimer(() => {
			this.#sendDueReports();
		}, reportCheckIntervalMs);
	}

	/**
	 * Replaces the declared teams. Teams without a limit are not reported to other members.
	 * @param teams - Declared teams.
	 */
	setTeams(teams: Readonly<Record<string, Team>>): void {
		const now = this.#context.clock.getMonotonicTime();
		for (const name of this.#quotas.keys()) {
			if (!teams[name]) {
				this.#quotas.delete(name);
				this.#quotaAllocator.removeTeam(name);
			}
		}

		for (const [name, team] of Object.entries(teams)) {
			const existing = this.#quotas.get(name);
			if (existing) {
				existing.setTeam(team);
			} else {
				this.#quotas.set(name, new TeamQuota(team, now));
			}
		}

		this.#sendDueReports();
	}

	/**
	 * Replaces the view of the membership.
	 * @param view - New view.
	 */
	setMembers(view: MemberView): void {
		this.#view = view;
		this.#quotaAllocator.setMembers(view);
		this.#sendDueReports();
	}

	/**
	 * Handles an update about a team from another member. A share is accepted only from the owner of the team.
	 * @param update - Report or share.
	 * @param from - Incarnation ID of the sender.
	 */
	handleUpdate(update: TeamUpdate, from: string): void {
		const quota = this.#quotas.get(update.team);
		if (!quota) {
			return;
		}

		if (update.report) {
			this.#quotaAllocator.addReport(update.team, from, update.report);
			this.#allocate(update.team, quota);
		}

		if (update.share && this.#getTeamOwner(update.team) === from) {
			this.#setShare(update.team, quota, update.share);
		}
	}

	getWeight(team: string): number {
		return this.#quotas.get(team)?.getWeight() ?? 1;
	}

	mayStart(team: string): boolean {
		const quota = this.#getLimitedQuota(team);
		if (!quota || quota.mayStart(this.#context.clock.getMonotonicTime())) {
			return true;
		}

		const waitMs = quota.getTokenWaitMs();
		if (waitMs > 0 && quota.getShare().startsPerSecond > 0) {
			this.#wakeTimer ??= this.#context.clock.setTimer(() => {
				this.#wakeTimer = undefined;
				this.#options.onChange();
			}, Math.max(waitMs, minDelayMs));
		}

		return false;
	}

	addStart(team: string): void {
		this.#quotas.get(team)?.addStart();
	}

	addEnd(team: string): void {
		const quota = this.#quotas.get(team);
		const wasFull = quota !== undefined && quota.getRunningTaskCount() >= quota.getShare().slots;
		quota?.addEnd();
		if (wasFull && this.#getLimitedQuota(team)) {
			this.#options.onChange();
		}
	}

	addQueuedTasks(team: string, count: number): void {
		const quota = this.#quotas.get(team);
		quota?.addQueuedTasks(count);
		if (quota && count > 0 && quota.getDemand() === count && this.#getLimitedQuota(team)) {
			this.#sendReport(team, quota);
		}
	}

	getWaitMs(team: string, taskCount: number, taskMs: number): number {
		return this.#getLimitedQuota(team)?.getWaitMs(taskCount, taskMs, this.#getOwners().length) ?? 0;
	}

	/** Gets the status of the teams for operators. */
	getStatus(): SchedulerStatus['teams'] {
		return [...this.#quotas].map(([team, quota]) => {
			const share = this.#getLimitedQuota(team) ? quota.getShare() : quota.getQuota();
			return {
				team, running: quota.getRunningTaskCount(), share: share.slots, startsPerSecondShare: share.startsPerSecond,
			};
		});
	}

	/** Stops the timers. */
	close(): void {
		this.#reportTimer.close();
		this.#wakeTimer?.close();
	}

	#getLimitedQuota(team: string): TeamQuota | undefined {
		const quota = this.#quotas.get(team);
		return quota?.isLimited() ? quota : undefined;
	}

	#sendDueReports(): void {
		this.#quotaAllocator.removeDepartedMembers();
		for (const [team, quota] of this.#quotas) {
			if (this.#getLimitedQuota(team) && this.#isReportDue(team, quota)) {
				this.#sendReport(team, quota);
			}
		}
	}

	#isReportDue(team: string, quota: TeamQuota): boolean {
		const lastReport = this.#lastReports.get(team);
		const owner = this.#getTeamOwner(team);
		if (this.#isTeamOwner(team) || lastReport?.owner !== owner || lastReport.slots !== quota.getEffectiveShare().slots) {
			return true;
		}

		const now = this.#context.clock.getMonotonicTime();
		const change = Math.abs(quota.getDemand() - lastReport.demand);
		return change > lastReport.demand * demandChangeThreshold || now - lastReport.sentAt >= reportRefreshMs;
	}

	#sendReport(team: string, quota: TeamQuota): void {
		const owner = this.#getTeamOwner(team);
		const report = {demand: quota.getDemand(), share: quota.getEffectiveShare()};
		this.#lastReports.set(team, {
			sentAt: this.#context.clock.getMonotonicTime(), owner, demand: report.demand, slots: report.share.slots,
		});
		if (owner !== this.#context.self.id) {
			this.#context.getOutbox(owner)?.addTeamUpdate({team, report});
			return;
		}

		this.#quotaAllocator.addReport(team, owner, report);
		this.#allocate(team, quota);
	}

	#allocate(team: string, quota: TeamQuota): void {
		if (!this.#isTeamOwner(team)) {
			this.#quotaAllocator.removeTeam(team);
			return;
		}

		for (const [member, share] of this.#quotaAllocator.allocate(team, quota.getQuota())) {
			if (member === this.#context.self.id) {
				this.#setShare(team, quota, share);
			} else {
				this.#context.getOutbox(member)?.addTeamUpdate({team, share});
			}
		}
	}

	#setShare(team: string, quota: TeamQuota, share: TeamShare): void {
		quota.setShare(share, this.#context.clock.getMonotonicTime());
		this.#sendReport(team, quota);
		this.#options.onChange();
	}

	#isTeamOwner(team: string): boolean {
		return this.#getTeamOwner(team) === this.#context.self.id;
	}

	#getTeamOwner(team: string): string {
		return getOwner(team, this.#getOwners()) ?? this.#context.self.id;
	}

	#getOwners(): readonly string[] {
		return this.#view.owners.get(this.#context.self.dataCenter) ?? [this.#context.self.id];
	}
}
