/**
 * Quota of one team on one entry VM.
 */
import {type Team} from '../../version/index.js';
import {emptyShare, type QuotaAmount} from './share-allocator.js';
import {type TeamShare} from './slot-messages.js';

/** Slots or starts per second of a team without a limit; finite, because messages cannot carry infinity. */
export const unlimitedAmount = 1e9;

/**
 * Enforces a team's share of its quota on this entry VM: a limit of running tasks, and a token bucket of starts.
 * @internal
 */
export class TeamQuota {
	#team: Team;
	#share: TeamShare = emptyShare;
	#runningTaskCount = 0;
	#queuedTaskCount = 0;
	#tokens = 0;
	#refilledAt: number;

	constructor(team: Team, now: number) {
		this.#team = team;
		this.#refilledAt = now;
	}

	/** Gets the quota for the whole data centre. */
	getQuota(): QuotaAmount {
		return {slots: this.#team.maxSlots ?? unlimitedAmount, startsPerSecond: this.#team.startsPerSecond ?? unlimitedAmount};
	}

	/** Returns whether the team has a limit of slots or starts per second. */
	isLimited(): boolean {
		return this.#team.maxSlots !== undefined || this.#team.startsPerSecond !== undefined;
	}

	/** Gets the share of this entry VM. */
	getShare(): TeamShare {
		return this.#share;
	}

	/** Gets the number of running tasks. */
	getRunningTaskCount(): number {
		return this.#runningTaskCount;
	}

	/** Gets the number of running and queued tasks. */
	getDemand(): number {
		return this.#runningTaskCount + this.#queuedTaskCount;
	}

	/** Gets the weight of the team in the round robin. */
	getWeight(): number {
		return this.#team.weight;
	}

	/** Gets the share in use: running tasks in excess of the assigned slots count until they end. */
	getEffectiveShare(): TeamShare {
		return {...this.#share, slots: Math.max(this.#share.slots, this.#runningTaskCount)};
	}

	/**
	 * Replaces the declaration of the team.
	 * @param team - New declaration.
	 */
	setTeam(team: Team): void {
		this.#team = team;
	}

	/**
	 * Replaces the share; the first one fills the token bucket with its part of the burst.
	 * @param share - New share.
	 * @param now - Monotonic time in milliseconds.
	 */
	setShare(share: TeamShare, now: number): void {
		const isFirst = this.#share.startsPerSecond === 0;
		this.#refill(now);
		this.#share = share;
		this.#tokens = isFirst ? this.#getBurst() : Math.min(this.#tokens, this.#getBurst());
	}

	/**
	 * Returns whether a task may start.
	 * @param now - Monotonic time in milliseconds.
	 */
	mayStart(now: number): boolean {
		this.#refill(now);
		return this.#runningTaskCount < this.#share.slots && this.#tokens >= 1;
	}

	/** Gets the time until the start rate permits the next task, in milliseconds; 0 when it does so immediately. */
	getTokenWaitMs(): number {
		return this.#tokens >= 1 ? 0 : (1 - this.#tokens) * 1000 / Math.max(this.#share.startsPerSecond, Number.EPSILON);
	}

	/** Counts the start of a task. */
	addStart(): void {
		this.#runningTaskCount++;
		this.#tokens--;
	}

	/** Counts the end of a task. */
	addEnd(): void {
		this.#runningTaskCount--;
	}

	/**
	 * Changes the number of queued tasks.
	 * @param count - Number of tasks added; negative when tasks leave the queue.
	 */
	addQueuedTasks(count: number): void {
		this.#queuedTaskCount += count;
	}

	/**
	 * Gets the time until further tasks may start, by the share or an even part of the quota, whichever is larger.
	 * @param taskCount - Number of further tasks.
	 * @param taskMs - Expected duration of a task in milliseconds.
	 * @param memberCount - Number of entry VMs in the data centre.
	 * @returns The time in milliseconds; infinite when the quota is zero.
	 */
	getWaitMs(taskCount: number, taskMs: number, memberCount: number): number {
		const quota = this.getQuota();
		if (quota.slots === 0 || quota.startsPerSecond === 0) {
			return Number.POSITIVE_INFINITY;
		}

		const slots = Math.max(this.#share.slots, quota.slots / memberCount);
		const rate = Math.max(this.#share.startsPerSecond, quota.startsPerSecond / memberCount);
		const waitingTasks = this.#queuedTaskCount + taskCount;
		const slotWaitMs = Math.max(waitingTasks + this.#runningTaskCount - slots, 0) * taskMs / slots;
		const tokens = Math.max(this.#tokens, 0);
		return Math.max(slotWaitMs, Math.max(waitingTasks - tokens, 0) * 1000 / rate);
	}

	#refill(now: number): void {
		const earned = (now - this.#refilledAt) * this.#share.startsPerSecond / 1000;
		this.#tokens = Math.min(this.#tokens + earned, this.#getBurst());
		this.#refilledAt = now;
	}

	#getBurst(): number {
		const fraction = this.#share.startsPerSecond / Math.max(this.getQuota().startsPerSecond, Number.EPSILON);
		return Math.max(this.#team.burst * fraction, this.#share.startsPerSecond > 0 ? 1 : 0);
	}
}
