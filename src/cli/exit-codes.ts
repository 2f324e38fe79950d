/**
 * Exit codes of `endivemill`; scripts rely on them, so a number keeps its meaning.
 */

/** Exit codes by name. */
export const exitCodes = {
	/** Done as asked. */
	success: 0,
	/** There is a difference, or a promise that was checked did not hold. */
	difference: 1,
	/** The command line or the declarations are not valid; nothing was written. */
	invalid: 2,
	/** Accepted, but not in force on every live entry VM within the time limit. */
	notInForce: 3,
	/** Another change was accepted first; nothing was written. */
	refused: 4,
	/** The platform or the entry VMs could not be reached; nothing was written. */
	unavailable: 5,
	/** Whether the change was accepted, or the job ran, could not be settled. */
	unknown: 6,
	/** What was asked for does not exist. */
	notFound: 7,
	/** The job was not run; submitting it again is safe. */
	notRun: 8,
	/** The job failed after tasks had started. */
	failed: 9,
	/** A fault of the program itself; whether anything was written is not known. */
	internalError: 70,
} as const;

/** An exit code of `endivemill`. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
