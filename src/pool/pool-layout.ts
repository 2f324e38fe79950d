/**
 * Into which pools the upstreams of a data centre are divided. Answers data centres whose starts are more than one VM can order:
 * the number of pools follows from the number of upstreams, and each pool has an owner of its own.
 */

/** Bounds of the number of upstreams of a pool: wide jobs, of up to 32 tasks, should often find room in one; all should in a few. */
const leastPoolSize = 4;
const largestPoolSize = 12;

/** Upstreams for each core of an owner. Smaller, wide jobs find room in one pool less often; larger, owners are short of processor time at full load. */
const upstreamsPerCore = 40;

/** Separates a data centre from the position of a pool and the number of pools in the name of a pool. */
const separator = '#';

/**
 * Gets the number of pools for a data centre.
 * @param upstreamCount - Upstreams of the data centre.
 * @param cores - Cores of a usual entry VM there.
 */
export function getPoolCount(upstreamCount: number, cores: number): number {
	const poolSize = Math.min(largestPoolSize, Math.max(leastPoolSize, upstreamsPerCore * cores));
	return Math.max(1, Math.round(upstreamCount / poolSize));
}

/**
 * Gets the names of the pools of a data centre; one pool alone bears the name of its data centre.
 * @param dataCenter - Data centre.
 * @param count - Number of its pools.
 */
export function getPoolNames(dataCenter: string, count: number): readonly string[] {
	return count === 1 ? [dataCenter] : Array.from({length: count}, (_, position) => `${dataCenter}${separator}${position}/${count}`);
}

/**
 * Gets the data centre of a pool.
 * @param pool - Name of the pool.
 */
export function getDataCenter(pool: string): string {
	const end = pool.lastIndexOf(separator);
	return end === -1 ? pool : pool.slice(0, end);
}

/**
 * Gets the position of a pool in its data centre.
 * @param pool - Name of the pool.
 */
export function getPoolPosition(pool: string): number {
	return getPlace(pool)?.position ?? 0;
}

/**
 * Gets whether the owners of two pools know each other's room: those of one data centre, and those at the same position in
 * others. So what an owner tells grows with the pools of its data centre and the number of data centres only.
 * @param pool - Name of a pool.
 * @param other - Name of another pool.
 */
export function isNeighbourPool(pool: string, other: string): boolean {
	return pool !== other && (getDataCenter(pool) === getDataCenter(other) || getPoolPosition(pool) === getPoolPosition(other));
}

/**
 * Gets the pool of an upstream, by rendezvous hashing: every entry VM comes to the same, and upstreams that come or go move none
 * of the others.
 * @param upstreamId - Identifier of the upstream.
 * @param pools - Names of the pools of its data centre.
 */
export function getPoolOfUpstream(upstreamId: string, pools: readonly string[]): string {
	let best = pools[0]!;
	let bestWeight = -1;
	for (const pool of pools) {
		const weight = pools.length === 1 ? 0 : getHash(`${getPoolPosition(pool)} ${upstreamId}`);
		if (weight > bestWeight) {
			best = pool;
			bestWeight = weight;
		}
	}

	return best;
}

/** The number of pools of each data centre, as far as it is known. */
export class PoolLayout {
	readonly #names = new Map<string, readonly string[]>();
	#pools: readonly string[] = [];

	/** Gets the names of all pools known, in the same order on all entry VMs. */
	getPools(): readonly string[] {
		return this.#pools;
	}

	/**
	 * Gets the names of the pools of a data centre; none where their number is not known.
	 * @param dataCenter - Data centre.
	 */
	getPoolsOf(dataCenter: string): readonly string[] {
		return this.#names.get(dataCenter) ?? [];
	}

	/**
	 * Sets the number of pools of a data centre; false where one is known already, which stays.
	 * @param dataCenter - Data centre.
	 * @param count - Number of its pools.
	 */
	setCount(dataCenter: string, count: number): boolean {
		if (this.#names.has(dataCenter)) {
			return false;
		}

		this.#names.set(dataCenter, getPoolNames(dataCenter, count));
		this.#pools = [...this.#names.values()].flat().toSorted();
		return true;
	}

	/**
	 * Learns the number of pools of a data centre from the name of one of them.
	 * @param pool - Name of a pool that a VM says it owns.
	 */
	addPool(pool: string): boolean {
		return this.setCount(getDataCenter(pool), getPlace(pool)?.count ?? 1);
	}
}

const placePattern = /#(?<position>\d+)\/(?<count>\d+)$/v;

function getPlace(pool: string): {readonly position: number; readonly count: number} | undefined {
	const groups = placePattern.exec(pool)?.groups;
	return groups === undefined ? undefined : {position: Number(groups.position), count: Number(groups.count)};
}

const hashOffset = 2_166_136_261;
const hashPrime = 16_777_619;

/**
 * Gets a hash of a text: FNV-1a with a final mix, since positions of pools differ in one character only.
 * @param text - Text.
 */
export function getHash(text: string): number {
	let hash = hashOffset;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), hashPrime); // eslint-disable-line no-bitwise, unicorn/prefer-code-point
	}

	hash = Math.imul(hash ^ (hash >>> 15), 0x2C_1B_3C_6D); // eslint-disable-line no-bitwise
	return (hash ^ (hash >>> 12)) >>> 0; // eslint-disable-line no-bitwise
}
