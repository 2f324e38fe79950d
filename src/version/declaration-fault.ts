/**
 * Faults of declarations with their positions in the files.
 */

/** An error in the declarations, at one position. */
export type DeclarationFault = {
	readonly file: string;
	/** Line and column, counted from 1. */
	readonly line: number;
	readonly column: number;
	readonly message: string;
	/** Suggestion for a fix; may be empty. */
	readonly hint: string;
};

/**
 * Formats a fault as one line of text.
 * @param fault - Fault to format.
 */
export function formatFault({file, line, column, message, hint}: DeclarationFault): string {
	return `${file}:${line}:${column}: ${message}${hint ? `; ${hint}` : ''}`;
}
