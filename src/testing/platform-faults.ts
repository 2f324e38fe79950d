/**
 * The faults that the platform's stand-in can be given while it runs.
 */
import * as z from 'zod';

/** Faults of the stand-in; all can be on at once, and an absent one is off. */
export type PlatformFaults = {
	/** Refuses connections and breaks the open ones. */
	readonly isDown?: boolean;
	/** Waits before each answer and each message of a watch, in milliseconds. */
	readonly delayMs?: number;
	/** Serves reads at a revision this many writes ago. */
	readonly staleRevisions?: number;
	/** Breaks the connection after a write has taken effect, in place of the answer. */
	readonly losesAnswers?: boolean;
	/** Accepts and never answers; the connections of this time stay silent for good. */
	readonly isSilent?: boolean;
};

/** Schema of the faults as the control takes them. */
export const platformFaultsSchema = z.strictObject({
	isDown: z.boolean().optional(),
	delayMs: z.number().min(0).optional(),
	staleRevisions: z.int().min(0).optional(),
	losesAnswers: z.boolean().optional(),
	isSilent: z.boolean().optional(),
});
