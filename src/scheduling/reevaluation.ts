/**
 * Re-evaluation of the admission of jobs that wait. Jobs that arrive later may pass a waiting job, so that the wait expected on its arrival becomes
 * too short. A job that will not be in time is refused while its caller can still go elsewhere; one that is kept for longer is committed, and no
 * job that arrives later passes it.
 */

/** Age of a waiting job, and the time that it has from its arrival to its objective, in milliseconds. */
export type WaitingAge = {
	readonly ageMs: number;
	readonly objectiveMs: number;
};

/** `none`: the job has just been admitted. `repeated`: it is re-evaluated again later. `final`: it is refused now or committed. */
export type Reevaluation = 'none' | 'repeated' | 'final';

/** How waiting jobs are re-evaluated. */
export type ReevaluationPolicy = {
	/** Share of the objective from which a job is re-evaluated. */
	readonly firstShare: number;
	/** Share of the objective at which a job is re-evaluated for the last time. */
	readonly finalShare: number;
	/** Whether a job that is kept then is not passed by later ones. */
	readonly isCommitting: boolean;
};

/** Little changes in a twentieth of the objective, and a refusal after a quarter of it comes too late for the caller. */
export const committingPolicy: ReevaluationPolicy = {firstShare: 0.05, finalShare: 0.2, isCommitting: true};

/** One re-evaluation, early enough for the caller to go elsewhere. */
export const singleReevaluationPolicy: ReevaluationPolicy = {firstShare: 0.18, finalShare: 0.18, isCommitting: false};

/**
 * Gets how a waiting job of which no task has started is re-evaluated.
 * @param age - Age and objective of the job.
 * @param policy - Policy.
 */
export function getReevaluation({ageMs, objectiveMs}: WaitingAge, {firstShare, finalShare}: ReevaluationPolicy): Reevaluation {
	if (ageMs < objectiveMs * firstShare) {
		return 'none';
	}

	return ageMs < objectiveMs * finalShare ? 'repeated' : 'final';
}
