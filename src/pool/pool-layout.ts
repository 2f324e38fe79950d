/**
 * Partitioning of a data centre's upstreams into pools, each with its own owner, since one VM cannot order all starts of a large
 * data centre. The number of pools depends on the number of upstreams.
 */

/** Bounds of the number of upstreams of a pool: wide jobs, of up to 32 tasks, should often fit into one pool, and always into a few. */
const minPoolSize = 4;
const maxPoolSize = 12;

/** Upstreams for each core of an owner. If smaller, wide jobs fit into one pool less often; if larger, owners are short of processor time at full load. */
const upstreamsPerCore = 40;

/** In the name of a pool, separates the data centre from the pool's position and the number of pools. */
const separator = '#';

/**
 * Gets the number of pools of a data centre.
 * @param upstreamCount - Number of upstreams of the data centre.
 * @param cores - Cores of a typical entry VM of the data centre.
 */
export function getPoolCount(upstreamCount: number, cores: number): number {
	const poolSize = Math.min(maxPoolSize, Math.max(minPoolSize, upstreamsPerCore * cores));
	return Math.max(1, Math.round(upstreamCount / poolSize));
}

/**
 * Gets the names of the pools of a data centre; a single pool has the name of its data centre.
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
 * Gets the position of a pool in its data centre; 0 for a single pool.
 * @param pool - Name of the pool.
 */
export function getPoolPosition(pool: string): number {
	return parsePosition(pool)?.position ?? 0;
}

/**
 * Gets whether the owners of two pools exchange their free capacity: pools of one data centre do, and pools at the same position in
 * different ones. The reports of an owner thus grow only with the number of pools in its data centre and of data centres.
 * @param pool - Name of a pool.
 * @param otherPool - Name of another pool.
 */
export function isNeighbourPool(pool: string, otherPool: string): boolean {
	return pool !== otherPool && (getDataCenter(pool) === getDataCenter(otherPool) || getPoolPosition(pool) === getPoolPosition(otherPool));
}

/**
 * Gets the pool of an upstream by rendezvous hashing: all entry VMs get the same pool, and adding or removing an upstream does not
 * reassign any other.
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

/** The known pools of each data centre. */
export class PoolLayout {
	readonly #names = new Map<string, readonly string[]>();
	#pools: readonly string[] = [];

	/** Gets the names of all known pools, in the same order on all entry VMs. */
	getPools(): readonly string[] {
		return this.#pools;
	}

	/**
	 * Gets the names of the pools of a data centre; none if their number is not known.
	 * @param dataCenter - Data centre.
	 */
	getPoolsOf(dataCenter: string): readonly string[] {
		return this.#names.get(dataCenter) ?? [];
	}

	/**
	 * Sets the number of pools of a data centre, unless it is already known.
	 * @param dataCenter - Data centre.
	 * @param count - Number of its pools.
	 * @returns Whether the number was set.
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
	 * Sets the number of pools of a data centre from the name of one of them, unless it is already known.
	 * @param pool - Name of a pool.
	 * @returns Whether the number was set.
	 */
	addPool(pool: string): boolean {
		return this.setCount(getDataCenter(pool), parsePosition(pool)?.count ?? 1);
	}
}

const positionPattern = /#(?<position>\d+)\/(?<count>\d+)$/v;

function parsePosition(pool: string): {readonly position: number; readonly count: number} | undefined {
	const groups = positionPattern.exec(pool)?.groups;
	return groups === undefined ? undefined : {position: Number(groups.position), count: Number(groups.count)};
}

const hashOffset = 2_166_136_261;
const hashPrime = 16_777_619;

/**
 * Gets the FNV-1a hash of a text, with a final mix since the positions of pools differ in only one character.
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
