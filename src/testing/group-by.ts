/**
 * Grouping of records for checks.
 */

/**
 * Groups items by a key.
 * @param items - Items.
 * @param getKey - Gets the key of an item.
 */
export function groupBy<T>(items: readonly T[], getKey: (item: T) => string): ReadonlyMap<string, readonly [T, ...T[]]> {
	const groups = new Map<string, [T, ...T[]]>();
	for (const item of items) {
		const key = getKey(item);
		const group = groups.get(key);
		if (group === undefined) {
			groups.set(key, [item]);
		} else {
			group.push(item);
		}
	}

	return groups;
}
