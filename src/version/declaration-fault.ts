/**
 * Faults of declarations, with the place in the file that they stand at.
 */

/** What is wrong with the declarations at one place. */
export type DeclarationFault = {
	readonly file: string;
	/** Line and column, counted from 1. */
	readonly line: number;
	readonly column: number;
	readonly message: string;
	/** What to do about it; empty when there is nothing to say. */
	readonly hint: string;
};

/**
 * Gets a fault as one line of text.
 * @param fault - Fault to describe.
 */
export function formatFault({file, line, column, message, hint}: DeclarationFault): string {
	return `${file}:${line}:${column}: ${message}${hint ? `; ${hint}` : ''}`;
}
