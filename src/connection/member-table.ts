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
	/** Maximum bytes of unacknowledged control messages buffered for one member. */
	readonly maxBufferBytes: number;
	/** Maximum size of the frame of a control message, in bytes. */
	readonly maxFrameBytes: number;
	/** Called when a member goes down. */
	readonly onDown: (record: MemberRecord) => void;
	/** Called when a member is removed from the table. */
	readonly onRemove: (record: MemberRecord) => void;
};

/** Maximum number of members that are down and kept; the one that has been down longest is removed first. */
const maxDownMembers = 256;

const noRecords: ReadonlySet<MemberRecord> = new Set();

const eventKinds: Readonly<Record<MemberState, EventKind>> = {up: 'peer-up', silent: 'peer-silent', down: 'peer-down'};

/**
 * Stores the other incarnations with their states and publishes changes.
 * @internal
 */
export class MemberTable {
	readonly #options: MemberTableOptions;
	readonly #records = new Map<string, MemberRecord>();
	/** Records by address; several incarnations may have been seen at one address. */
	readonly #recordsAt = new Map<string, Set<MemberRecord>>();
	readonly #members = new CurrentValue<readonly Member[]>([]);
	#recordList: readonly MemberRecord[] | undefined;
	#revision = 0;
	/** Nesting depth of {@link MemberTable.batchChanges}, and whether a change has not been emitted yet. */
	#batchDepth = 0;
	#isChanged = false;

	constructor(options: MemberTableOptions) {
		this.#options = options;
	}

	/** Gets a revision number that increases with each change. */
	getRevision(): number {
		return this.#revision;
	}

	/** Gets the members. */
	getMembers(): readonly Member[] {
		return this.#members.get();
	}

	/** Gets a stream of the members: the current ones, then those after each change. */
	getStream(): Stream<readonly Member[]> {
		return this.#members.getStream();
	}

	/** Gets all records. */
	getRecords(): readonly MemberRecord[] {
		this.#recordList ??= [...this.#records.values()];
		return this.#recordList;
	}

	/**
	 * Gets the record of an incarnation; `undefined` if it is not in the table.
	 * @param id - Identifier of the incarnation.
	 */
	getRecord(id: string): MemberRecord | undefined {
		return this.#records.get(id);
	}

	/**
	 * Gets the records of the incarnations at an address.
	 * @param address - Address to match.
	 */
	getRecordsAt(address: string): ReadonlySet<MemberRecord> {
		return this.#recordsAt.get(address) ?? noRecords;
	}

	/**
	 * Gets the record of an incarnation, and creates it if there is none.
	 * @param incarnation - Incarnation to find or add.
	 * @param address - Address for a new record.
	 */
	getOrAddRecord(incarnation: Incarnation, address: string): MemberRecord {
		const existing = this.#records.get(incarnation.id);
		if (existing) {
			return existing;
		}

		const {clock, maxBufferBytes, maxFrameBytes} = this.#options;
		const record = new MemberRecord(incarnation, address, {now: clock.getMonotonicTime(), maxBufferBytes, maxFrameBytes});
		this.#records.set(incarnation.id, record);
		this.#recordList = undefined;
		this.#addToAddress(record);
		this.#publish();
		return record;
	}

	/**
	 * Sets the state of a member.
	 * @param record - Member to change.
	 * @param state - New state.
	 * @param detail - Reason, for the event and the log.
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
	 * Sets the status that a member published.
	 * @param record - Member to change.
	 * @param status - Published status.
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
	 * Removes the members that have been down for longer than a limit and are not expected back, and the excess over the maximum number.
	 * @param downRetentionMs - Time for which a down member is kept, in milliseconds.
	 * @param isDeparted - Returns whether a member is not expected back.
	 */
	removeDeparted(downRetentionMs: number, isDeparted: (record: MemberRecord) => boolean): void {
		if (this.getRecords().every(({state}) => state !== 'down')) {
			return;
		}

		const now = this.#options.clock.getMonotonicTime();
		const down = this.getRecords().filter(({state}) => state === 'down').toSorted((a, b) => b.downSince - a.downSince);
		const departed = down.filter((record, index) => index >= maxDownMembers || (now - record.downSince > downRetentionMs && isDeparted(record)));
		for (const record of departed) {
			this.#records.delete(record.incarnation.id);
			this.#recordList = undefined;
			this.#removeFromAddress(record);
			this.#options.onRemove(record);
		}

		if (departed.length > 0) {
			this.#publish();
		}
	}

	/**
	 * Makes several changes that the stream emits once, at their end: a report contains tens of members, and subscribers of the stream elect
	 * the owners of all pools at each change.
	 * @param change - Makes the changes synchronously.
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

/** Compares by value: views of several reporters contain equal claims in distinct objects, which are compared with each heartbeat. */
function haveSameClaims(a: MemberStatus['claims'], b: MemberStatus['claims']): boolean {
	if (a === b) {
		return true;
	}

	const names = Object.keys(a);
	return names.length === Object.keys(b).length && names.every(name => a[name] === b[name]);
}
