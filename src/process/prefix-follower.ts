/**
 * Follows the keys below a prefix of the platform's store by a watch and by a slow poll, since a watch can be silent.
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

/** A change below the prefix. */
export type PrefixChange = Extract<WatchEvent, {kind: 'put' | 'delete'}>;

/** What all followers are given. */
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
	/** What is followed, for events and logs. */
	readonly subject: string;
	readonly prefix: string;
	readonly onRange: (range: KeyRange) => void;
	readonly onChange: (change: PrefixChange) => void;
};

/** State of a follower's link to the platform. */
export type FollowerStatus = {
	/** Whether the last read worked; `undefined` before the first one has ended. */
	readonly isPlatformUp: boolean | undefined;
	readonly reads: number;
	readonly failedReads: number;
};

const defaultPollMs = 2500;

/** Share of the period by which a poll comes earlier or later. */
const pollJitterShare = 0.25;
const firstRetryDelayMs = 200;

/** Follows one prefix until it is closed. */
export class PrefixFollower {
	readonly #options: PrefixFollowerOptions;
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #pollMs: number;
	readonly #backoff: Backoff;
	/** Revision of each key's last known change; compared with the digest of a poll. */
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

	/** Reads the prefix, beginning not before now; resolves to whether that worked. */
	async refresh(): Promise<boolean> {
		if (this.#currentRead) {
			// The read that is under way may have begun before what the caller knows of.
			this.#queuedRead ??= this.#refreshAfter(this.#currentRead);
			return this.#queuedRead;
		}

		this.#currentRead = this.#readAndSchedulePoll(async () => this.#readRange());
		return this.#currentRead;
	}

	/** Gets the state of the link to the platform. */
	getStatus(): FollowerStatus {
		return {isPlatformUp: this.#isPlatformUp, reads: this.#reads, failedReads: this.#failedReads};
	}

	/** Ends the watch and the polls. */
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
			// Changes during a break may be unknown, and a platform that is away is noticed at once.
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

	/** Reads the digest, and the range when the digest shows an unknown change; resolves to why that failed, or ''. */
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
