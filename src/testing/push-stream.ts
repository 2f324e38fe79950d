import {Stream} from 'most';

/** A stream whose values are pushed explicitly; a new observer immediately receives the last one. */
export type PushStream<T> = {
	readonly stream: Stream<T>;
	/**
	 * Emits a value to all observers synchronously.
	 * @param value - Value to emit.
	 */
	push(value: T): void;
};

/**
 * Creates a stream for tests and measurements.
 * @param initialValue - First value.
 */
export function createPushStream<T>(initialValue: T): PushStream<T> {
	const observers = new Set<(value: T) => void>();
	let lastValue = initialValue;
	const stream = new Stream<T>({
		run(sink, scheduler) {
			const observer = (value: T): void => {
				sink.event(scheduler.now(), value);
			};

			observers.add(observer);
			observer(lastValue);
			return {
				dispose() {
					observers.delete(observer);
				},
			};
		},
	});
	return {
		stream,
		push(value) {
			lastValue = value;
			for (const observer of observers) {
				observer(value);
			}
		},
	};
}
