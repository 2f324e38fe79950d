import {type Sink, Stream} from 'most';
import {
	type KeyRange, type Platform, type PlatformResult, type WatchEvent,
} from '../../src/platform/index.js';

/** A platform whose watch events and range are set by the test. */
export class FakePlatform implements Platform {
	readonly #sinks = new Set<Sink<WatchEvent>>();
	#range: PlatformResult<KeyRange> = {ok: false, reason: 'unavailable', detail: 'not set'};

	setRange(range: KeyRange): void {
		this.#range = {ok: true, value: range};
	}

	emit(event: WatchEvent): void {
		for (const sink of this.#sinks) {
			sink.event(0, event);
		}
	}

	watch(): Stream<WatchEvent> {
		return new Stream({
			run: sink => {
				this.#sinks.add(sink);
				return {
					dispose: () => {
						this.#sinks.delete(sink);
					},
				};
			},
		});
	}

	async getRange(): Promise<PlatformResult<KeyRange>> {
		return this.#range;
	}

	async getKey(): ReturnType<Platform['getKey']> {
		return this.#range.ok ? {ok: true, value: this.#range.value.entries[0]} : this.#range;
	}

	async getDigest(): ReturnType<Platform['getDigest']> {
		return {ok: false, reason: 'unavailable', detail: 'not implemented'};
	}

	async compareAndSwap(): ReturnType<Platform['compareAndSwap']> {
		return {ok: false, reason: 'unavailable', detail: 'not implemented'};
	}

	getCallCount(): number {
		return 0;
	}

	async close(): Promise<void> {
		this.#sinks.clear();
	}
}
