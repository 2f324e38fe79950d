/**
 * Short descriptions of invalid values for logs and answers.
 */
import type * as z from 'zod';

/**
 * Describes the first issue of a validation error; the message of the error itself grows with the invalid value.
 * @param error - Error of a schema.
 */
export function describeIssues({issues}: z.ZodError): string {
	const [first, ...others] = issues;
	const path = first?.path.join('.') ?? '';
	return `${path === '' ? '' : `${path}: `}${first?.message ?? ''}${others.length > 0 ? ` (and ${others.length} more)` : ''}`;
}
