/**
 * Certificate, key and certificate authorities of one listening address, loaded from files and reloaded when these change.
 */
import {readFile} from 'node:fs/promises';
import {createSecureContext} from 'node:tls';
import type Logger from 'bunyan';
import {type Clock, systemClock, type Timer} from '../seams/index.js';

/** Files of one listening address. */
export type TlsFiles = {
	/** Certificate chain (PEM). */
	readonly certFile: string;
	/** Private key (PEM). */
	readonly keyFile: string;
	/** Authorities that sign the remote certificates (PEM); when absent, the remote side needs no certificate. */
	readonly caFile?: string;
};

/** Contents of the files, in PEM. */
export type TlsMaterial = {
	readonly cert: string;
	readonly key: string;
	readonly ca?: string;
};

/** Options of a {@link TlsStore}. */
export type TlsStoreOptions = {
	readonly files: TlsFiles;
	readonly clock?: Clock;
	readonly log?: Logger;
	/** Interval at which the files are read, in milliseconds. */
	readonly pollIntervalMs?: number;
};

/** Counters of a {@link TlsStore}. */
export type TlsStoreCounters = {
	readonly reloads: number;
	/** Reads that found files unreadable or not matching each other; the previous contents stay in use. */
	readonly failedReloads: number;
};

type LoadResult = {readonly ok: true; readonly material: TlsMaterial} | {readonly ok: false; readonly detail: string};

const defaultPollIntervalMs = 5000;

/** Minimum TLS version that is accepted. */
export const minTlsVersion = 'TLSv1.2';

/** Holds the current TLS material of one listening address and reloads it when its files change. */
export class TlsStore {
	readonly #options: TlsStoreOptions;
	readonly #timer: Timer;
	readonly #listeners = new Set<(material: TlsMaterial) => void>();
	#material: TlsMaterial;
	#reloads = 0;
	#failedReloads = 0;
	#lastFailure = '';

	/** @internal */
	constructor(options: TlsStoreOptions, material: TlsMaterial) {
		this.#options = options;
		this.#material = material;
		this.#timer = (options.clock ?? systemClock).setRepeatingTimer(() => {
			void this.refresh();
		}, options.pollIntervalMs ?? defaultPollIntervalMs);
	}

	/** Whether remote certificates are verified. */
	get hasAuthorities(): boolean {
		return this.#material.ca !== undefined;
	}

	/** Gets the material in use. */
	getMaterial(): TlsMaterial {
		return this.#material;
	}

	/** Gets the current counters. */
	getCounters(): TlsStoreCounters {
		return {reloads: this.#reloads, failedReloads: this.#failedReloads};
	}

	/**
	 * Adds a function that is called with the material after each reload.
	 * @param listener - Function to call.
	 */
	addListener(listener: (material: TlsMaterial) => void): void {
		this.#listeners.add(listener);
	}

	/**
	 * Removes a listener.
	 * @param listener - Function that was added before.
	 */
	removeListener(listener: (material: TlsMaterial) => void): void {
		this.#listeners.delete(listener);
	}

	/** Reads the files again; contents that cannot be used are logged and ignored. */
	async refresh(): Promise<void> {
		const loaded = await loadMaterial(this.#options.files);
		if (!loaded.ok) {
			this.#failedReloads++;
			this.#logFailure(loaded.detail);
			return;
		}

		this.#lastFailure = '';
		if (isSameMaterial(loaded.material, this.#material)) {
			return;
		}

		this.#material = loaded.material;
		this.#reloads++;
		this.#options.log?.info({certFile: this.#options.files.certFile}, 'certificate reloaded');
		for (const listener of this.#listeners) {
			listener(loaded.material);
		}
	}

	/** Stops polling the files and removes all listeners. */
	close(): void {
		this.#timer.close();
		this.#listeners.clear();
	}

	#logFailure(detail: string): void {
		if (detail !== this.#lastFailure) {
			this.#lastFailure = detail;
			this.#options.log?.warn({certFile: this.#options.files.certFile, detail}, 'certificate not reloaded');
		}
	}
}

/**
 * Creates a store; rejects when the files cannot be used.
 * @param options - Files, clock and logger.
 */
export async function createTlsStore(options: TlsStoreOptions): Promise<TlsStore> {
	const loaded = await loadMaterial(options.files);
	if (!loaded.ok) {
		throw new Error(loaded.detail);
	}

	return new TlsStore(options, loaded.material);
}

/**
 * Gets the reason why material cannot be used, `undefined` when it can. The reason never contains parts of the key.
 * @param material - Contents of the files.
 */
export function findTlsFault(material: TlsMaterial): string | undefined {
	try {
		createSecureContext({...material, minVersion: minTlsVersion});
		return undefined;
	} catch (err) {
		return `certificate and key cannot be used: ${(err as NodeJS.ErrnoException).code ?? 'invalid'}`;
	}
}

async function loadMaterial({certFile, keyFile, caFile}: TlsFiles): Promise<LoadResult> {
	try {
		const [cert, key, ca] = await Promise.all([
			readFile(certFile, 'utf8'),
			readFile(keyFile, 'utf8'),
			caFile === undefined ? undefined : readFile(caFile, 'utf8'),
		]);
		const material = {cert, key, ca};
		const fault = findTlsFault(material);
		return fault === undefined ? {ok: true, material} : {ok: false, detail: fault};
	} catch (err) {
		return {ok: false, detail: (err as Error).message};
	}
}

function isSameMaterial(first: TlsMaterial, second: TlsMaterial): boolean {
	return first.cert === second.cert && first.key === second.key && first.ca === second.ca;
}
