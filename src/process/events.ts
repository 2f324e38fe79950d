/**
 * The event log of one process: typed events in a ring buffer, each with a sequence number and a logical time.
 */
import {type Clock, systemClock} from '../seams/index.js';

/** Kinds of events. */
export type EventKind =
	| 'job-accepted' | 'job-refused' | 'job-joined' | 'job-ended' | 'job-cancelled' | 'job-forwarded'
	| 'task-started' | 'task-ended' | 'task-retried'
	| 'lease-asked' | 'lease-granted' | 'lease-returned' | 'lease-void'
	| 'peer-up' | 'peer-silent' | 'peer-down' | 'peer-rejected' | 'owners-changed'
	| 'upstream-ejected' | 'upstream-probed' | 'upstream-restored' | 'upstream-leaving'
	| 'records-handed-over' | 'records-taken-over'
	| 'version-in-force' | 'version-refused' | 'platform-up' | 'platform-down' | 'process-paused' | 'process-stopping';

/** One event of the log. */
export type TimelineEvent = {
	/** Sequence number in this process, starting at 0 and without gaps. */
	readonly sequence: number;
	/**
	 * Hybrid logical clock in microseconds: close to the wall clock, and greater than that of every event that may have caused
	 * this one, even when the clocks of the VMs differ.
	 */
	readonly logicalTime: number;
	/** Wall-clock time in milliseconds since the Unix epoch. */
	readonly time: number;
	readonly process: string;
	readonly kind: EventKind;
	/** Job, upstream, peer or version that the event is about. */
	readonly subject: string;
	readonly detail: string;
};

/** Options of an {@link EventLog}. */
export type EventLogOptions = {
	readonly clock?: Clock;
	/** Name of this process in the events. */
	readonly process: string;
	/** Number of events kept; the oldest one is overwritten. */
	readonly capacity?: number;
};

const defaultCapacity = 20_000;
const microsecondsPerMillisecond = 1000;

/** Stores the latest events of this process. */
export class EventLog {
	readonly #clock: Clock;
	readonly #process: string;
	readonly #capacity: number;
	readonly #ring: TimelineEvent[] = [];
	#sequence = 0;
	#logicalTime = 0;

	constructor(options: EventLogOptions) {
		this.#clock = options.clock ?? systemClock;
		this.#process = options.process;
		this.#capacity = options.capacity ?? defaultCapacity;
	}

	/**
	 * Adds an event.
	 * @param kind - Kind of the event.
	 * @param subject - What the event is about.
	 * @param detail - Free text.
	 */
	addEvent(kind: EventKind, subject: string, detail = ''): void {
		const time = this.#clock.getTime();
		this.#logicalTime = Math.max(this.#logicalTime + 1, Math.floor(time * microsecondsPerMillisecond));
		this.#ring[this.#sequence % this.#capacity] = {
			sequence: this.#sequence,
			logicalTime: this.#logicalTime,
			time,
			process: this.#process,
			kind,
			subject,
			detail,
		};
		this.#sequence++;
	}

	/** Gets the logical time to send with a message to another process. */
	getLogicalTime(): number {
		return this.#logicalTime;
	}

	/**
	 * Advances the logical time to that of a received message.
	 * @param logicalTime - Logical time in the message.
	 */
	observeLogicalTime(logicalTime: number): void {
		this.#logicalTime = Math.max(this.#logicalTime, logicalTime);
	}

	/**
	 * Gets the kept events from a sequence number on, oldest first.
	 * @param fromSequence - Lowest sequence number to get.
	 */
	getEvents(fromSequence = 0): readonly TimelineEvent[] {
		const firstSequence = Math.max(fromSequence, this.#sequence - this.#capacity, 0);
		const events: TimelineEvent[] = [];
		for (let sequence = firstSequence; sequence < this.#sequence; sequence++) {
			events.push(this.#ring[sequence % this.#capacity]!);
		}

		return events;
	}
}
