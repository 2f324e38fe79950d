/**
 * Fences of the owners in one process.
 */
import {createHash} from 'node:crypto';
import {maxFence} from './fence.js';

/**
 * Number of fences in a generation. The store's revision is the generation; within it, the lowest fence belongs to the owner that wrote this
 * revision, and each other one to a process.
 */
export const fencesPerGeneration = 2 ** 26;

/** Lowest parts that no process has: owners of the former version, which count fences by ones, reach them. */
const unusedParts = 2 ** 16;

/** Bits of the mantissa of a double; larger whole numbers are further than 1 apart. */
const mantissaBits = 52;

/**
 * Issues fences that no other process issues, with the store and without. Fences keep the order of the store's revisions; those issued without the
 * store lie between two revisions.
 */
export class FenceIssuer {
	/** Number of this process: a revision that it wrote, or else a hash of its identifier. */
	#ownNumber: number;
	#hasOwnRevision = false;

	/**
	 * @param processId - Identifier of this process, which differs from those of all others, earlier ones of the same VM included.
	 */
	constructor(processId: string) {
		this.#ownNumber = createHash('sha256').update(processId).digest().readUInt32BE();
	}

	/**
	 * Sets a revision at which this process wrote to the store. No other process has the same one, so that fences by it differ with certainty among all
	 * processes that wrote within the last 2^25 - 2^16 revisions.
	 * @param revision - Revision of the store.
	 */
	setOwnRevision(revision: number): void {
		this.#ownNumber = revision;
		this.#hasOwnRevision = true;
	}

	/**
	 * Gets the fence of the owner that wrote a revision of the store.
	 * @param revision - Revision of a claim of the owner.
	 * @returns Fence; not a valid one if the revision is too high or none.
	 */
	getFenceOfRevision(revision: number): number {
		return revision * fencesPerGeneration;
	}

	/**
	 * Gets the lowest fence of this process above another one; at the end of the range the highest, which has no part for the process.
	 * @param fence - Fence.
	 * @param generations - Minimum number of generations between the two.
	 */
	getFenceAbove(fence: number, generations = 0): number {
		const floor = Math.min(maxFence, fence + (generations * fencesPerGeneration));
		const part = this.#getPart(floor);
		const ownFence = (Math.floor(floor / fencesPerGeneration) * fencesPerGeneration) + part;
		return Math.min(maxFence, ownFence > floor ? ownFence : ownFence + fencesPerGeneration);
	}

	/**
	 * Gets this process' part, as a multiple of the distance of the doubles just above a fence, which exceeds 1 from 2^53 on. Parts by revisions are in the
	 * lower half, those by identifiers in the upper one.
	 */
	#getPart(fence: number): number {
		const spacing = Math.max(1, 2 ** (Math.floor(Math.log2(fence + (2 * fencesPerGeneration))) - mantissaBits));
		const half = fencesPerGeneration / 2 / spacing;
		const unused = Math.max(1, unusedParts / spacing);
		return spacing * ((this.#hasOwnRevision ? 0 : half) + unused + (this.#ownNumber % (half - unused)));
	}
}
