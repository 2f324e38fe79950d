/**
 * Stores the configuration for operators: the current version under one key, earlier versions under a bounded number of
 * history keys. A version is archived before it is replaced, so that no accepted version is missing from the history.
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
	/** Time for which a write is retried until its outcome is known, in milliseconds. */
	readonly outcomeTimeoutMs?: number;
};

/** The current version with the revision and text that a change of it needs. */
export type StoredConfiguration = {
	readonly configuration: Configuration;
	/** Modification revision of the key; 0 when no version has been accepted yet. */
	readonly modRevision: number;
	readonly text: string;
};

/** A change to write. */
export type ConfigurationChange = {
	/** Version that the change is based on. */
	readonly base: StoredConfiguration;
	readonly declarations: Declarations;
	readonly author: string;
	readonly message: string;
	/** Number of the new version; one above the base when absent. */
	readonly version?: number;
};

/** Outcome of a change. */
export type ChangeOutcome =
	| {readonly kind: 'accepted'; readonly configuration: Configuration}
	/** Accepted, and since replaced by a later version. */
	| {readonly kind: 'replaced'; readonly configuration: Configuration; readonly current: Configuration}
	/** Another change based on the same version was accepted first; nothing was written. */
	| {readonly kind: 'refused'; readonly current: Configuration}
	/** The change is invalid or the value too long; nothing was written. */
	| {readonly kind: 'invalid'; readonly detail: string}
	/** The write failed, and it is certain that nothing was written. */
	| {readonly kind: 'unavailable'; readonly detail: string}
	/** The answer was lost, and the outcome could not be determined in time. */
	| {readonly kind: 'unknown'; readonly changeId: string; readonly detail: string};

/** Number of versions kept in the history besides the current one. */
export const historyLength = 50;

const defaultOutcomeTimeoutMs = 10_000;
const changeIdBytes = 8;

/** Reads and changes the configuration. */
export class ConfigurationStore {
	readonly #platform: Platform;
	readonly #deployment: string;
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #outcomeTimeoutMs: number;

	constructor(options: ConfigurationStoreOptions) {
		this.#platform = options.platform;
		this.#deployment = options.deployment;
		this.#clock = options.clock ?? systemClock;
		this.#random = options.random ?? systemRandom;
		this.#outcomeTimeoutMs = options.outcomeTimeoutMs ?? defaultOutcomeTimeoutMs;
	}

	/** Gets the current version; version 0 when none has been accepted yet. */
	async getCurrent(): Promise<PlatformResult<StoredConfiguration>> {
		const result = await this.#platform.getKey(getConfigurationKey(this.#deployment));
		return result.ok ? toStoredConfiguration(result.value) : result;
	}

	/** Gets the kept versions including the current one, newest first. */
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
		const archived = range.value.entries.flatMap(({value}) => tryParseConfiguration(value) ?? []).filter(({version}) => version < configuration.version);
		const versions = configuration.version > 0 ? [configuration, ...archived] : archived;
		return {ok: true, value: versions.sort((left, right) => right.version - left.version)};
	}

	/**
	 * Writes a change as the next version if its base is still the current version.
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

		const deadline = this.#clock.getMonotonicTime() + this.#outcomeTimeoutMs;
		const fault = await this.#archiveVersion(base, deadline);
		if (fault) {
			return {kind: 'unavailable', detail: `version ${base.configuration.version} could not be written to the history: ${fault.detail}`};
		}

		return this.#write(configuration, base.modRevision, deadline);
	}

	async #write(configuration: Configuration, modRevision: number, deadline: number): Promise<ChangeOutcome> {
		const backoff = new Backoff({random: this.#random});
		const key = getConfigurationKey(this.#deployment);
		const text = JSON.stringify(configuration);
		let isPossiblyWritten = false;
		for (;;) {
			// Every attempt expects the same revision, so at most one of them takes effect.
			const result = await this.#platform.compareAndSwap(key, text, modRevision);
			if (result.ok) {
				return result.value.swapped ? {kind: 'accepted', configuration} : this.#determineOutcome(configuration, result.value.current, isPossiblyWritten);
			}

			isPossiblyWritten ||= result.reason === 'ambiguous';
			const changedEntry = isPossiblyWritten ? await this.#readIfChanged(key, modRevision) : undefined;
			if (changedEntry) {
				return this.#determineOutcome(configuration, changedEntry, true);
			}

			if (!shouldRetry(result) || this.#clock.getMonotonicTime() >= deadline) {
				return isPossiblyWritten ? {kind: 'unknown', changeId: configuration.changeId, detail: result.detail} : toOutcome(result);
			}

			await sleep(this.#clock, backoff.getNextDelay());
		}
	}

	/** Gets the entry if it has changed since a revision; a stale read proves nothing and counts as unchanged. */
	async #readIfChanged(key: string, modRevision: number): Promise<KeyValue | undefined> {
		const result = await this.#platform.getKey(key);
		return result.ok && result.value && result.value.modRevision > modRevision ? result.value : undefined;
	}

	/** Determines whether an earlier attempt or another operator's change has changed the revision of the key. */
	async #determineOutcome(submitted: Configuration, stored: KeyValue | undefined, isPossiblyWritten: boolean): Promise<ChangeOutcome> {
		const current = stored && tryParseConfiguration(stored.value);
		if (!current) {
			return {kind: 'unknown', changeId: submitted.changeId, detail: 'the stored value is not valid'};
		}

		if (current.changeId === submitted.changeId) {
			return {kind: 'accepted', configuration: submitted};
		}

		if (!isPossiblyWritten) {
			return {kind: 'refused', current};
		}

		return this.#findInHistory(submitted, current);
	}

	/** Searches the history for the submitted change: a version is always archived before it is replaced. */
	async #findInHistory(submitted: Configuration, current: Configuration): Promise<ChangeOutcome> {
		if (current.version <= submitted.version) {
			return {kind: 'refused', current};
		}

		const historyEntry = await this.#platform.getKey(this.#getHistoryKey(submitted.version));
		const archived = historyEntry.ok && historyEntry.value ? tryParseConfiguration(historyEntry.value.value) : undefined;
		if (archived?.version !== submitted.version) {
			return {kind: 'unknown', changeId: submitted.changeId, detail: `version ${submitted.version} could not be read from the history`};
		}

		return archived.changeId === submitted.changeId ? {kind: 'replaced', configuration: submitted, current} : {kind: 'refused', current};
	}

	async #archiveVersion({configuration, text}: StoredConfiguration, deadline: number): Promise<PlatformFault | undefined> {
		if (configuration.version === 0) {
			return undefined;
		}

		const backoff = new Backoff({random: this.#random});
		for (;;) {
			const fault = await this.#archiveOnce(configuration.version, text);
			if (!fault || !shouldRetry(fault) || this.#clock.getMonotonicTime() >= deadline) {
				return fault;
			}

			await sleep(this.#clock, backoff.getNextDelay());
		}
	}

	async #archiveOnce(version: number, text: string): Promise<PlatformFault | undefined> {
		const key = this.#getHistoryKey(version);
		const historyEntry = await this.#platform.getKey(key);
		if (!historyEntry.ok) {
			return historyEntry;
		}

		const archived = historyEntry.value && tryParseConfiguration(historyEntry.value.value);
		if (archived && archived.version >= version) {
			return undefined;
		}

		const result = await this.#platform.compareAndSwap(key, text, historyEntry.value?.modRevision ?? 0);
		if (!result.ok) {
			return result;
		}

		// Another operator archived this version or a later one concurrently; the next attempt reads which.
		return result.value.swapped ? undefined : this.#archiveOnce(version, text);
	}

	#getHistoryKey(version: number): string {
		const position = String(version % historyLength).padStart(2, '0');
		return `${getHistoryPrefix(this.#deployment)}${position}`;
	}
}

function toOutcome({reason, detail}: PlatformFault): ChangeOutcome {
	return {kind: reason === 'invalid' ? 'invalid' : 'unavailable', detail};
}

function shouldRetry({reason}: PlatformFault): boolean {
	return reason !== 'invalid' && reason !== 'closed';
}

function toStoredConfiguration(entry: KeyValue | undefined): PlatformResult<StoredConfiguration> {
	if (!entry) {
		return {ok: true, value: {configuration: emptyConfiguration, modRevision: 0, text: ''}};
	}

	const parsed = parseStoredConfiguration(entry.value);
	if (!parsed.ok) {
		return {ok: false, reason: 'invalid', detail: `the stored configuration is not valid: ${parsed.detail}`};
	}

	return {ok: true, value: {configuration: parsed.value, modRevision: entry.modRevision, text: entry.value}};
}

function tryParseConfiguration(text: string): Configuration | undefined {
	const parsed = parseStoredConfiguration(text);
	return parsed.ok ? parsed.value : undefined;
}
