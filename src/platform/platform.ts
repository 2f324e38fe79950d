/**
 * The platform as the rest of the code sees it: a small key-value service with compare-and-swap, leases and watches,
 * and the list of VMs kept under a prefix of it.
 */
import {type Stream} from 'most';

/** Why a platform call gave no value. `ambiguous`: a write may have taken effect. */
export type PlatformFault = {
	readonly ok: false;
	readonly reason: 'unavailable' | 'timeout' | 'ambiguous' | 'budget' | 'invalid' | 'closed';
	readonly detail: string;
};

/** The value of a platform call, or why there is none. */
export type PlatformResult<T> = {readonly ok: true; readonly value: T} | PlatformFault;

/** One key as stored. */
export type KeyValue = {
	readonly key: string;
	readonly value: string;
	/** Store revision of the key's last change; the expected revision of a compare-and-swap. */
	readonly modRevision: number;
};

/** The keys of a prefix at one revision of the store. */
export type KeyRange = {
	readonly revision: number;
	readonly entries: readonly KeyValue[];
};

/** What tells one state of a prefix from another without reading its values. */
export type PrefixDigest = {
	/** Highest revision of any key's last change; 0 when there is no key. */
	readonly newestModRevision: number;
	readonly count: number;
};

/** What a watch reports. `down` is given once when the watch breaks; the watch then resumes by itself. */
export type WatchEvent =
	| {readonly kind: 'put'; readonly entry: KeyValue}
	| {readonly kind: 'delete'; readonly key: string; readonly modRevision: number}
	| {readonly kind: 'up'}
	| {readonly kind: 'down'; readonly detail: string};

/** Result of a compare-and-swap that reached the store. */
export type SwapResult =
	| {readonly swapped: true; readonly revision: number}
	| {readonly swapped: false; readonly current: KeyValue | undefined};

/** The platform's services as plain functions. */
export type Platform = {
	/**
	 * Gets one key; `undefined` when it does not exist.
	 * @param key - Key to read.
	 */
	getKey(key: string): Promise<PlatformResult<KeyValue | undefined>>;

	/**
	 * Gets all keys below a prefix.
	 * @param prefix - Prefix to read.
	 */
	getRange(prefix: string): Promise<PlatformResult<KeyRange>>;

	/**
	 * Gets the digest of a prefix; much smaller than its range.
	 * @param prefix - Prefix to read.
	 */
	getDigest(prefix: string): Promise<PlatformResult<PrefixDigest>>;

	/**
	 * Writes a key if its last change is the expected one.
	 * @param key - Key to write.
	 * @param value - New value, at most one megabyte.
	 * @param expectedModRevision - Expected revision; 0 when the key must not exist.
	 */
	compareAndSwap(key: string, value: string, expectedModRevision: number): Promise<PlatformResult<SwapResult>>;

	/**
	 * Gets the changes below a prefix from now on; the stream ends with `close` of the platform.
	 * @param prefix - Prefix to watch.
	 */
	watch(prefix: string): Stream<WatchEvent>;

	/** Gets the number of calls made so far, a waiting watch counted as one. */
	getCallCount(): number;

	/** Ends all watches and calls. */
	close(): Promise<void>;
};
