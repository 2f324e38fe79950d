/**
 * The configuration as operators read and change it: the present version under one key, earlier ones under a bounded
 * number of others. A version is kept before it is replaced, so that no accepted version is missing from the history.
 */
import {
	getConfigurationKey, getHistoryPrefix, type KeyValue, type Platform, type PlatformFault, type PlatformResult,
} from '../platform/index.js';
import {
	Backoff, type Clock, type Random, sleep, systemClock, systemRandom,
} from '../seams/index.js';
import {
	type Configuration, type Declarations, emptyConfiguration, parseConfiguration, parseStoredConfiguration,
} from '../version/index.js';

/** Options of a {@link ConfigurationStore}. */
export type ConfigurationStoreOptions = {
	readonly platform: Platform;
	readonly deployment: string;
	readonly clock?: Clock;
	readonly random?: Random;
	/** Time in which a write is tried again until its outcome is known, in milliseconds. */
	readonly outcomeTimeoutMs?: number;
};

/** The present version and what a change of it needs. */
export type StoredConfiguration = {
	readonly configuration: Configuration;
	/** Revision of the key; 0 when no version was accepted yet. */
	readonly modRevision: number;
	readonly text: string;
};

/** A change to be accepted. */
export type ConfigurationChange = {
	/** Version that the change was made from. */
	readonly base: StoredConfiguration;
	readonly declarations: Declarations;
	readonly author: string;
	readonly message: string;
	/** Number of the new version; one above the base when absent. */
	readonly version?: number;
};

/** What became of a change. */
export type ChangeOutcome =
	| {readonly kind: 'accepted'; readonly configuration: Configuration}
	/** Accepted, and replaced by a later version since. */
	| {readonly kind: 'replaced'; readonly configuration: Configuration; readonly current: Configuration}
	/** Another change of the same version was accepted first; nothing was written. */
	| {readonly kind: 'refused'; readonly current: Configuration}
	/** The change is not valid, or the value too long; nothing was written. */
	| {readonly kind: 'invalid'; readonly detail: string}
	/** Proven that nothing was written. */
	| {readonly kind: 'unavailable'; readonly detail: string}
	/** The answer was lost, and the outcome could not be settled in time. */
	| {readonly kind: 'unknown'; readonly changeId: string; readonly detail: string};

/** Versions kept besides the present one. */
export const historyLength = 50;

const defaultSettleMs = 10_000;
const changeIdBytes = 8;

/** Reads and changes the configuration. */
export class ConfigurationStore {
	readonly #platform: Platform;
	readonly #deployment: string;
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #settleMs: number;

	constructor(options: ConfigurationStoreOptions) {
		this.#platform = options.platform;
		this.#deployment = options.deployment;
		this.#clock = options.clock ?? systemClock;
		this.#random = options.random ?? systemRandom;
		this.#settleMs = options.outcomeTimeoutMs ?? defaultSettleMs;
	}

	/** Gets the present version; version 0 when none was accepted yet. */
	async getCurrent(): Promise<PlatformResult<StoredConfiguration>> {
		const result = await this.#platform.getKey(getConfigurationKey(this.#deployment));
		return result.ok ? toStored(result.value) : result;
	}

	/** Gets the kept versions, the present one included, newest first. */
	async getHistory(): Promise<PlatformResult<readonly Configuration[]>> {
		const current = await this.getCurrent();
		if (!current.ok) {
			return current;
		}

		const range = await this.#platform.getRange(getHistoryPrefix(this.#deployment));
		if (!range.ok) {
			return range;
		}

		const {configuration} = current.value;
		const kept = range.value.entries.flatMap(({value}) => parseOrNothing(value) ?? []).filter(({version}) => version < configuration.version);
		const all = configuration.version > 0 ? [configuration, ...kept] : kept;
		return {ok: true, value: all.sort((left, right) => right.version - left.version)};
	}

	/**
	 * Writes a change as the next version, if the version that it was made from is still the present one.
	 * @param change - Change to write.
	 */
	async applyChange(change: ConfigurationChange): Promise<ChangeOutcome> {
		const {base, declarations, author, message, version = base.configuration.version + 1} = change;
		const configuration: Configuration = {
			version, changeId: this.#random.getHex(changeIdBytes), author, message, changedAt: this.#clock.getTime(), declarations,
		};
		const checked = parseConfiguration(configuration);
		if (!checked.ok) {
			return {kind: 'invalid', detail: checked.detail};
		}

		const deadline = this.#clock.getMonotonicTime() + this.#settleMs;
		const fault = await this.#keepVersion(base, deadline);
		if (fault) {
			return {kind: 'unavailable', detail: `version ${base.configuration.version} could not be kept in the history: ${fault.detail}`};
		}

		return this.#write(configuration, base.modRevision, deadline);
	}

	async #write(configuration: Configuration, modRevision: number, deadline: number): Promise<ChangeOutcome> {
		const backoff = new Backoff({random: this.#random});
		const key = getConfigurationKey(this.#deployment);
		const text = JSON.stringify(configuration);
		let isMaybeWritten = false;
		for (;;) {
			// The same revision is expected each time, so at most one of the tries takes effect.
			const result = await this.#platform.compareAndSwap(key, text, modRevision);
			if (result.ok) {
				return result.value.swapped ? {kind: 'accepted', configuration} : this.#explain(configuration, result.value.current, isMaybeWritten);
			}

			isMaybeWritten ||= result.reason === 'ambiguous';
			const later = isMaybeWritten ? await this.#readLater(key, modRevision) : undefined;
			if (later) {
				return this.#explain(configuration, later, true);
			}

			if (!shouldRetry(result) || this.#clock.getMonotonicTime() >= deadline) {
				return isMaybeWritten ? {kind: 'unknown', changeId: configuration.changeId, detail: result.detail} : toOutcome(result);
			}

			await sleep(this.#clock, backoff.getNextDelay());
		}
	}

	/** Gets the key if it has changed since a revision; a read at an older revision tells nothing. */
	async #readLater(key: string, modRevision: number): Promise<KeyValue | undefined> {
		const result = await this.#platform.getKey(key);
		return result.ok && result.value && result.value.modRevision > modRevision ? result.value : undefined;
	}

	/** Tells whether an earlier try or another operator's change is why the key has another revision. */
	async #explain(ours: Configuration, stored: KeyValue | undefined, isMaybeWritten: boolean): Promise<ChangeOutcome> {
		const current = stored && parseOrNothing(stored.value);
		if (!current) {
			return {kind: 'unknown', changeId: ours.changeId, detail: 'the stored value is not valid'};
		}

		if (current.changeId === ours.changeId) {
			return {kind: 'accepted', configuration: ours};
		}

		if (!isMaybeWritten) {
			return {kind: 'refused', current};
		}

		return this.#findInHistory(ours, current);
	}

	/** Whoever replaced our version has kept it before. */
	async #findInHistory(ours: Configuration, current: Configuration): Promise<ChangeOutcome> {
		if (current.version <= ours.version) {
			return {kind: 'refused', current};
		}

		const slot = await this.#platform.getKey(this.#getHistoryKey(ours.version));
		const kept = slot.ok && slot.value ? parseOrNothing(slot.value.value) : undefined;
		if (kept?.version !== ours.version) {
			return {kind: 'unknown', changeId: ours.changeId, detail: `version ${ours.version} could not be read from the history`};
		}

		return kept.changeId === ours.changeId ? {kind: 'replaced', configuration: ours, current} : {kind: 'refused', current};
	}

	async #keepVersion({configuration, text}: StoredConfiguration, deadline: number): Promise<PlatformFault | undefined> {
		if (configuration.version === 0) {
			return undefined;
		}

		const backoff = new Backoff({random: this.#random});
		for (;;) {
			const fault = await this.#keepOnce(configuration.version, text);
			if (!fault || !shouldRetry(fault) || this.#clock.getMonotonicTime() >= deadline) {
				return fault;
			}

			await sleep(this.#clock, backoff.getNextDelay());
		}
	}

	async #keepOnce(version: number, text: string): Promise<PlatformFault | undefined> {
		const key = this.#getHistoryKey(version);
		const slot = await this.#platform.getKey(key);
		if (!slot.ok) {
			return slot;
		}

		const kept = slot.value && parseOrNothing(slot.value.value);
		if (kept && kept.version >= version) {
			return undefined;
		}

		const result = await this.#platform.compareAndSwap(key, text, slot.value?.modRevision ?? 0);
		if (!result.ok) {
			return result;
		}

		// Another operator has kept this version or a later one in between; the next round tells which.
		return result.value.swapped ? undefined : this.#keepOnce(version, text);
	}

	#getHistoryKey(version: number): string {
		const slot = String(version % historyLength).padStart(2, '0');
		return `${getHistoryPrefix(this.#deployment)}${slot}`;
	}
}

function toOutcome({reason, detail}: PlatformFault): ChangeOutcome {
	return {kind: reason === 'invalid' ? 'invalid' : 'unavailable', detail};
}

function shouldRetry({reason}: PlatformFault): boolean {
	return reason !== 'invalid' && reason !== 'closed';
}

function toStored(entry: KeyValue | undefined): PlatformResult<StoredConfiguration> {
	if (!entry) {
		return {ok: true, value: {configuration: emptyConfiguration, modRevision: 0, text: ''}};
	}

	const parsed = parseStoredConfiguration(entry.value);
	if (!parsed.ok) {
		return {ok: false, reason: 'invalid', detail: `the stored configuration is not valid: ${parsed.detail}`};
	}

	return {ok: true, value: {configuration: parsed.value, modRevision: entry.modRevision, text: entry.value}};
}

function parseOrNothing(text: string): Configuration | undefined {
	const parsed = parseStoredConfiguration(text);
	return parsed.ok ? parsed.value : undefined;
}
