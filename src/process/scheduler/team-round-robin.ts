/**
 * Turns of the teams under the fair order.
 */
import {type TaskGroup} from './queued-job.js';

/**
 * Deficit round robin over teams, one task a turn: each start credits every eligible team with its weight and
 * charges the team that started with the sum, so that starts follow the weights without long runs of one team.
 * @internal
 */
export class TeamRoundRobin {
	readonly #getWeight: (team: string) => number;
	readonly #credits = new Map<string, number>();

	constructor(getWeight: (team: string) => number) {
		this.#getWeight = getWeight;
	}

	/**
	 * Chooses the part whose team has the highest credit; within a team, the one of the smallest rank.
	 * @param parts - Parts to choose from.
	 */
	chooseGroup(parts: readonly TaskGroup[]): TaskGroup | undefined {
		let best: TaskGroup | undefined;
		for (const part of parts) {
			if (!best || this.#isBefore(part, best)) {
				best = part;
			}
		}

		return best;
	}

	/**
	 * Charges a team for a start; teams that were not eligible lose their credit.
	 * @param team - Team that started a task.
	 * @param eligible - Teams that could have started one, this one among them.
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

	#getTurn(part: TaskGroup): number {
		const {team} = part.job.source;
		return this.#getCredit(team) + this.#getWeight(team);
	}

	#isBefore(a: TaskGroup, b: TaskGroup): boolean {
		const lead = this.#getTurn(a) - this.#getTurn(b);
		if (lead !== 0) {
			return lead > 0;
		}

		return a.rank < b.rank || (a.rank === b.rank && a.sequence < b.sequence);
	}
}
