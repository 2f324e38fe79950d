/**
 * Suggestions for misspelt names.
 */

/** Maximum edit distance, relative to the name's length, at which a known name is suggested. */
const maxEditRatio = 0.4;

/**
 * Finds the known name with the smallest edit distance; `undefined` when none is similar enough.
 * @param name - Misspelt name.
 * @param knownNames - Valid names.
 */
export function findSimilarName(name: string, knownNames: readonly string[]): string | undefined {
	const maxEdits = Math.max(1, Math.floor(name.length * maxEditRatio));
	const ranked = knownNames
		.map(known => ({known, edits: getEditDistance(name, known)}))
		.filter(({edits}) => edits <= maxEdits)
		.sort((left, right) => left.edits - right.edits);
	return ranked[0]?.known;
}

/** Gets the Levenshtein distance: the number of insertions, deletions and replacements that turn one text into another. */
function getEditDistance(from: string, to: string): number {
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
