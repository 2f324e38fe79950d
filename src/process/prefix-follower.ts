/**
 * Follows the keys under a prefix of the platform's store by a watch, and by a slow poll in case the watch stops delivering events.
 */
import type Logger from 'bunyan';
import {type Stream} from 'most';
import {
	type KeyRange, type KeyValue, type Platform, type WatchEvent,
} from '../platform/index.js';
import {
	Backoff, type Clock, type Random, systemClock, systemRandom, type Timer,
} from '../seams/index.js';
import {type EventLog} from './events.js';

/** A change of a key under the prefix. */
export type PrefixChange = Extract<WatchEvent, {kind: 'put' | 'delete'}>;

/** Options that all followers share. */
export type FollowerOptions = {
	readonly platform: Platform;
	readonly deployment: string;
	readonly clock?: Clock;
	readonly random?: Random;
	readonly events?: EventLog;
	readonly logger?: Logger;
	/** Mean time between polls in milliseconds. */
	readonly pollMs?: number;
};

/** Options of a {@link PrefixFollower}. */
export type PrefixFollowerOptions = FollowerOptions & {
	/** Name of the followed data, for events and logs. */
	readonly subject: string;
	readonly prefix: string;
	readonly onRange: (range: KeyRange) => void;
	readonly onChange: (change: PrefixChange) => void;
};

/** State of a follower's connection to the platform. */
export type FollowerStatus = {
	/** Whether the last read succeeded; `undefined` before the first one has ended. */
	readonly isPlatformUp: boolean | undefined;
	readonly reads: number;
	readonly failedReads: number;
};

const defaultPollMs = 2500;

/** Maximum deviation of a poll delay, as a share of the poll interval. */
const pollJitterShare = 0.25;
const firstRetryDelayMs = 200;

/** Follows one prefix until it is closed; see {@link PrefixFollowerOptions} for the callbacks. */
export class PrefixFollower {
	readonly #options: PrefixFollowerOptions;
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #pollMs: number;
	readonly #backoff: Backoff;
	/** Revision of each key's last known change; a poll compares it with the platform's digest. */
	readonly #knownRevisions = new Map<string, number>();
	readonly #subscription: ReturnType<Stream<WatchEvent>['subscribe']>;
	#timer: Timer | undefined;
	#currentRead: Promise<boolean> | undefined;
	#queuedRead: Promise<boolean> | undefined;
	#isPlatformUp: boolean | undefined;
	#reads = 0;
	#failedReads = 0;
	#isClosed = false;

	constructor(options: PrefixFollowerOptions) {
		this.#options = options;
		this.#clock = options.clock ?? systemClock;
		this.#random = options.random ?? systemRandom;
		this.#pollMs = options.pollMs ?? defaultPollMs;
		this.#backoff = new Backoff({random: this.#random, firstDelayMs: firstRetryDelayMs, maxDelayMs: this.#pollMs});
		this.#subscription = options.platform.watch(options.prefix).subscribe({
			next: event => {
				this.#handleEvent(event);
			},
			error(err) {
				throw err;
			},
			complete: () => undefined,
		});
		void this.refresh();
	}

	/** Reads the prefix with a read that starts after this call; resolves to whether the read succeeded. */
	async refresh(): Promise<boolean> {
		if (this.#currentRead) {
			// The current read may have started before a change that the caller expects to see.
			this.#queuedRead ??= this.#refreshAfter(this.#currentRead);
			return this.#queuedRead;
		}

		this.#currentRead = this.#readAndSchedulePoll(async () => this.#readRange());
		return this.#currentRead;
	}

	/** Gets the state of the connection to the platform. */
	getStatus(): FollowerStatus {
		return {isPlatformUp: this.#isPlatformUp, reads: this.#reads, failedReads: this.#failedReads};
	}

	/** Stops the watch and the polls. */
	close(): void {
		this.#isClosed = true;
		this.#timer?.close();
		this.#subscription.unsubscribe();
	}

	#handleEvent(event: WatchEvent): void {
		if (this.#isClosed) {
			return;
		}

		if (event.kind === 'up' || event.kind === 'down') {
			// Changes may have been missed while the watch was down; a poll also detects an unavailable platform immediately.
			void this.#pollAfterCurrentRead();
			return;
		}

		if (event.kind === 'put') {
			this.#knownRevisions.set(event.entry.key, event.entry.modRevision);
		} else {
			this.#knownRevisions.delete(event.key);
		}

		this.#options.onChange(event);
	}

	async #refreshAfter(read: Promise<boolean>): Promise<boolean> {
		await read;
		this.#queuedRead = undefined;
		return this.#isClosed ? false : this.refresh();
	}

	async #pollAfterCurrentRead(): Promise<void> {
		await this.#currentRead;
		await this.#poll();
	}

	async #poll(): Promise<void> {
		if (this.#isClosed) {
			return;
		}

		this.#currentRead ??= this.#readAndSchedulePoll(async () => this.#readDigest());
		await this.#currentRead;
	}

	async #readAndSchedulePoll(read: () => Promise<string>): Promise<boolean> {
		this.#timer?.close();
		const failure = await read();
		this.#currentRead = undefined;
		if (this.#isClosed) {
			return false;
		}

		this.#recordReadResult(failure);
		const delayMs = failure === '' ? this.#getPollDelay() : this.#backoff.getNextDelay();
		this.#timer = this.#clock.setTimer(() => {
			void this.#poll();
		}, delayMs);
		return failure === '';
	}

	/** Reads the digest, and the range when the digest shows an unknown change; resolves to the failure, or '' on success. */
	async #readDigest(): Promise<string> {
		const digest = await this.#options.platform.getDigest(this.#options.prefix);
		if (!digest.ok) {
			return `${digest.reason}: ${digest.detail}`;
		}

		const newestKnownRevision = Math.max(0, ...this.#knownRevisions.values());
		const isUnchanged = digest.value.newestModRevision === newestKnownRevision && digest.value.count === this.#knownRevisions.size;
		return isUnchanged ? '' : this.#readRange();
	}

	async #readRange(): Promise<string> {
		const range = await this.#options.platform.getRange(this.#options.prefix);
		if (!range.ok) {
			return `${range.reason}: ${range.detail}`;
		}

		if (!this.#isClosed) {
			this.#setKnownRevisions(range.value.entries);
			this.#options.onRange(range.value);
		}

		return '';
	}

	#setKnownRevisions(entries: readonly KeyValue[]): void {
		this.#knownRevisions.clear();
		for (const {key, modRevision} of entries) {
			this.#knownRevisions.set(key, modRevision);
		}
	}

	#recordReadResult(failure: string): void {
		const isUp = failure === '';
		this.#reads++;
		if (isUp) {
			this.#backoff.reset();
		} else {
			this.#failedReads++;
		}

		if (this.#isPlatformUp === isUp) {
			return;
		}

		this.#isPlatformUp = isUp;
		const {events, logger, subject} = this.#options;
		events?.addEvent(isUp ? 'platform-up' : 'platform-down', subject, failure);
		logger?.[isUp ? 'info' : 'warn']({subject, detail: failure}, isUp ? 'platform up' : 'platform down');
	}

	#getPollDelay(): number {
		return this.#pollMs * (1 - pollJitterShare + (2 * pollJitterShare * this.#random.getFloat()));
	}
}
