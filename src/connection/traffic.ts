/**
 * Counters of the bytes, messages and faults on the links of one process.
 */

/** Kind of a message that is sent without a body of its own; messages of other kinds carry data of components, jobs or answers. */
export type MessageKind = 'heartbeat' | 'keep-alive' | 'other';

/** Bytes and messages of one kind of connection. */
export type TrafficCounts = {
	/** Number of messages sent by kind; kinds that have not occurred are absent. */
	readonly sentByKind: Readonly<Partial<Record<MessageKind, number>>>;
	/** Number of writes to sockets; one contains all messages of a turn of the event loop over one connection. */
	readonly writes: number;
	readonly bytesSent: number;
	readonly bytesReceived: number;
	readonly messagesSent: number;
	readonly messagesReceived: number;
};

/** Why a process closed or rejected a link, or ignored a message. */
export type LinkFault =
	| 'garbage' | 'frame-too-long' | 'truncated' | 'handshake-timeout' | 'too-many-handshakes'
	| 'wrong-key' | 'wrong-deployment' | 'wrong-protocol' | 'wrong-incarnation'
	| 'duplicate-message' | 'duplicate-request' | 'buffer-full' | 'silent' | 'held-up';

/** Traffic of all links of one process. */
export type PeerTraffic = {
	readonly control: TrafficCounts;
	readonly job: TrafficCounts;
	/** Number of faults by kind; kinds that have not occurred are absent. */
	readonly faults: Readonly<Partial<Record<LinkFault, number>>>;
};

/**
 * Counts the traffic of one kind of connection.
 * @internal
 */
export class TrafficCounter {
	#bytesSent = 0;
	#bytesReceived = 0;
	#messagesSent = 0;
	#messagesReceived = 0;
	#writes = 0;
	readonly #sentByKind: Partial<Record<MessageKind, number>> = {};

	/**
	 * Adds one message sent.
	 * @param byteCount - Size of its frame in bytes.
	 * @param kind - Kind of the message.
	 */
	addSent(byteCount: number, kind: MessageKind = 'other'): void {
		this.#bytesSent += byteCount;
		this.#messagesSent++;
		this.#sentByKind[kind] = (this.#sentByKind[kind] ?? 0) + 1;
	}

	/** Adds one write to a socket. */
	addWrite(): void {
		this.#writes++;
	}

	/**
	 * Adds bytes received.
	 * @param byteCount - Number of bytes.
	 */
	addBytesReceived(byteCount: number): void {
		this.#bytesReceived += byteCount;
	}

	/** Adds one message received. */
	addMessageReceived(): void {
		this.#messagesReceived++;
	}

	/** Gets the counts. */
	getCounts(): TrafficCounts {
		return {
			sentByKind: {...this.#sentByKind},
			writes: this.#writes,
			bytesSent: this.#bytesSent,
			bytesReceived: this.#bytesReceived,
			messagesSent: this.#messagesSent,
			messagesReceived: this.#messagesReceived,
		};
	}
}

/**
 * Counts the traffic and the faults of all links of one process.
 * @internal
 */
export class TrafficMeter {
	readonly control = new TrafficCounter();
	readonly job = new TrafficCounter();
	readonly #faults = new Map<LinkFault, number>();

	/**
	 * Adds a fault.
	 * @param fault - Kind of the fault.
	 */
	addFault(fault: LinkFault): void {
		this.#faults.set(fault, (this.#faults.get(fault) ?? 0) + 1);
	}

	/** Gets the traffic so far. */
	getTraffic(): PeerTraffic {
		return {
			control: this.control.getCounts(),
			job: this.job.getCounts(),
			faults: Object.fromEntries(this.#faults),
		};
	}
}
