/**
 * A changing value that can be read at any time and observed as a stream.
 */
import {type Scheduler, type Sink, Stream} from 'most';

type Subscriber<T> = {
	readonly sink: Sink<T>;
	readonly scheduler: Scheduler;
	hasReceivedFirst: boolean;
};

/** Holds a value and emits each new value to its subscribers. */
export class CurrentValue<T> {
	readonly #subscribers = new Set<Subscriber<T>>();
	#value: T;
	#isClosed = false;

	constructor(value: T) {
		this.#value = value;
	}

	/** Gets the current value. */
	get(): T {
		return this.#value;
	}

	/**
	 * Sets the value and emits it to the subscribers; has no effect after `close`.
	 * @param value - New value.
	 */
	set(value: T): void {
		if (this.#isClosed) {
			return;
		}

		this.#value = value;
		for (const subscriber of this.#subscribers) {
			if (subscriber.hasReceivedFirst) {
				this.#emit(subscriber);
			}
		}
	}

	/** Gets a stream that starts with the current value shortly after subscription and ends with `close`. */
	getStream(): Stream<T> {
		return new Stream<T>({
			run: (sink, scheduler) => this.#addSubscriber({sink, scheduler, hasReceivedFirst: false}),
		});
	}

	/** Ends all streams; the last value stays readable. */
	close(): void {
		this.#isClosed = true;
		for (const subscriber of this.#subscribers) {
			if (subscriber.hasReceivedFirst) {
				this.#end(subscriber);
			}
		}
	}

	#addSubscriber(subscriber: Subscriber<T>): {dispose: () => void} {
		this.#subscribers.add(subscriber);
		// A most source must not emit before `run` has returned.
		queueMicrotask(() => {
			this.#emitFirst(subscriber);
		});
		return {
			dispose: () => {
				this.#subscribers.delete(subscriber);
			},
		};
	}

	#emitFirst(subscriber: Subscriber<T>): void {
		if (!this.#subscribers.has(subscriber)) {
			return;
		}

		subscriber.hasReceivedFirst = true;
		this.#emit(subscriber);
		if (this.#isClosed) {
			this.#end(subscriber);
		}
	}

	#emit({sink, scheduler}: Subscriber<T>): void {
		const time = scheduler.now();
		try {
			sink.event(time, this.#value);
		} catch (err) {
			sink.error(time, err as Error);
		}
	}

	#end(subscriber: Subscriber<T>): void {
		this.#subscribers.delete(subscriber);
		subscriber.sink.end(subscriber.scheduler.now());
	}
}
