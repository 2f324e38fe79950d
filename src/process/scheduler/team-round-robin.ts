/**
 * Weighted round robin over the teams for the `fair` order.
 */
import {type TaskGroup} from './queued-job.js';

/**
 * Smooth weighted round robin over teams, one task per turn: each start credits every eligible team with its weight
 * and charges the team that started a task with the sum, so that starts follow the weights without long series of one
 * team.
 * @internal
 */
export class TeamRoundRobin {
	readonly #getWeight: (team: string) => number;
	readonly #credits = new Map<string, number>();

	constructor(getWeight: (team: string) => number) {
		this.#getWeight = getWeight;
	}

	/**
	 * Chooses the group whose team has the highest credit; within a team, the one with the lowest rank.
	 * @param groups - Groups to choose from.
	 * @returns The chosen group; `undefined` when there are none.
	 */
	chooseGroup(groups: readonly TaskGroup[]): TaskGroup | undefined {
		let best: TaskGroup | undefined;
		for (const group of groups) {
			if (!best || this.#isBefore(group, best)) {
				best = group;
			}
		}

		return best;
	}

	/**
	 * Charges a team for the start of a task; teams that were not eligible lose their credit.
	 * @param team - Team that started a task.
	 * @param eligible - Teams that could have started a task, including this one.
	 */
	chargeStart(team: string, eligible: ReadonlySet<string>): void {
		for (const name of this.#credits.keys()) {
			if (!eligible.has(name)) {
				this.#credits.delete(name);
			}
		}

		let total = 0;
		for (const name of eligible) {
			const weight = this.#getWeight(name);
			total += weight;
			this.#credits.set(name, this.#getCredit(name) + weight);
		}

		this.#credits.set(team, this.#getCredit(team) - total);
	}

	#getCredit(team: string): number {
		return this.#credits.get(team) ?? 0;
	}

	#getNextCredit(group: TaskGroup): number {
		const {team} = group.job.source;
		return this.#getCredit(team) + this.#getWeight(team);
	}

	#isBefore(a: TaskGroup, b: TaskGroup): boolean {
		const lead = this.#getNextCredit(a) - this.#getNextCredit(b);
		if (lead !== 0) {
			return lead > 0;
		}

		return a.rank < b.rank || (a.rank === b.rank && a.sequence < b.sequence);
	}
}
