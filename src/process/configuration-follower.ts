/**
 * The configuration in force: the highest version received from the platform or from a peer.
 */
import {type Stream} from 'most';
import {getConfigurationKey, type KeyValue} from '../platform/index.js';
import {
	type Configuration, emptyConfiguration, parseConfiguration, parseStoredConfiguration,
} from '../version/index.js';
import {CurrentValue} from './current-value.js';
import {type FollowerOptions, type FollowerStatus, PrefixFollower} from './prefix-follower.js';

/** Options of a {@link ConfigurationFollower}. */
export type ConfigurationFollowerOptions = FollowerOptions;

/** Counters of a {@link ConfigurationFollower}. */
export type ConfigurationFollowerStatus = FollowerStatus & {
	readonly version: number;
	/** Number of values refused as invalid. */
	readonly refusedValues: number;
	/** Number of values whose version was lower than the one in force. */
	readonly olderValues: number;
};

/**
 * Creates a follower and starts its first read of the platform.
 * @param options - Platform, deployment, clock, random source and logging.
 */
export function createConfigurationFollower(options: ConfigurationFollowerOptions): ConfigurationFollower {
	return new ConfigurationFollower(options);
}

/** Follows the configuration and keeps its highest version. */
export class ConfigurationFollower {
	readonly #options: ConfigurationFollowerOptions;
	readonly #current = new CurrentValue<Configuration>(emptyConfiguration);
	readonly #key: string;
	readonly #follower: PrefixFollower;
	#refusedRevision = 0;
	#refusedValues = 0;
	#olderValues = 0;

	constructor(options: ConfigurationFollowerOptions) {
		this.#options = options;
		this.#key = getConfigurationKey(options.deployment);
		this.#follower = new PrefixFollower({
			...options,
			subject: 'configuration',
			prefix: this.#key,
			onRange: ({entries}) => {
				for (const entry of entries) {
					this.#applyEntry(entry);
				}
			},
			onChange: change => {
				if (change.kind === 'put') {
					this.#applyEntry(change.entry);
				}
			},
		});
	}

	/** Gets the configuration in force. */
	getConfiguration(): Configuration {
		return this.#current.get();
	}

	/** Gets a stream of the configurations in force, starting with the current one. */
	getStream(): Stream<Configuration> {
		return this.#current.getStream();
	}

	/**
	 * Applies a configuration received from a peer if it is valid and its version is higher than the one in force.
	 * @param value - Configuration as received.
	 * @returns Whether it was applied.
	 */
	offerConfiguration(value: unknown): boolean {
		const parsed = parseConfiguration(value);
		if (!parsed.ok) {
			this.#reportRefused('peer', parsed.detail);
			return false;
		}

		return this.#apply(parsed.value, 'peer');
	}

	/** Reads the platform now; resolves to whether the read succeeded. */
	async refresh(): Promise<boolean> {
		return this.#follower.refresh();
	}

	/** Gets the status and the counters. */
	getStatus(): ConfigurationFollowerStatus {
		return {
			...this.#follower.getStatus(), version: this.getConfiguration().version, refusedValues: this.#refusedValues, olderValues: this.#olderValues,
		};
	}

	/** Stops following the platform; the last configuration stays readable. */
	close(): void {
		this.#follower.close();
		this.#current.close();
	}

	#applyEntry({key, value, modRevision}: KeyValue): void {
		if (key !== this.#key || modRevision === this.#refusedRevision) {
			return;
		}

		const parsed = parseStoredConfiguration(value);
		if (parsed.ok) {
			this.#apply(parsed.value, 'platform');
			return;
		}

		this.#refusedRevision = modRevision;
		this.#reportRefused('platform', parsed.detail);
	}

	#apply(configuration: Configuration, source: string): boolean {
		const {version} = configuration;
		const versionInForce = this.getConfiguration().version;
		if (version <= versionInForce) {
			this.#olderValues += version < versionInForce ? 1 : 0;
			return false;
		}

		this.#options.events?.addEvent('version-in-force', String(version), source);
		this.#options.logger?.info({version, changeId: configuration.changeId, source}, 'configuration version in force');
		this.#current.set(configuration);
		return true;
	}

	#reportRefused(source: string, detail: string): void {
		const versionInForce = this.getConfiguration().version;
		this.#refusedValues++;
		this.#options.events?.addEvent('version-refused', source, detail);
		this.#options.logger?.warn({source, detail, version: versionInForce}, 'invalid configuration refused; the version in force stays');
	}
}
