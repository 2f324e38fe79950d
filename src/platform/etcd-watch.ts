/**
 * Watch of one prefix. It resumes from the last revision after an interruption, reads the prefix again after a compaction,
 * and replaces a stream that has been silent for too long.
 */
import {
	type Backoff, type Clock, sleep, type Timer,
} from '../seams/index.js';
import {type EtcdChunks, type EtcdClient, type OpenCall} from './etcd-client.js';
import {
	createPrefixRequest, createWatchRequest, decodeKeyValue, rangeAnswerSchema, type WatchMessage, watchMessageSchema,
} from './etcd-messages.js';
import {type KeyRange, type PlatformResult, type WatchEvent} from './platform.js';
import {createFault, describeError} from './platform-fault.js';

/** Options of an {@link EtcdWatch}. */
export type EtcdWatchOptions = {
	readonly client: EtcdClient;
	readonly clock: Clock;
	readonly backoff: Backoff;
	readonly prefix: string;
	/** Time without a message after which the stream is replaced, in milliseconds. */
	readonly silenceMs: number;
	readonly onEvent: (event: WatchEvent) => void;
};

/** Reason for the end of a step of the watch that did not fail. */
type StreamEnd = 'started' | 'silent' | 'compacted';

/** Maximum length of a watch message in characters. */
const maxMessageLength = 33_554_432;

/** Watches one prefix until it is closed. */
export class EtcdWatch {
	readonly #options: EtcdWatchOptions;
	readonly #closing = new AbortController();
	/** Revision of the last known change of each key, from which changes lost in a compaction are derived. */
	readonly #knownRevisions = new Map<string, number>();
	#stream: OpenCall | undefined;
	#nextRevision = 0;
	#isUp = false;

	constructor(options: EtcdWatchOptions) {
		this.#options = options;
	}

	/** Watches the prefix; resolves after `close`. */
	async run(): Promise<void> {
		while (!this.#closing.signal.aborted) {
			const end = await this.#runOnce();
			if (end.ok) {
				continue;
			}

			this.#setDown(end.detail);
			await sleep(this.#options.clock, this.#options.backoff.getNextDelay(), this.#closing.signal);
		}
	}

	/** Stops the watch; no event is emitted afterwards. */
	close(): void {
		this.#closing.abort();
		this.#stream?.close();
	}

	async #runOnce(): Promise<PlatformResult<StreamEnd>> {
		if (this.#nextRevision === 0) {
			const started = await this.#readKeys();
			if (!started.ok) {
				return started;
			}
		}

		const end = await this.#runStream();
		if (end.ok && end.value === 'compacted') {
			return this.#resynchronize();
		}

		return end;
	}

	async #readKeys(): Promise<PlatformResult<StreamEnd>> {
		const range = await this.#readRange(true);
		if (!range.ok) {
			return range;
		}

		for (const entry of range.value.entries) {
			this.#knownRevisions.set(entry.key, entry.modRevision);
		}

		this.#nextRevision = range.value.revision + 1;
		return {ok: true, value: 'started'};
	}

	async #resynchronize(): Promise<PlatformResult<StreamEnd>> {
		const range = await this.#readRange(false);
		if (!range.ok) {
			return range;
		}

		const {revision, entries} = range.value;
		if (revision + 1 < this.#nextRevision) {
			return createFault('unavailable', 'the prefix was read at an old revision');
		}

		this.#emitDifference(range.value);
		this.#knownRevisions.clear();
		for (const entry of entries) {
			this.#knownRevisions.set(entry.key, entry.modRevision);
		}

		this.#nextRevision = revision + 1;
		return {ok: true, value: 'compacted'};
	}

	#emitDifference({revision, entries}: KeyRange): void {
		const present = new Set(entries.map(entry => entry.key));
		for (const key of this.#knownRevisions.keys()) {
			if (!present.has(key)) {
				this.#emit({kind: 'delete', key, modRevision: revision});
			}
		}

		for (const entry of entries) {
			if (entry.modRevision !== this.#knownRevisions.get(entry.key)) {
				this.#emit({kind: 'put', entry});
			}
		}
	}

	async #readRange(isKeysOnly: boolean): Promise<PlatformResult<KeyRange>> {
		const body = createPrefixRequest(this.#options.prefix, isKeysOnly);
		const result = await this.#options.client.read({path: '/v3/kv/range', body, schema: rangeAnswerSchema});
		if (!result.ok) {
			return result;
		}

		const entries = result.value.kvs.map(kv => decodeKeyValue(kv));
		return {ok: true, value: {revision: result.value.header.revision, entries}};
	}

	async #runStream(): Promise<PlatformResult<StreamEnd>> {
		const body = createWatchRequest(this.#options.prefix, this.#nextRevision);
		const opened = await this.#options.client.open('/v3/watch', body);
		if (!opened.ok) {
			return opened;
		}

		this.#stream = opened.value;
		if (this.#closing.signal.aborted) {
			this.#stream.close();
		}

		const end = await this.#readStream(opened.value);
		opened.value.close();
		this.#stream = undefined;
		return end;
	}

	async #readStream(stream: OpenCall): Promise<PlatformResult<StreamEnd>> {
		let isSilent = false;
		const startTimer = (): Timer => this.#options.clock.setTimer(() => {
			isSilent = true;
			stream.close();
		}, this.#options.silenceMs);
		let timer = startTimer();
		try {
			return await this.#readMessages(stream.chunks, () => {
				timer.close();
				timer = startTimer();
			});
		} catch (err) {
			this.#options.client.rotateEndpoint();
			// Replacing a silent stream does not count as an interruption unless the next stream fails.
			return isSilent && this.#isUp ? {ok: true, value: 'silent'} : createFault('unavailable', describeError(err));
		} finally {
			timer.close();
		}
	}

	async #readMessages(chunks: EtcdChunks, onMessage: () => void): Promise<PlatformResult<StreamEnd>> {
		for await (const message of splitMessages(chunks)) {
			onMessage();
			const end = this.#handleMessage(message);
			if (end) {
				return end;
			}
		}

		return createFault('unavailable', 'the watch ended');
	}

	#handleMessage(line: string): PlatformResult<StreamEnd> | undefined {
		const parsed = watchMessageSchema.safeParse(JSON.parse(line));
		if (!parsed.success) {
			return createFault('invalid', `unexpected message of a watch: ${parsed.error.issues[0]?.message ?? ''}`);
		}

		const message = parsed.data.result;
		if (message.compact_revision > 0) {
			return {ok: true, value: 'compacted'};
		}

		if (message.canceled) {
			return createFault('unavailable', `the watch was cancelled: ${message.cancel_reason}`);
		}

		this.#setUp();
		this.#handleEvents(message);
		return undefined;
	}

	#handleEvents(message: WatchMessage): void {
		for (const {type, kv} of message.events) {
			const entry = decodeKeyValue(kv);
			this.#nextRevision = Math.max(this.#nextRevision, entry.modRevision + 1);
			if (type === 'DELETE') {
				this.#knownRevisions.delete(entry.key);
				this.#emit({kind: 'delete', key: entry.key, modRevision: entry.modRevision});
			} else {
				this.#knownRevisions.set(entry.key, entry.modRevision);
				this.#emit({kind: 'put', entry});
			}
		}

		const isProgress = message.events.length === 0 && !message.created;
		if (isProgress) {
			this.#nextRevision = Math.max(this.#nextRevision, message.header.revision + 1);
		}
	}

	#setUp(): void {
		this.#options.backoff.reset();
		if (!this.#isUp) {
			this.#isUp = true;
			this.#emit({kind: 'up'});
		}
	}

	#setDown(detail: string): void {
		if (this.#isUp) {
			this.#isUp = false;
			this.#emit({kind: 'down', detail});
		}
	}

	#emit(event: WatchEvent): void {
		if (!this.#closing.signal.aborted) {
			this.#options.onEvent(event);
		}
	}
}

async function * splitMessages(chunks: EtcdChunks): AsyncGenerator<string> {
	const decoder = new TextDecoder();
	let incompleteLine = '';
	for await (const chunk of chunks) {
		incompleteLine += decoder.decode(chunk, {stream: true});
		const lines = incompleteLine.split('\n');
		incompleteLine = lines.pop()!;
		if (incompleteLine.length > maxMessageLength) {
			throw new RangeError(`a message is longer than ${maxMessageLength} characters`);
		}

		yield * lines.filter(line => line.trim() !== '');
	}
}
