/**
 * Formats tables of text.
 */

/**
 * Formats rows in columns as wide as their widest cell.
 * @param header - Names of the columns.
 * @param rows - Cells of each row, as many as there are columns.
 */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const lines = [header, ...rows];
	const widths = header.map((_, column) => Math.max(...lines.map(cells => cells[column]!.length)));
	return lines.map(cells => cells.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n');
}
