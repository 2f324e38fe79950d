/**
 * Reading of HTTP request bodies with a size limit and an account of the bytes held.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {ByteCollector} from './byte-collector.js';
import {
	type BodyInProgress, type CallerMemory, type RefusalCause, type TrackedConnection,
} from './caller-memory.js';

/** A complete body, or why it is missing. `broken-off`: the connection closed before the end of the body. */
export type RequestBody =
	| {readonly kind: 'whole'; readonly bytes: Uint8Array}
	| {readonly kind: 'too-large'}
	| {readonly kind: 'broken-off'}
	| {readonly kind: 'refused'; readonly cause: RefusalCause};

/** Options of {@link readRequestBody}. */
export type RequestBodyOptions = {
	/** Maximum size of the body in bytes. */
	readonly maxBytes: number;
	/** Account of the bytes of incomplete bodies; none by default. */
	readonly memory?: CallerMemory;
};

/**
 * What a chunk counts in the account besides its bytes: it takes more than a microsecond, as long as copying some kilobytes, so that millions of one-byte chunks
 * keep the process from other callers. A body of the maximum size in one-byte chunks still counts for less than a third of the smallest account.
 */
const bytesPerChunk = 32;

/** Number of chunks after which their size is examined, and mean size in bytes below which they are small: the chunk then takes far longer than its bytes. */
const examinedChunks = 128;
const minChunkBytes = 64;

const emptyBytes = Buffer.alloc(0);

/**
 * Reads the body of a request; never rejects.
 * @param req - Request to read.
 * @param options - Size limit and account.
 */
export async function readRequestBody(req: IncomingMessage, {maxBytes, memory}: RequestBodyOptions): Promise<RequestBody> {
	const announced = Number(req.headers['content-length'] ?? -1);
	if (announced > maxBytes) {
		return {kind: 'too-large'};
	}

	return new Promise(resolve => {
		const reader = new BodyReader({
			announced, maxBytes, memory, connection: memory?.getConnection(req.socket), resolve,
		});
		req.on('data', (chunk: Uint8Array) => {
			if (!reader.addChunk(chunk)) {
				req.pause();
			}
		});
		req.once('end', () => {
			reader.end('whole');
		});
		req.once('close', () => {
			reader.end('broken-off');
		});
	});
}

type BodyReaderOptions = Pick<RequestBodyOptions, 'maxBytes' | 'memory'> & {
	readonly announced: number;
	readonly connection: TrackedConnection | undefined;
	readonly resolve: (body: RequestBody) => void;
};

/** Collects the chunks of one body. */
class BodyReader implements BodyInProgress {
	readonly #options: BodyReaderOptions;
	/** Chunk that is the whole body, as most are. */
	#only: Uint8Array | undefined;
	#collector: ByteCollector | undefined;
	#isDone = false;
	#chunkCount = 0;
	/** Bytes received when the size of the chunks was last examined. */
	#examinedBytes = 0;

	constructor(options: BodyReaderOptions) {
		this.#options = options;
		if (options.connection !== undefined) {
			options.memory!.setBody(options.connection, this);
		}
	}

	getReceived(): number {
		return this.#only?.length ?? this.#collector?.getLength() ?? 0;
	}

	refuse(cause: RefusalCause): void {
		this.#isDone = true;
		this.#drop();
		this.#options.resolve({kind: 'refused', cause});
	}

	/** Adds a chunk; returns false if the body is too large. Chunks after a refusal are discarded, since a paused request keeps them. */
	addChunk(chunk: Uint8Array): boolean {
		if (this.#isDone) {
			return true;
		}

		const {announced, maxBytes, memory, connection, resolve} = this.#options;
		if (this.getReceived() + chunk.length > maxBytes) {
			this.#finish();
			this.#drop();
			resolve({kind: 'too-large'});
			return false;
		}

		if (chunk.length === announced) {
			this.#only = chunk;
			return true;
		}

		this.#collector ??= new ByteCollector();
		this.#collector.addChunk(chunk);
		if (connection !== undefined) {
			this.#chunkCount++;
			memory!.setBodyBytes(connection, this.#collector.getAllocated() + (this.#chunkCount * bytesPerChunk));
			this.#examineChunks(connection);
		}

		return true;
	}

	end(kind: 'whole' | 'broken-off'): void {
		if (this.#isDone) {
			return;
		}

		this.#finish();
		this.#options.resolve(kind === 'whole' ? {kind, bytes: this.#only ?? this.#collector?.getBytes() ?? emptyBytes} : {kind});
		this.#drop();
	}

	#examineChunks(connection: TrackedConnection): void {
		const {memory} = this.#options;
		memory!.endTurn(connection);
		if (this.#isDone || this.#chunkCount % examinedChunks !== 0) {
			return;
		}

		const received = this.getReceived();
		if (received - this.#examinedBytes < examinedChunks * minChunkBytes) {
			memory!.addFragmentedBody(connection);
		}

		this.#examinedBytes = received;
	}

	#finish(): void {
		const {memory, connection} = this.#options;
		this.#isDone = true;
		// The connection may have been refused, or be receiving the body of its next request.
		if (connection?.body === this) {
			memory!.setBody(connection, undefined);
		}
	}

	#drop(): void {
		this.#only = undefined;
		this.#collector = undefined;
	}
}
