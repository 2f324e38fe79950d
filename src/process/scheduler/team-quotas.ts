/**
 * Quotas of the teams at one entry VM.
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
	/** Called when tasks that were held back may start. */
	readonly onChange: () => void;
};

/** Time between two looks at the demand of the teams, in milliseconds. */
const reportMs = 500;

/** Time after which an unchanged demand is reported again, in milliseconds. */
const repeatMs = 5000;

/** Change of the demand that is reported before that, as a part of it. */
const reportTolerance = 0.25;

/** Least delay of a timer, in milliseconds. */
const minDelayMs = 1;

/** What was last reported of a team. */
type Reported = {
	readonly at: number;
	readonly to: string;
	readonly demand: number;
	readonly slots: number;
};

/**
 * Quotas of the teams: keeps each to its share here, and allots the shares of the teams that fall to this entry VM.
 * @internal
 */
export class TeamQuotas implements TeamLimits {
	readonly #options: TeamQuotasOptions;
	readonly #context: SchedulerContext;
	readonly #quotas = new Map<string, TeamQuota>();
	readonly #allotment: QuotaAllocator;
	readonly #reported = new Map<string, Reported>();
	readonly #timer: Timer;
	#wakeTimer: Timer | undefined;
	#view: MemberView;

	constructor(options: TeamQuotasOptions, view: MemberView) {
		this.#options = options;
		this.#context = options.context;
		this.#view = view;
		this.#allotment = new QuotaAllocator(this.#context, view);
		this.#timer = this.#context.clock.setRepeatingTimer(() => {
			this.#exchange();
		}, reportMs);
	}

	/**
	 * Takes the teams of a configuration; those without a limit are not counted.
	 * @param teams - Declared teams.
	 */
	setTeams(teams: Readonly<Record<string, Team>>): void {
		const now = this.#context.clock.getMonotonicTime();
		for (const name of this.#quotas.keys()) {
			if (!teams[name]) {
				this.#quotas.delete(name);
				this.#allotment.removeTeam(name);
			}
		}

		for (const [name, team] of Object.entries(teams)) {
			const known = this.#quotas.get(name);
			if (known) {
				known.setTeam(team);
			} else {
				this.#quotas.set(name, new TeamQuota(team, now));
			}
		}

		this.#exchange();
	}

	/**
	 * Takes a new view of the members.
	 * @param view - New view.
	 */
	setMembers(view: MemberView): void {
		this.#view = view;
		this.#allotment.setMembers(view);
		this.#exchange();
	}

	/**
	 * Takes what another member says about a team.
	 * @param update - What it says.
	 * @param from - The member.
	 */
	handleUpdate(update: TeamUpdate, from: string): void {
		const quota = this.#quotas.get(update.team);
		if (!quota) {
			return;
		}

		if (update.report) {
			this.#allotment.addReport(update.team, from, update.report);
			this.#allot(update.team, quota);
		}

		if (update.share && this.#getAllottingMember(update.team) === from) {
			this.#setShare(update.team, quota, update.share);
		}
	}

	getWeight(team: string): number {
		return this.#quotas.get(team)?.getWeight() ?? 1;
	}

	mayStart(team: string): boolean {
		const quota = this.#getLimited(team);
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
		const wasFull = quota !== undefined && quota.getRunning() >= quota.getShare().slots;
		quota?.addEnd();
		if (wasFull && this.#getLimited(team)) {
			this.#options.onChange();
		}
	}

	addQueued(team: string, count: number): void {
		const quota = this.#quotas.get(team);
		quota?.addQueued(count);
		if (quota && count > 0 && quota.getDemand() === count && this.#getLimited(team)) {
			this.#report(team, quota);
		}
	}

	getWaitMs(team: string, taskCount: number, taskMs: number): number {
		return this.#getLimited(team)?.getWaitMs(taskCount, taskMs, this.#getOwners().length) ?? 0;
	}

	/** Gets the state for operators. */
	getStatus(): SchedulerStatus['teams'] {
		return [...this.#quotas].map(([team, quota]) => {
			const share = this.#getLimited(team) ? quota.getShare() : quota.getQuota();
			return {
				team, running: quota.getRunning(), share: share.slots, startsPerSecondShare: share.startsPerSecond,
			};
		});
	}

	/** Stops the timers. */
	close(): void {
		this.#timer.close();
		this.#wakeTimer?.close();
	}

	#getLimited(team: string): TeamQuota | undefined {
		const quota = this.#quotas.get(team);
		return quota?.isLimited() ? quota : undefined;
	}

	#exchange(): void {
		this.#allotment.removeDepartedMembers();
		for (const [team, quota] of this.#quotas) {
			if (this.#getLimited(team) && this.#isReportDue(team, quota)) {
				this.#report(team, quota);
			}
		}
	}

	#isReportDue(team: string, quota: TeamQuota): boolean {
		const last = this.#reported.get(team);
		const to = this.#getAllottingMember(team);
		if (this.#isAllottedHere(team) || last?.to !== to || last.slots !== quota.getEffectiveShare().slots) {
			return true;
		}

		const now = this.#context.clock.getMonotonicTime();
		const change = Math.abs(quota.getDemand() - last.demand);
		return change > last.demand * reportTolerance || now - last.at >= repeatMs;
	}

	#report(team: string, quota: TeamQuota): void {
		const to = this.#getAllottingMember(team);
		const report = {demand: quota.getDemand(), share: quota.getEffectiveShare()};
		this.#reported.set(team, {
			at: this.#context.clock.getMonotonicTime(), to, demand: report.demand, slots: report.share.slots,
		});
		if (to !== this.#context.self.id) {
			this.#context.getOutbox(to)?.addTeamUpdate({team, report});
			return;
		}

		this.#allotment.addReport(team, to, report);
		this.#allot(team, quota);
	}

	#allot(team: string, quota: TeamQuota): void {
		if (!this.#isAllottedHere(team)) {
			this.#allotment.removeTeam(team);
			return;
		}

		for (const [member, share] of this.#allotment.allocate(team, quota.getQuota())) {
			if (member === this.#context.self.id) {
				this.#setShare(team, quota, share);
			} else {
				this.#context.getOutbox(member)?.addTeamUpdate({team, share});
			}
		}
	}

	#setShare(team: string, quota: TeamQuota, share: TeamShare): void {
		quota.setShare(share, this.#context.clock.getMonotonicTime());
		this.#report(team, quota);
		this.#options.onChange();
	}

	#isAllottedHere(team: string): boolean {
		return this.#getAllottingMember(team) === this.#context.self.id;
	}

	#getAllottingMember(team: string): string {
		return getOwner(team, this.#getOwners()) ?? this.#context.self.id;
	}

	#getOwners(): readonly string[] {
		return this.#view.owners.get(this.#context.self.dataCenter) ?? [this.#context.self.id];
	}
}
