/**
 * The dialling tasks of one process, one for each address.
 */
import {type Timer} from '../seams/index.js';
import {type MemberRecord} from './member-record.js';
import {type MemberTable} from './member-table.js';
import {PeerDialer} from './peer-dialer.js';
import {type PeerMeshSettings} from './peer-mesh-options.js';

/** Options of a {@link DialerSet}. */
export type DialerSetOptions = {
	readonly settings: PeerMeshSettings;
	readonly table: MemberTable;
	/** Connects to an address; returns the incarnation that answered, if one did. */
	readonly dial: (address: string) => Promise<string | undefined>;
};

/** Factor on the maximum backoff for a member that has been down for longer than `downRetentionMs`. */
const longDownBackoffFactor = 10;

/**
 * Runs a dialling task for each wanted address.
 * @internal
 */
export class DialerSet {
	readonly #options: DialerSetOptions;
	readonly #dialers = new Map<string, PeerDialer>();
	/** Incarnation that last answered at an address, which may differ from the address that it advertises. */
	readonly #answered = new Map<string, string>();
	/** Inverse map: addresses at which an incarnation was the last to answer. */
	readonly #answeredAddresses = new Map<string, Set<string>>();
	/** One timer for the tasks whose addresses are linked: each costs a VM as much as a message of a peer. */
	readonly #timer: Timer;
	#revision = 0;

	constructor(options: DialerSetOptions) {
		this.#options = options;
		const {clock, maxBackoffMs} = options.settings;
		this.#timer = clock.setRepeatingTimer(() => {
			for (const dialer of this.#dialers.values()) {
				dialer.checkLink();
			}
		}, maxBackoffMs);
	}

	/** Gets a revision number that increases when another incarnation answers at an address. */
	getRevision(): number {
		return this.#revision;
	}

	/**
	 * Starts and stops tasks so that each wanted address has exactly one.
	 * @param wanted - Addresses to keep links to.
	 */
	update(wanted: ReadonlySet<string>): void {
		for (const [address, dialer] of this.#dialers) {
			if (!wanted.has(address)) {
				dialer.close();
				this.#dialers.delete(address);
				this.#removeAnswerUnlessSeed(address);
			}
		}

		for (const address of wanted) {
			if (!this.#dialers.has(address)) {
				this.#addDialer(address);
			}
		}
	}

	/**
	 * Gets the member that last answered at an address; `undefined` if there is none in the table.
	 * @param address - Address that was dialled.
	 */
	getAnswered(address: string): MemberRecord | undefined {
		const id = this.#answered.get(address);
		return id === undefined ? undefined : this.#options.table.getRecord(id);
	}

	/**
	 * Gets whether a task keeps a link to a member.
	 * @param record - Member to check.
	 */
	hasDialer(record: MemberRecord): boolean {
		if (this.#dialers.has(record.address)) {
			return true;
		}

		// Called for each member at each tick, so it must not iterate over all addresses.
		const addresses = this.#answeredAddresses.get(record.incarnation.id);
		return addresses !== undefined && [...addresses].some(address => this.#dialers.has(address));
	}

	/**
	 * Ends the current wait of the tasks that keep a link to a member.
	 * @param record - Member to reconnect to.
	 */
	wake(record: MemberRecord): void {
		for (const [address, dialer] of this.#dialers) {
			if (this.#isAt(record, address)) {
				dialer.wake();
			}
		}
	}

	/** Stops all tasks; their links stay open. */
	close(): void {
		this.#timer.close();
		for (const dialer of this.#dialers.values()) {
			dialer.close();
		}
	}

	#addDialer(address: string): void {
		const {clock, random, minBackoffMs} = this.#options.settings;
		const dialer = new PeerDialer({
			clock,
			random,
			address,
			minBackoffMs,
			getMaxBackoffMs: () => this.#getMaxBackoffMs(address),
			isLinked: () => this.#getRecordsAt(address).some(record => record.getOpenLink()),
			dial: async () => this.#dial(address),
		});
		this.#dialers.set(address, dialer);
		void dialer.run();
	}

	async #dial(address: string): Promise<void> {
		const id = await this.#options.dial(address);
		if (id !== undefined) {
			this.#revision += Number(this.#answered.get(address) !== id);
			this.#setAnswer(address, id);
		}
	}

	/** Gets the members that advertise an address or last answered there. */
	#getRecordsAt(address: string): readonly MemberRecord[] {
		const records = [...this.#options.table.getRecordsAt(address)];
		const answered = this.getAnswered(address);
		return answered === undefined || records.includes(answered) ? records : [...records, answered];
	}

	#setAnswer(address: string, id: string): void {
		if (this.#answered.get(address) === id) {
			return;
		}

		this.#removeAnswer(address);
		this.#answered.set(address, id);
		const addresses = this.#answeredAddresses.get(id) ?? new Set();
		this.#answeredAddresses.set(id, addresses.add(address));
	}

	#removeAnswer(address: string): void {
		const id = this.#answered.get(address);
		if (id === undefined) {
			return;
		}

		this.#answered.delete(address);
		const addresses = this.#answeredAddresses.get(id);
		addresses?.delete(address);
		if (addresses?.size === 0) {
			this.#answeredAddresses.delete(id);
		}
	}

	#isAt({address: recordAddress, incarnation}: MemberRecord, address: string): boolean {
		return address === recordAddress || this.#answered.get(address) === incarnation.id;
	}

	/** Removes the answer recorded for an address, except for a seed: there it shows whether the seed is still needed. */
	#removeAnswerUnlessSeed(address: string): void {
		if (!this.#options.settings.seeds.includes(address)) {
			this.#removeAnswer(address);
		}
	}

	#getMaxBackoffMs(address: string): number {
		const {clock, downRetentionMs, maxBackoffMs} = this.#options.settings;
		const now = clock.getMonotonicTime();
		const isLongDown = this.#getRecordsAt(address).some(({state, downSince}) => state === 'down' && now - downSince > downRetentionMs);
		return isLongDown ? maxBackoffMs * longDownBackoffFactor : maxBackoffMs;
	}
}
