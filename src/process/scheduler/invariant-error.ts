/**
 * Error of a broken invariant.
 */
import ModernError from 'modern-errors';

/** A broken invariant: the process must not go on with its state. */
// eslint-disable-next-line @typescript-eslint/naming-convention -- it is a class
const InvariantError = ModernError.subclass('InvariantError');

/**
 * Creates the error for a broken invariant.
 * @param message - What is broken.
 */
export function createInvariantError(message: string): Error {
	return new InvariantError(message);
}
