/**
 * Observations of callers, upstreams and the parent process during a process soak. Times are of the system's monotonic clock, in milliseconds.
 */
import process from 'node:process';

/**
 * How a submission ended. `broken`: the connection closed before the answer; `cut`: it closed within the answer; `left`: the
 * caller abandoned it.
 */
export type SubmissionOutcome = 'answered' | 'broken' | 'cut' | 'left';

/** One submission of a job to an entry VM. */
export type Submission = {
	readonly job: string;
	readonly taskCount: number;
	readonly vm: string;
	readonly sentAt: number;
	readonly endedAt: number;
	readonly end: SubmissionOutcome;
	readonly status?: number;
	/** State of the job in the answer. */
	readonly state?: string;
};

/** A run of a task on an upstream; without `endedAt` it is still running. */
export type TaskRun = {
	readonly task: string;
	readonly number: number;
	readonly upstream: string;
	readonly startedAt: number;
	readonly endedAt?: number;
	readonly end?: string;
	/** Thousandths of a core that all runs on the upstream need once this one has started, including those that are being stopped. */
	readonly usedCpu: number;
	/** Whether the upstream crashed while it ran. */
	readonly isEndedByCrash: boolean;
	/** Task that crashed the upstream while it ran; absent if none did. */
	readonly crashedBy?: string;
};

/** Thousandths of a core that the entry of an upstream shows from a time on. */
export type ListedCapacity = {readonly upstream: string; readonly at: number; readonly cpu: number};

/** An order that starts a task with another specification than its job's. */
export type ChangedSpec = {readonly task: string; readonly at: number; readonly spec?: string};

/** What the upstreams have seen. */
export type UpstreamHistory = {
	readonly runs: readonly TaskRun[];
	/** Names of the tasks that crash their upstreams. */
	readonly deadlyTasks: readonly string[];
	readonly capacities: readonly ListedCapacity[];
	readonly changedSpecs: readonly ChangedSpec[];
};

/** A fault that was injected into the deployment, or a stall of the stand-ins. */
export type AppliedFault = {
	readonly kind: string;
	readonly target: string;
	readonly at: number;
	readonly until: number;
};

/** The exit of a VM's process; `wasTold`: the soak stopped or killed it. */
export type ProcessEnd = {readonly vm: string; readonly at: number; readonly wasTold: boolean; readonly how: string};

/** The return of an entry VM to normal service after the faults; `servedAt` is undefined when it did not return in time. */
export type Recovery = {readonly vm: string; readonly from: number; readonly servedAt: number | undefined};

/** All observations of a soak. */
export type SoakHistory = UpstreamHistory & {
	readonly sends: readonly Submission[];
	readonly faults: readonly AppliedFault[];
	readonly ends: readonly ProcessEnd[];
	readonly recoveries: readonly Recovery[];
};

/** Fault kind of a planned stop, which lasts from the signal to the exit of the process. */
export const plannedStopKind = 'stop';

/** Fault kind of a time in which the process of the store and the upstreams got no processor time. */
export const stallKind = 'stall';

/** Gets the current time of the clock that all processes share, in milliseconds. */
export function getSharedTime(): number {
	return Number(process.hrtime.bigint()) / nanosecondsPerMs;
}

const nanosecondsPerMs = 1_000_000;
