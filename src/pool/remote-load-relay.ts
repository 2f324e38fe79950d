/**
 * Passing on of the loads of pools of other data centres within the data centre. When not all VMs are linked, only a few VMs receive them: those with a link to
 * another data centre, and those that exchanged a job or a task with a pool there.
 */
import {type Incarnation, type RelayedItem} from '../connection/index.js';
import {type Clock} from '../seams/index.js';
import {type DecisionLog} from './decision-log.js';
import {maxFullMeshVms} from './heartbeat-interval.js';
import {decodeRelayedLoads, maxRelayedLoads} from './pool-decoding.js';
import {type PoolDirectory, type ReceivedLoad} from './pool-directory.js';
import {type PoolLoad} from './pool-scheduler.js';

/** Options of {@link RemoteLoadRelay}. */
export type RemoteLoadRelayOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly dataCenter: string;
	readonly directory: Pick<PoolDirectory, 'addRelayedLoad' | 'getReceivedRemoteLoads'>;
	/** Gets the number of VMs of all data centres that are up. */
	readonly getVmCount: () => number;
};

/** What became of a load of another data centre's pool: passed on, recorded, known already or too old, or not valid. */
export type RelayVerdict = 'sent' | 'recorded' | 'ignored' | 'invalid';

/** Number of loads of one verdict, by the upper bound of the age class in milliseconds. */
export type RelayCount = {readonly verdict: RelayVerdict; readonly upToMs: number; readonly count: number};

/** The load of a pool that was last passed on, by this VM or by another one. */
type LastLoad = ReceivedLoad & {
	/** 0 if another VM passed it on. */
	readonly revision: number;
};

/** Minimum time between two loads of a pool that are passed on, in milliseconds: one heartbeat. */
const minIntervalMs = 100;

/** Time after which an unchanged load is passed on again, in milliseconds: a third of the time after which it expires. */
const renewalMs = 1000;

/** Maximum number of free capacities that are passed on for a pool, the largest ones: a job that needs more rarely finds them free together. */
const maxRooms = 16;

/** Upper bounds of the age classes, in milliseconds: a heartbeat at the highest rate, one between data centres, and older ones. */
const ageBoundsMs = [100, 200, 500, 1000, 2000];

const logIntervalMs = 1000;

/** Chooses the loads to pass on, and records those that other VMs pass on. */
export class RemoteLoadRelay {
	readonly #options: RemoteLoadRelayOptions;
	readonly #last = new Map<string, LastLoad>();
	readonly #counts = new Map<string, {readonly verdict: RelayVerdict; readonly upToMs: number; count: number}>();
	/** Numbers since the last line of the log, and the highest age of a recorded load among them. */
	readonly #unlogged = new Map<RelayVerdict, number>();
	#oldestMs = 0;
	#loggedAt = -Infinity;
	#revision = 0;

	constructor(options: RemoteLoadRelayOptions) {
		this.#options = options;
	}

	/**
	 * Gets the loads to pass on with the next heartbeats, with their age: those that have changed, and unchanged ones from time to time. Loads that another VM
	 * has passed on are not passed on a second time.
	 */
	getItems(): readonly RelayedItem[] {
		const {clock, directory, getVmCount} = this.#options;
		if (getVmCount() <= maxFullMeshVms) {
			return [];
		}

		const now = clock.getMonotonicTime();
		const received = directory.getReceivedRemoteLoads().toSorted((a, b) => b.receivedAt - a.receivedAt).slice(0, maxRelayedLoads);
		for (const load of received) {
			if (isDue(load, this.#last.get(load.pool))) {
				this.#revision++;
				this.#last.set(load.pool, {...load, revision: this.#revision});
				this.#count('sent', now - load.receivedAt);
			}
		}

		return received.flatMap(({pool}) => {
			const last = this.#last.get(pool);
			return last === undefined || last.revision === 0 ? [] : toItem(last, now);
		});
	}

	/**
	 * Records the loads that a VM of this data centre passes on.
	 * @param value - Parsed JSON value; what is not valid is ignored.
	 * @param from - Sender.
	 */
	handleRelayed(value: unknown, from: Incarnation): void {
		const {clock, dataCenter, directory} = this.#options;
		const {loads, invalidCount} = decodeRelayedLoads(value);
		if (invalidCount > 0 || from.dataCenter !== dataCenter) {
			this.#count('invalid', 0, Math.max(1, invalidCount));
		}

		const now = clock.getMonotonicTime();
		for (const {pool, fence, load, ageMs} of from.dataCenter === dataCenter ? loads : []) {
			const received = {
				pool, fence, load, receivedAt: now - ageMs,
			};
			const isRecorded = directory.addRelayedLoad(received);
			if (isRecorded) {
				this.#last.set(pool, {...received, revision: 0});
			}

			this.#count(isRecorded ? 'recorded' : 'ignored', ageMs);
		}

		this.#logCounts(from, now);
	}

	/** Gets the numbers so far. */
	getCounts(): readonly RelayCount[] {
		return [...this.#counts.values()].map(({verdict, upToMs, count}) => ({verdict, upToMs, count}));
	}

	/** Logs the numbers since the last line, at most once a second. */
	#logCounts(from: Incarnation, now: number): void {
		if (now - this.#loggedAt < logIntervalMs) {
			return;
		}

		this.#loggedAt = now;
		const {recorded = 0, ignored = 0, invalid = 0} = Object.fromEntries(this.#unlogged);
		const log = this.#options.log[invalid > 0 ? 'warn' : 'debug'].bind(this.#options.log);
		log({
			lastPeer: from.id, recorded, ignored, invalid, oldestMs: Math.round(this.#oldestMs),
		}, 'loads of other data centres received from peers');
		this.#unlogged.clear();
		this.#oldestMs = 0;
	}

	#count(verdict: RelayVerdict, ageMs: number, added = 1): void {
		const upToMs = ageBoundsMs.find(bound => ageMs <= bound) ?? Infinity;
		const key = `${verdict} ${upToMs}`;
		const entry = this.#counts.get(key) ?? {verdict, upToMs, count: 0};
		entry.count += added;
		this.#unlogged.set(verdict, (this.#unlogged.get(verdict) ?? 0) + added);
		this.#oldestMs = verdict === 'recorded' ? Math.max(this.#oldestMs, ageMs) : this.#oldestMs;
		this.#counts.set(key, entry);
	}
}

function isDue({load, fence, receivedAt}: ReceivedLoad, last: LastLoad | undefined): boolean {
	if (last === undefined || fence > last.fence) {
		return true;
	}

	const sinceMs = receivedAt - last.receivedAt;
	return sinceMs >= renewalMs || (sinceMs >= minIntervalMs && !isSameLoad(load, last.load));
}

function isSameLoad(a: PoolLoad, b: PoolLoad): boolean {
	return a === b || JSON.stringify(roundForRelay(a)) === JSON.stringify(roundForRelay(b));
}

function toItem({
	pool, fence, load, receivedAt, revision,
}: LastLoad, now: number): RelayedItem {
	return {name: pool, revision, value: {fence, ageMs: Math.ceil(now - receivedAt), load: roundForRelay(load)}};
}

/** Rounds a load, and leaves out all but the largest free capacities. */
function roundForRelay({cores, freeCpu, rooms, queuedWork}: PoolLoad): PoolLoad {
	return {
		cores,
		freeCpu: Math.max(0, Math.round(freeCpu)),
		rooms: rooms.map(room => Math.round(room)).toSorted((a, b) => b - a).slice(0, maxRooms),
		queuedWork: Math.max(0, Math.round(queuedWork)),
	};
}
