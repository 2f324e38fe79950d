/**
 * Hints for misspelt names.
 */

/** Edits, in relation to the name's length, up to which a name counts as misspelt. */
const maxEditRatio = 0.4;

/**
 * Gets the known name that is most like a misspelt one.
 * @param name - Misspelt name.
 * @param knownNames - Names that exist.
 */
export function findSimilarName(name: string, knownNames: readonly string[]): string | undefined {
	const maxEdits = Math.max(1, Math.floor(name.length * maxEditRatio));
	const ranked = knownNames
		.map(known => ({known, edits: countEdits(name, known)}))
		.filter(({edits}) => edits <= maxEdits)
		.sort((left, right) => left.edits - right.edits);
	return ranked[0]?.known;
}

/** Counts the insertions, removals and replacements that turn one text into another. */
function countEdits(from: string, to: string): number {
	let previous = Array.from({length: to.length + 1}, (_, index) => index);
	for (const [row, letter] of [...from].entries()) {
		const current = [row + 1];
		for (const [column, other] of [...to].entries()) {
			const replaced = previous[column]! + (letter === other ? 0 : 1);
			current.push(Math.min(replaced, previous[column + 1]! + 1, current[column]! + 1));
		}

		previous = current;
	}

	return previous[to.length]!;
}
