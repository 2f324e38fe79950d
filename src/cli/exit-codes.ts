/**
 * Exit codes of `endivemill`. Scripts depend on them, so the meaning of a number never changes.
 */

/** Exit codes by name. */
export const exitCodes = {
	/** The command succeeded. */
	success: 0,
	/** There is a difference, or a checked guarantee was violated. */
	difference: 1,
	/** The command line or the declarations are invalid; nothing was written. */
	invalid: 2,
	/** Accepted, but not in force on every live entry VM within the time limit. */
	notInForce: 3,
	/** Another change was accepted first; nothing was written. */
	refused: 4,
	/** The platform or the entry VMs could not be reached; nothing was written. */
	unavailable: 5,
	/** It could not be determined whether the change was accepted or the job ran. */
	unknown: 6,
	/** The requested job, version or entry VM does not exist. */
	notFound: 7,
	/** The job was not run; submitting it again is safe. */
	notRun: 8,
	/** The job failed after tasks had started. */
	failed: 9,
	/** An internal error of the program; whether anything was written is unknown. */
	internalError: 70,
} as const;

/** An exit code of `endivemill`. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
