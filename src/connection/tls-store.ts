/**
 * Certificate, key and authorities of one listening address, read from files and read again when these change.
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
	/** Authorities of the other side's certificates (PEM); absent: the other side needs none. */
	readonly caFile?: string;
};

/** Contents of the files. */
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
	/** Time between looks at the files in milliseconds. */
	readonly pollIntervalMs?: number;
};

/** Counts of a {@link TlsStore}. */
export type TlsStoreCounters = {
	readonly reloads: number;
	/** Looks at the files that found them unreadable or not fitting together; the earlier contents stay in use. */
	readonly failedReloads: number;
};

type LoadResult = {readonly ok: true; readonly material: TlsMaterial} | {readonly ok: false; readonly detail: string};

const defaultPollMs = 5000;

/** Oldest version of the protocol that is spoken. */
export const minTlsVersion = 'TLSv1.2';

/** Keeps the material of one listening address up to date. */
export class TlsStore {
	readonly #options: TlsStoreOptions;
	readonly #timer: Timer;
	readonly #listeners = new Set<(material: TlsMaterial) => void>();
	#material: TlsMaterial;
	#reloads = 0;
	#failedReloads = 0;
	#failure = '';

	/** @internal */
	constructor(options: TlsStoreOptions, material: TlsMaterial) {
		this.#options = options;
		this.#material = material;
		this.#timer = (options.clock ?? systemClock).setRepeatingTimer(() => {
			void this.refresh();
		}, options.pollIntervalMs ?? defaultPollMs);
	}

	/** Gets whether the other side's certificate is checked. */
	get hasAuthorities(): boolean {
		return this.#material.ca !== undefined;
	}

	/** Gets the material in use. */
	getMaterial(): TlsMaterial {
		return this.#material;
	}

	/** Gets the counts so far. */
	getCounters(): TlsStoreCounters {
		return {reloads: this.#reloads, failedReloads: this.#failedReloads};
	}

	/**
	 * Adds a function that is given each new material.
	 * @param listener - Function to call.
	 */
	addListener(listener: (material: TlsMaterial) => void): void {
		this.#listeners.add(listener);
	}

	/**
	 * Removes a function.
	 * @param listener - Function that was added.
	 */
	removeListener(listener: (material: TlsMaterial) => void): void {
		this.#listeners.delete(listener);
	}

	/** Reads the files again; what cannot be used is passed over. */
	async refresh(): Promise<void> {
		const loaded = await loadMaterial(this.#options.files);
		if (!loaded.ok) {
			this.#failedReloads++;
			this.#logFailure(loaded.detail);
			return;
		}

		this.#failure = '';
		if (isSame(loaded.material, this.#material)) {
			return;
		}

		this.#material = loaded.material;
		this.#reloads++;
		this.#options.log?.info({certFile: this.#options.files.certFile}, 'certificate reloaded');
		for (const listener of this.#listeners) {
			listener(loaded.material);
		}
	}

	/** Stops looking at the files. */
	close(): void {
		this.#timer.close();
		this.#listeners.clear();
	}

	#logFailure(detail: string): void {
		if (detail !== this.#failure) {
			this.#failure = detail;
			this.#options.log?.warn({certFile: this.#options.files.certFile, detail}, 'certificate not reloaded');
		}
	}
}

/**
 * Creates a store out of files that can be used; rejects when they cannot.
 * @param options - Files and seams.
 */
export async function createTlsStore(options: TlsStoreOptions): Promise<TlsStore> {
	const loaded = await loadMaterial(options.files);
	if (!loaded.ok) {
		throw new Error(loaded.detail);
	}

	return new TlsStore(options, loaded.material);
}

/**
 * Gets why material cannot be used, or `undefined` when it can; the reason holds nothing of the key.
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

function isSame(first: TlsMaterial, second: TlsMaterial): boolean {
	return first.cert === second.cert && first.key === second.key && first.ca === second.ca;
}
