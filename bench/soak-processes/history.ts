/**
 * What callers, upstreams and the parent of the processes saw in a soak of processes. Times are of the system's monotonic clock, in milliseconds.
 */
import process from 'node:process';

/** How a send of a job ended. `broken`: before the answer; `cut`: within the answer; `left`: the caller gave it up. */
export type SubmissionOutcome = 'answered' | 'broken' | 'cut' | 'left';

/** A caller sent a job to an entry VM. */
export type Submission = {
	readonly job: string;
	readonly taskCount: number;
	readonly vm: string;
	readonly sentAt: number;
	readonly endedAt: number;
	readonly end: SubmissionOutcome;
	readonly status?: number;
	/** State in the answer. */
	readonly state?: string;
};

/** An upstream ran a task; without an end it still runs. */
export type TaskRun = {
	readonly task: string;
	readonly number: number;
	readonly upstream: string;
	readonly startedAt: number;
	readonly endedAt?: number;
	readonly end?: string;
};

/** Something that was done to the deployment. */
export type AppliedFault = {
	readonly kind: string;
	readonly target: string;
	readonly at: number;
	readonly until: number;
};

/** A process ended. */
export type ProcessEnd = {readonly vm: string; readonly at: number; readonly wasTold: boolean; readonly how: string};

/** An entry VM was asked after the faults until it served again; `undefined` where it did not in time. */
export type Recovery = {readonly vm: string; readonly from: number; readonly servedAt: number | undefined};

/** All that was seen. */
export type SoakHistory = {
	readonly sends: readonly Submission[];
	readonly runs: readonly TaskRun[];
	readonly faults: readonly AppliedFault[];
	readonly ends: readonly ProcessEnd[];
	readonly recoveries: readonly Recovery[];
};

/** Kind of the fault that is a planned stop: from the signal to the end of the process. */
export const plannedStopKind = 'stop';

/** Kind of the fault that the process of the store and the upstreams got no processor time. */
export const stallKind = 'stall';

/** Gets the present time of the clock that all processes share. */
export function getSharedTime(): number {
	return Number(process.hrtime.bigint()) / nanosecondsPerMs;
}

const nanosecondsPerMs = 1_000_000;

/** Groups values by a name. */
export function groupBy<T>(values: readonly T[], getName: (value: T) => string): ReadonlyMap<string, readonly T[]> {
	const groups = new Map<string, T[]>();
	for (const value of values) {
		const name = getName(value);
		const group = groups.get(name) ?? [];
		group.push(value);
		groups.set(name, group);
	}

	return groups;
}
