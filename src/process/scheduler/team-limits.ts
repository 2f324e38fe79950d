/**
 * Limits of the teams, as the queue of a service sees them.
 */

/** What a service's queue asks about a team. */
export type TeamLimits = {
	/** Gets the team's share under contention. */
	getWeight(team: string): number;

	/** Tells whether the quota lets a task of the team start now. */
	mayStart(team: string): boolean;

	/** Counts a start. */
	addStart(team: string): void;

	/** Counts the end of a task. */
	addEnd(team: string): void;

	/** Counts tasks that began to wait, or ceased to when negative. */
	addQueued(team: string, count: number): void;

	/** Gets the time until the quota lets a number of further tasks start; infinite when it never does. */
	getWaitMs(team: string, taskCount: number, taskMs: number): number;
};
