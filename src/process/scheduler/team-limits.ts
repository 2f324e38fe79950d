/**
 * Interface between a service's scheduler and the quotas of the teams.
 */

/** Weights and quotas of the teams, and the counts of their tasks. */
export type TeamLimits = {
	/** Gets the weight of a team in the round robin. */
	getWeight(team: string): number;

	/** Returns whether the quota permits a task of the team to start now. */
	mayStart(team: string): boolean;

	/** Counts the start of a task. */
	addStart(team: string): void;

	/** Counts the end of a task. */
	addEnd(team: string): void;

	/** Counts tasks added to the queue; the count is negative when tasks leave it. */
	addQueuedTasks(team: string, count: number): void;

	/** Gets the time in milliseconds until the quota permits a number of further tasks; infinite when it never does. */
	getWaitMs(team: string, taskCount: number, taskMs: number): number;
};
