/**
 * Grouping of records for checks.
 */

/**
 * Groups items by a key.
 * @param items - Items.
 * @param getKey - Gets the key of an item.
 */
export function groupBy<T>(items: readonly T[], getKey: (item: T) => string): ReadonlyMap<string, readonly T[]> {
	const groups = new Map<string, T[]>();
	for (const item of items) {
		const key = getKey(item);
		const group = groups.get(key) ?? [];
		group.push(item);
		groups.set(key, group);
	}

	return groups;
}
