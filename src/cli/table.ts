/**
 * Tables for people.
 */

/**
 * Formats rows as columns that are as wide as their widest cell.
 * @param head - Names of the columns.
 * @param rows - Cells of each row, as many as there are columns.
 */
export function formatTable(head: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const lines = [head, ...rows];
	const widths = head.map((_, column) => Math.max(...lines.map(cells => cells[column]!.length)));
	return lines.map(cells => cells.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n');
}
