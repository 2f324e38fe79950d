/**
 * Proof that the sender of a job, or the borrower of a task, still waits for its outcome. Without it, nothing is started for them: the lack of a
 * disconnect proves nothing behind a network partition or after a pause of this process, and a sender that has given up lets its caller submit the job
 * elsewhere.
 */
import {type InputProgress, type SenderConfirmation} from '../connection/index.js';

/** Sender of a job. */
export type JobSender = SenderConfirmation & {
	/** Whether it is in this process; by default, it is not. */
	readonly isLocal?: boolean;

	/** Gets whether its connection was lost or the deadline of its caller passed while the clock of this process stood still. */
	isDisconnected(): boolean;
};

/** Options of {@link createLocalSender}. */
export type LocalSenderOptions = {
	/** Monotonic time of the caller's deadline, from which on it need not wait; by default, it has none. */
	readonly deadlineAt?: number;
	/** Gets whether the deadline passed while the clock of this process stood still; by default, it did not. */
	readonly isDisconnected?: () => boolean;
};

/**
 * Creates the sender of a caller of this process, which is known to wait up to the time at which the end of its connection would have been read.
 * @param inputProgress - Up to when this process has read its input.
 * @param options - Options of the sender.
 */
export function createLocalSender(inputProgress: InputProgress, {deadlineAt = Infinity, isDisconnected = () => false}: LocalSenderOptions = {}): JobSender {
	return {
		getConfirmedAt: () => Math.min(inputProgress.getReadUntil(), deadlineAt),
		requestConfirmation: async () => inputProgress.waitUntilRead(),
		isDisconnected,
		isLocal: true,
	};
}

/**
 * Age up to which a confirmation counts, in milliseconds. With a smaller value, starts often wait for a confirmation, since keep-alives carry them every
 * 100 to 200 ms in each direction; a larger one exceeds the time after which a caller whose sender gave up submits its job elsewhere.
 */
const maxConfirmationAgeMs = 600;

/**
 * Age of the last confirmation at which a job with runs is stopped, in milliseconds, if a request was not answered in a shorter time. With a smaller age, jobs
 * of VMs that are short of processor time are stopped; with a larger one, the other runs on the same upstreams lapse, since no lease there is
 * extended beyond what the last confirmation allows.
 */
const maxAgeWithRunsMs = 800;

/** Time within which a request must be answered before that, in milliseconds: several round trips, since all confirmations are old after a pause of this process. */
const minUnconfirmedMs = 150;

/**
 * Age of the last confirmation at which a sender with runs is asked for another one, in milliseconds: more than keep-alives reach on a busy connection in calm
 * times. With a smaller age, requests double what the keep-alives do; with a larger one, a sender that is late has less time to
 * answer before its runs are stopped, and the runs beside them have shorter leases.
 */
export const renewalAgeMs = 350;

/** Time after which a caller whose submission has failed submits its job again, in milliseconds, unless the deployment sets another one. */
const defaultResendMs = 1300;

/**
 * Margin between the end of the leases and a caller's resubmission, in milliseconds: clocks of upstreams may be 2% slow, and an upstream needs some time to
 * end its runs.
 */
const resendMarginMs = 150;

/**
 * Gets the monotonic time until which a lease of a job's runs may last: until then no copy of the job can start, whatever becomes of the VMs that know of it.
 * @param confirmedAt - Monotonic time at which a sender of the job was last known to wait.
 * @param resendMs - Time after which a caller submits its job again, in milliseconds.
 */
export function getLeaseLimit(confirmedAt: number, resendMs = defaultResendMs): number {
	return confirmedAt + resendMs - resendMarginMs;
}

/**
 * Gets the age of the proof that limits a lease, in milliseconds.
 * @param limitMs - Time until the lease has to end, in milliseconds.
 * @param resendMs - Time after which a caller submits its job again, in milliseconds.
 */
export function getProofAge(limitMs: number, resendMs = defaultResendMs): number {
	return resendMs - resendMarginMs - limitMs;
}

/**
 * Gets whether the runs of a job have to be stopped, because its sender is not known to wait.
 * @param ageMs - Age of the last confirmation, in milliseconds.
 * @param unconfirmedMs - Time since it was found to be old, in milliseconds.
 */
export function areRunsUnconfirmed(ageMs: number, unconfirmedMs: number): boolean {
	return ageMs > maxAgeWithRunsMs && unconfirmedMs > minUnconfirmedMs;
}

/**
 * Age of what this process has read after which it reads again before it starts tasks, in milliseconds. With a smaller value, a busy VM reads before most
 * starts; with a larger one, tasks start whose callers left while the process was held.
 */
export const maxUnreadMs = 100;

/**
 * Gets the monotonic time since which a sender must have been confirmed for a start.
 * @param now - Monotonic time.
 * @param pausedAt - Monotonic time at which the last pause of this process was detected; the clock may have stood still in it.
 */
export function getConfirmedSince(now: number, pausedAt: number): number {
	return Math.max(now - maxConfirmationAgeMs, pausedAt);
}
