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

/** Share of the objective from which a job is re-evaluated: below it, little has changed since the job was admitted. */
const firstShare = 0.05;

/** Share of the objective at which a job is refused or committed; a refusal after a quarter of it is late for the caller. */
const finalShare = 0.2;

/**
 * Gets how a waiting job of which no task has started is re-evaluated.
 * @param age - Age and objective of the job.
 */
export function getReevaluation({ageMs, objectiveMs}: WaitingAge): Reevaluation {
	if (ageMs < objectiveMs * firstShare) {
		return 'none';
	}

	return ageMs < objectiveMs * finalShare ? 'repeated' : 'final';
}
