/**
 * Faults that can be injected into the platform's stand-in while it runs.
 */
import * as z from 'zod';

/** Faults of the stand-in, which can be combined; an absent one is off. */
export type PlatformFaults = {
	/** Refuses new connections and closes the open ones. */
	readonly isDown?: boolean;
	/** Delay before each answer and each watch message, in milliseconds. */
	readonly delayMs?: number;
	/** Number of revisions by which reads lag behind the newest one. */
	readonly staleRevisions?: number;
	/** Closes the connection instead of answering after a write has taken effect. */
	readonly losesAnswers?: boolean;
	/** Accepts connections and never answers; connections that are open or opened meanwhile stay silent after the fault ends. */
	readonly isSilent?: boolean;
};

/** Schema of the faults in requests to the control endpoint. */
export const platformFaultsSchema = z.strictObject({
	isDown: z.boolean().optional(),
	delayMs: z.number().min(0).optional(),
	staleRevisions: z.int().min(0).optional(),
	losesAnswers: z.boolean().optional(),
	isSilent: z.boolean().optional(),
});
