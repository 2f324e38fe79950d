/**
 * Interface of the platform: a small key-value store with compare-and-swap, leases and watches,
 * which holds the list of VMs under a prefix.
 */
import {type Stream} from 'most';

/** Why a platform call has no result. `ambiguous`: the outcome is unknown; a write may have taken effect. */
export type PlatformFault = {
	readonly ok: false;
	readonly reason: 'unavailable' | 'timeout' | 'ambiguous' | 'budget' | 'invalid' | 'closed';
	readonly detail: string;
};

/** The result of a platform call, or its fault. */
export type PlatformResult<T> = {readonly ok: true; readonly value: T} | PlatformFault;

/** A stored key with its value. */
export type KeyValue = {
	readonly key: string;
	readonly value: string;
	/** Store revision of the key's last change, for use as the expected revision of a compare-and-swap. */
	readonly modRevision: number;
};

/** The keys under a prefix at one revision of the store. */
export type KeyRange = {
	readonly revision: number;
	readonly entries: readonly KeyValue[];
};

/** Summary of the keys under a prefix, which reveals changes without reading the values. */
export type PrefixDigest = {
	/** Highest revision of any key's last change; 0 if there is no key. */
	readonly newestModRevision: number;
	readonly count: number;
};

/** Event of a watch. `down` is emitted once when the watch is interrupted; the watch then resumes automatically. */
export type WatchEvent =
	| {readonly kind: 'put'; readonly entry: KeyValue}
	| {readonly kind: 'delete'; readonly key: string; readonly modRevision: number}
	| {readonly kind: 'up'}
	| {readonly kind: 'down'; readonly detail: string};

/** Result of a compare-and-swap that the store executed. */
export type SwapResult =
	| {readonly swapped: true; readonly revision: number}
	| {readonly swapped: false; readonly current: KeyValue | undefined};

/** Operations of the platform. */
export type Platform = {
	/**
	 * Gets one key; the value is `undefined` if it does not exist.
	 * @param key - Key to read.
	 */
	getKey(key: string): Promise<PlatformResult<KeyValue | undefined>>;

	/**
	 * Gets all keys under a prefix.
	 * @param prefix - Prefix to read.
	 */
	getRange(prefix: string): Promise<PlatformResult<KeyRange>>;

	/**
	 * Gets the digest of a prefix, which is much smaller than its range.
	 * @param prefix - Prefix to read.
	 */
	getDigest(prefix: string): Promise<PlatformResult<PrefixDigest>>;

	/**
	 * Writes a key if the revision of its last change is the expected one.
	 * @param key - Key to write.
	 * @param value - New value, at most one megabyte.
	 * @param expectedModRevision - Expected revision; 0 if the key must not exist.
	 */
	compareAndSwap(key: string, value: string, expectedModRevision: number): Promise<PlatformResult<SwapResult>>;

	/**
	 * Gets the changes under a prefix from now on; the stream ends when the platform is closed.
	 * @param prefix - Prefix to watch.
	 */
	watch(prefix: string): Stream<WatchEvent>;

	/** Gets the number of calls made so far; a waiting watch counts as one. */
	getCallCount(): number;

	/** Closes all watches and aborts all calls. */
	close(): Promise<void>;
};
