/**
 * The other incarnations known to this process.
 */
import type Logger from 'bunyan';
import {type Stream} from 'most';
import {CurrentValue} from '../process/current-value.js';
import {type EventKind, type EventLog} from '../process/events.js';
import {type Clock} from '../seams/index.js';
import {type MemberStatus} from './control-messages.js';
import {MemberRecord} from './member-record.js';
import {type Incarnation, type Member, type MemberState} from './peer-network.js';

/** Options of a {@link MemberTable}. */
export type MemberTableOptions = {
	readonly clock: Clock;
	readonly events: EventLog;
	readonly log?: Logger;
	/** Bytes of control messages kept for one member. */
	readonly maxBufferBytes: number;
	/** Longest control message. */
	readonly maxFrameBytes: number;
	/** Called when a member goes down. */
	readonly onDown: (record: MemberRecord) => void;
	/** Called when a member is forgotten. */
	readonly onRemove: (record: MemberRecord) => void;
};

/** Down members kept beyond those that the list names. */
const maxDownMembers = 256;

const noRecords: ReadonlySet<MemberRecord> = new Set();

const eventKinds: Readonly<Record<MemberState, EventKind>> = {up: 'peer-up', silent: 'peer-silent', down: 'peer-down'};

/**
 * Keeps the other incarnations with their states and tells of changes.
 * @internal
 */
export class MemberTable {
	readonly #options: MemberTableOptions;
	readonly #records = new Map<string, MemberRecord>();
	/** The same by address, where more than one incarnation may have been seen. */
	readonly #recordsAt = new Map<string, Set<MemberRecord>>();
	readonly #members = new CurrentValue<readonly Member[]>([]);
	#revision = 0;
	/** Calls of {@link MemberTable.batchChanges} in progress, and whether one of them changed a member. */
	#batchDepth = 0;
	#isChanged = false;

	constructor(options: MemberTableOptions) {
		this.#options = options;
	}

	/** Gets a number that rises with each change. */
	getRevision(): number {
		return this.#revision;
	}

	/** Gets the members. */
	getMembers(): readonly Member[] {
		return this.#members.get();
	}

	/** Gets the members now and after each change. */
	getStream(): Stream<readonly Member[]> {
		return this.#members.getStream();
	}

	/** Gets all records. */
	getRecords(): readonly MemberRecord[] {
		return [...this.#records.values()];
	}

	/**
	 * Gets the record of an incarnation.
	 * @param id - Identifier of the incarnation.
	 */
	getRecord(id: string): MemberRecord | undefined {
		return this.#records.get(id);
	}

	/**
	 * Gets the records of the incarnations whose address is the one given.
	 * @param address - Address.
	 */
	getRecordsAt(address: string): ReadonlySet<MemberRecord> {
		return this.#recordsAt.get(address) ?? noRecords;
	}

	/**
	 * Gets the record of an incarnation, made anew where there is none.
	 * @param incarnation - Incarnation wanted.
	 * @param address - Address at which it was seen.
	 */
	getOrAddRecord(incarnation: Incarnation, address: string): MemberRecord {
		const known = this.#records.get(incarnation.id);
		if (known) {
			return known;
		}

		const {clock, maxBufferBytes, maxFrameBytes} = this.#options;
		const record = new MemberRecord(incarnation, address, {now: clock.getMonotonicTime(), maxBufferBytes, maxFrameBytes});
		this.#records.set(incarnation.id, record);
		this.#addToAddress(record);
		this.#publish();
		return record;
	}

	/**
	 * Sets the state of a member.
	 * @param record - Member to change.
	 * @param state - New state.
	 * @param detail - Why it changes.
	 */
	setState(record: MemberRecord, state: MemberState, detail: string): void {
		if (record.state === state) {
			return;
		}

		const {clock, events, log} = this.#options;
		record.state = state;
		events.addEvent(eventKinds[state], record.incarnation.id, detail);
		log?.info({peer: record.incarnation.id, state, detail}, 'peer changed state');
		if (state === 'down') {
			record.downSince = clock.getMonotonicTime();
			record.channel.clear();
			this.#options.onDown(record);
		}

		this.#publish();
	}

	/**
	 * Sets what a member tells of itself.
	 * @param record - Member to change.
	 * @param status - What it tells.
	 */
	setStatus(record: MemberRecord, status: MemberStatus): void {
		const {configurationVersion, isLeaving, claims, cores} = status;
		if (record.configurationVersion === configurationVersion && record.isLeaving === isLeaving && record.cores === cores
			&& haveSameClaims(record.claims, claims)) {
			return;
		}

		record.configurationVersion = configurationVersion;
		record.isLeaving = isLeaving;
		record.claims = claims;
		record.cores = cores;
		this.#publish();
	}

	/**
	 * Sets the address of a member.
	 * @param record - Member to change.
	 * @param address - New address.
	 */
	setAddress(record: MemberRecord, address: string): void {
		if (record.address !== address) {
			this.#removeFromAddress(record);
			record.address = address;
			this.#addToAddress(record);
			this.#publish();
		}
	}

	/**
	 * Removes the members that have been down for a time and are not expected back.
	 * @param downRetentionMs - Time for which they have been down.
	 * @param isDeparted - Tells whether a member is not expected back.
	 */
	removeDeparted(downRetentionMs: number, isDeparted: (record: MemberRecord) => boolean): void {
		const now = this.#options.clock.getMonotonicTime();
		const down = this.getRecords().filter(({state}) => state === 'down').toSorted((a, b) => b.downSince - a.downSince);
		const departed = down.filter((record, index) => index >= maxDownMembers || (now - record.downSince > downRetentionMs && isDeparted(record)));
		for (const record of departed) {
			this.#records.delete(record.incarnation.id);
			this.#removeFromAddress(record);
			this.#options.onRemove(record);
		}

		if (departed.length > 0) {
			this.#publish();
		}
	}

	/**
	 * Makes changes of which the stream tells once, at their end: a report names tens of members, and who follows the stream elects the owners
	 * of all pools at each change.
	 * @param change - Makes the changes, before it returns.
	 */
	batchChanges(change: () => void): void {
		this.#batchDepth++;
		try {
			change();
		} finally {
			this.#batchDepth--;
			if (this.#batchDepth === 0 && this.#isChanged) {
				this.#emit();
			}
		}
	}

	/** Ends the streams. */
	close(): void {
		this.#members.close();
	}

	#addToAddress(record: MemberRecord): void {
		const recordsAtAddress = this.#recordsAt.get(record.address) ?? new Set();
		this.#recordsAt.set(record.address, recordsAtAddress.add(record));
	}

	#removeFromAddress(record: MemberRecord): void {
		const recordsAtAddress = this.#recordsAt.get(record.address);
		recordsAtAddress?.delete(record);
		if (recordsAtAddress?.size === 0) {
			this.#recordsAt.delete(record.address);
		}
	}

	#publish(): void {
		this.#revision++;
		this.#isChanged = true;
		if (this.#batchDepth === 0) {
			this.#emit();
		}
	}

	#emit(): void {
		this.#isChanged = false;
		this.#members.set(this.getRecords().map(record => record.toMember()));
	}
}

/** Views of several reporters hold equal claims in objects of their own, which are compared with each heartbeat. */
function haveSameClaims(a: MemberStatus['claims'], b: MemberStatus['claims']): boolean {
	if (a === b) {
		return true;
	}

	const names = Object.keys(a);
	return names.length === Object.keys(b).length && names.every(name => a[name] === b[name]);
}
