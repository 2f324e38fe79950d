/**
 * Leases of the platform's stand-in.
 */
import {type Clock, type Timer} from '../seams/index.js';
import {createHeader, leaseRequestSchema} from './etcd-stand-in-messages.js';
import {type EtcdStandInStore} from './etcd-stand-in-store.js';

type Lease = {
	readonly ttlSeconds: number;
	readonly timer: Timer;
};

/** Grants leases and deletes their keys when they expire or are revoked. */
export class EtcdStandInLeases {
	readonly #store: EtcdStandInStore;
	readonly #clock: Clock;
	readonly #leases = new Map<number, Lease>();
	#nextId = 1;

	constructor(store: EtcdStandInStore, clock: Clock) {
		this.#store = store;
		this.#clock = clock;
	}

	/**
	 * Grants a lease.
	 * @param json - Request.
	 */
	grant(json: unknown): unknown {
		const request = leaseRequestSchema.parse(json);
		const id = request.ID || this.#nextId++;
		this.#startTimer(id, request.TTL);
		return {header: createHeader(this.#store.getRevision()), ID: String(id), TTL: String(request.TTL)};
	}

	/**
	 * Renews a lease; the answer for an expired lease has a time to live of 0.
	 * @param json - Request.
	 */
	keepAlive(json: unknown): unknown {
		const {ID: id} = leaseRequestSchema.parse(json);
		const ttlSeconds = this.#leases.get(id)?.ttlSeconds ?? 0;
		if (ttlSeconds > 0) {
			this.#startTimer(id, ttlSeconds);
		}

		return {result: {header: createHeader(this.#store.getRevision()), ID: String(id), TTL: String(ttlSeconds)}};
	}

	/**
	 * Revokes a lease and deletes its keys.
	 * @param json - Request.
	 */
	revoke(json: unknown): unknown {
		this.#endLease(leaseRequestSchema.parse(json).ID);
		return {header: createHeader(this.#store.getRevision())};
	}

	/** Cancels all timers. */
	close(): void {
		for (const {timer} of this.#leases.values()) {
			timer.close();
		}

		this.#leases.clear();
	}

	#startTimer(id: number, ttlSeconds: number): void {
		this.#leases.get(id)?.timer.close();
		const timer = this.#clock.setTimer(() => {
			this.#endLease(id);
		}, ttlSeconds * 1000);
		this.#leases.set(id, {ttlSeconds, timer});
	}

	#endLease(id: number): void {
		this.#leases.get(id)?.timer.close();
		this.#leases.delete(id);
		const keys = this.#store.getRange({key: '', rangeEnd: '\u{FF}\u{FF}'}).filter(({lease}) => lease === id);
		this.#store.commit(keys.map(({key}) => ({kind: 'delete', range: {key}})));
	}
}
