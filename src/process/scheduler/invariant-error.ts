/**
 * Error for a violated invariant.
 */
import ModernError from 'modern-errors';

/** Thrown when an invariant is violated: the process must not continue with its state. */
// eslint-disable-next-line @typescript-eslint/naming-convention -- it is a class
const InvariantError = ModernError.subclass('InvariantError');

/**
 * Creates an error for a violated invariant.
 * @param message - Description of the violation.
 */
export function createInvariantError(message: string): Error {
	return new InvariantError(message);
}
