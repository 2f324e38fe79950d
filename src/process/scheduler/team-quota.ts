/**
 * Quota of one team at one entry VM.
 */
import {type Team} from '../../version/index.js';
import {emptyShare, type QuotaAmount} from './share-allocator.js';
import {type TeamShare} from './slot-messages.js';

/** Slots or starts of a team without a limit, as a number that messages can carry. */
export const unlimited = 1e9;

/**
 * Keeps one team to its share of the quota at this entry VM.
 * @internal
 */
export class TeamQuota {
	#team: Team;
	#share: TeamShare = emptyShare;
	#running = 0;
	#queued = 0;
	#tokens = 0;
	#refilledAt: number;

	constructor(team: Team, now: number) {
		this.#team = team;
		this.#refilledAt = now;
	}

	/** Gets the quota over the whole data centre. */
	getQuota(): QuotaAmount {
		return {slots: this.#team.maxSlots ?? unlimited, startsPerSecond: this.#team.startsPerSecond ?? unlimited};
	}

	/** Gets whether the team has a limit of slots or starts. */
	isLimited(): boolean {
		return this.#team.maxSlots !== undefined || this.#team.startsPerSecond !== undefined;
	}

	/** Gets the share of this entry VM. */
	getShare(): TeamShare {
		return this.#share;
	}

	/** Gets the number of running tasks. */
	getRunning(): number {
		return this.#running;
	}

	/** Gets the number of tasks that run or wait. */
	getDemand(): number {
		return this.#running + this.#queued;
	}

	/** Gets the team's share under contention. */
	getWeight(): number {
		return this.#team.weight;
	}

	/** Gets the share that is really kept to: running tasks above it count until they end. */
	getEffectiveShare(): TeamShare {
		return {...this.#share, slots: Math.max(this.#share.slots, this.#running)};
	}

	/**
	 * Puts another declaration in force.
	 * @param team - New declaration.
	 */
	setTeam(team: Team): void {
		this.#team = team;
	}

	/**
	 * Puts another share in force; the first one comes with its part of the burst.
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
	 * Tells whether a task may start.
	 * @param now - Monotonic time in milliseconds.
	 */
	mayStart(now: number): boolean {
		this.#refill(now);
		return this.#running < this.#share.slots && this.#tokens >= 1;
	}

	/** Gets the time until the next start by rate; 0 when it may come at once. */
	getTokenWaitMs(): number {
		return this.#tokens >= 1 ? 0 : (1 - this.#tokens) * 1000 / Math.max(this.#share.startsPerSecond, Number.EPSILON);
	}

	/** Counts a start. */
	addStart(): void {
		this.#running++;
		this.#tokens--;
	}

	/** Counts the end of a task. */
	addEnd(): void {
		this.#running--;
	}

	/**
	 * Counts tasks that began to wait, or ceased to.
	 * @param count - Number of tasks; negative when they ceased to wait.
	 */
	addQueued(count: number): void {
		this.#queued += count;
	}

	/**
	 * Gets the time until further tasks may start, by the share or an even part of the quota, whichever is larger.
	 * @param taskCount - Number of tasks.
	 * @param taskMs - Expected time of a task.
	 * @param memberCount - Entry VMs of the data centre.
	 */
	getWaitMs(taskCount: number, taskMs: number, memberCount: number): number {
		const quota = this.getQuota();
		if (quota.slots === 0 || quota.startsPerSecond === 0) {
			return Number.POSITIVE_INFINITY;
		}

		const slots = Math.max(this.#share.slots, quota.slots / memberCount);
		const rate = Math.max(this.#share.startsPerSecond, quota.startsPerSecond / memberCount);
		const waiting = this.#queued + taskCount;
		const slotWaitMs = Math.max(waiting + this.#running - slots, 0) * taskMs / slots;
		const tokens = Math.max(this.#tokens, 0);
		return Math.max(slotWaitMs, Math.max(waiting - tokens, 0) * 1000 / rate);
	}

	#refill(now: number): void {
		const earned = (now - this.#refilledAt) * this.#share.startsPerSecond / 1000;
		this.#tokens = Math.min(this.#tokens + earned, this.#getBurst());
		this.#refilledAt = now;
	}

	#getBurst(): number {
		const part = this.#share.startsPerSecond / Math.max(this.getQuota().startsPerSecond, Number.EPSILON);
		return Math.max(this.#team.burst * part, this.#share.startsPerSecond > 0 ? 1 : 0);
	}
}
