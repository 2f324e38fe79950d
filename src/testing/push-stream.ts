import {Stream} from 'most';

/** A stream whose values are pushed by hand; a new observer gets the last one at once. */
export type PushStream<T> = {
	readonly stream: Stream<T>;
	/**
	 * Gives a value to all observers before it returns.
	 * @param value - Value to give.
	 */
	push(value: T): void;
};

/**
 * Creates a stream for tests and measurements.
 * @param initialValue - First value.
 */
export function createPushStream<T>(initialValue: T): PushStream<T> {
	const observers = new Set<(value: T) => void>();
	let last = initialValue;
	const stream = new Stream<T>({
		run(sink, scheduler) {
			const observer = (value: T): void => {
				sink.event(scheduler.now(), value);
			};

			observers.add(observer);
			observer(last);
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
			last = value;
			for (const observer of observers) {
				observer(value);
			}
		},
	};
}
