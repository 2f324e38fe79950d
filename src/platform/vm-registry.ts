/**
 * The entry VMs registered in the store, which lets them discover each other beyond the seeds of their settings.
 */
import {Stream} from 'most';
import * as z from 'zod';
import {type DecisionLog} from '../pool/index.js';
import {type Clock, sleep} from '../seams/index.js';
import {addressSchema} from './address-schema.js';
import {parseJson} from './decode-configuration.js';
import {type StoreClient, type StoredItem} from './store-client.js';
import {type ListedEntryVm} from './vm-list.js';

const prefix = 'vms/';

/** Delay between attempts to register this VM, in milliseconds. */
const retryDelayMs = 500;

/** Interval between reads, in milliseconds; linked VMs also inform each other of new ones, so reads are only a fallback. */
const readIntervalMs = 10_000;

const entrySchema = z.object({
	name: z.string().min(1), dataCenter: z.string(), peerAddress: addressSchema, callerAddress: z.string(),
});

/** Options of {@link VmRegistry}. */
export type VmRegistryOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly store: StoreClient;
	/** Called with the registered entry VMs after each read. */
	readonly onRead: (listed: readonly ListedEntryVm[]) => void;
	/** Called with the store's revision of each registration of this VM. */
	readonly onRegistered?: (revision: number) => void;
	readonly self: Pick<ListedEntryVm, 'name' | 'dataCenter' | 'peerAddress' | 'callerAddress'>;
};

/** Registers this VM and reads the registered VMs. */
export class VmRegistry {
	readonly #options: VmRegistryOptions;
	readonly #closing = new AbortController();
	readonly #listeners = new Set<(listed: readonly ListedEntryVm[]) => void>();

	constructor(options: VmRegistryOptions) {
		this.#options = options;
	}

	/** Gets a stream of the registered entry VMs, with one event after each read. */
	getStream(): Stream<readonly ListedEntryVm[]> {
		return new Stream({
			run: (sink, scheduler) => {
				const listener = (listed: readonly ListedEntryVm[]): void => {
					sink.event(scheduler.now(), listed);
				};

				this.#listeners.add(listener);
				return {
					dispose: () => {
						this.#listeners.delete(listener);
					},
				};
			},
		});
	}

	/** Registers this VM and reads the list until `close`; registers again when the entry is missing or was overwritten by an invalid one. */
	async run(): Promise<void> {
		const {clock, self} = this.#options;
		const {signal} = this.#closing;
		void this.#read();
		await this.#register();
		while (!signal.aborted) {
			await sleep(clock, readIntervalMs, signal);
			const listed = await this.#read();
			if (listed?.every(({name}) => name !== self.name)) {
				await this.#register();
			}
		}
	}

	/** Stops reading; the registration is kept, since the VM may restart under the same name. */
	close(): void {
		this.#closing.abort();
	}

	/** Registers this VM, with further attempts until one succeeds. */
	async #register(): Promise<void> {
		const {clock, store, self, log, onRegistered} = this.#options;
		const {signal} = this.#closing;
		while (!signal.aborted) {
			const result = await store.setItem(`${prefix}${self.name}`, JSON.stringify(self));
			if (result.ok) {
				onRegistered?.(result.value.revision);
				break;
			}

			log.info({reason: result.reason, detail: result.detail}, 'failed to register');
			await sleep(clock, retryDelayMs, signal);
		}
	}

	/** Reads the registered VMs; returns `undefined` if the read fails. */
	async #read(): Promise<readonly ListedEntryVm[] | undefined> {
		const result = await this.#options.store.getRange(prefix);
		if (!result.ok) {
			this.#options.log.info({reason: result.reason, detail: result.detail}, 'failed to read the registered VMs');
			return undefined;
		}

		const listed = result.value.items.flatMap(item => this.#decode(item) ?? []);
		this.#options.onRead(listed);
		for (const listener of this.#listeners) {
			listener(listed);
		}

		return listed;
	}

	/** Decodes an entry; an invalid one is logged and skipped. */
	#decode({key, value}: StoredItem): ListedEntryVm | undefined {
		const {data} = entrySchema.safeParse(parseJson(value));
		if (data === undefined || key !== `${prefix}${data.name}`) {
			this.#options.log.info({key}, 'invalid entry of a registered VM');
			return undefined;
		}

		return {
			...data, kind: 'entry', state: 'live', operatorAddress: data.callerAddress,
		};
	}
}
