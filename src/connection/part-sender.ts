/**
 * Sends bodies over one connection in parts, round robin, so that a large body does not delay the others.
 */

import {encodeFrame} from './frame-codec.js';
import {type FrameConnection} from './frame-connection.js';
import {type JobMessage, type JobPart} from './job-messages.js';

/** A body to send. */
export type OutgoingBody = {
	readonly body: Uint8Array;
	/** Creates the message that carries the first part; called when that part is sent. */
	readonly createFirstMessage: (part: Uint8Array) => JobMessage & {readonly id: number};
};

type QueuedBody = {
	readonly outgoing: OutgoingBody;
	id: number | undefined;
	offset: number;
};

/** Maximum size of a part in bytes; each part is sent in one frame. */
export const maxPartBytes = 256 * 1024;

/** Maximum payload size on a job connection in bytes: a part and the other fields of its message. */
export const maxJobFrameBytes = maxPartBytes + 4096;

/** Number of bytes buffered on a connection from which on no more parts are sent. */
const maxBufferedBytes = 1024 * 1024;

/**
 * Queues bodies and sends their parts as the connection's buffer drains.
 * @internal
 */
export class PartSender {
	readonly #connection: FrameConnection;
	readonly #maxQueuedBytes: number;
	readonly #queue: QueuedBody[] = [];
	#queuedBytes = 0;

	constructor(connection: FrameConnection, maxQueuedBytes: number) {
		this.#connection = connection;
		this.#maxQueuedBytes = maxQueuedBytes;
		connection.addDrainCallback(() => {
			this.#sendParts();
		});
	}

	/**
	 * Queues a body. Returns false when the queue would exceed its maximum size.
	 * @param outgoing - Body to send.
	 */
	addBody(outgoing: OutgoingBody): boolean {
		if (this.#queuedBytes + outgoing.body.length > this.#maxQueuedBytes) {
			return false;
		}

		this.#queuedBytes += outgoing.body.length;
		this.#queue.push({outgoing, id: undefined, offset: 0});
		this.#sendParts();
		return true;
	}

	/**
	 * Removes a body from the queue. Returns false when all of its parts have been sent.
	 * @param outgoing - Body to remove.
	 */
	removeBody(outgoing: OutgoingBody): boolean {
		const index = this.#queue.findIndex(queued => queued.outgoing === outgoing);
		if (index === -1) {
			return false;
		}

		const [removed] = this.#queue.splice(index, 1);
		this.#queuedBytes -= outgoing.body.length - removed!.offset;
		return true;
	}

	#sendParts(): void {
		while (this.#queue.length > 0 && !this.#connection.isClosed() && this.#connection.getBufferedBytes() < maxBufferedBytes) {
			this.#sendPart(this.#queue.shift()!);
		}
	}

	#sendPart(queued: QueuedBody): void {
		const {body, createFirstMessage} = queued.outgoing;
		const part = body.subarray(queued.offset, queued.offset + maxPartBytes);
		if (queued.id === undefined) {
			const firstMessage = createFirstMessage(part);
			queued.id = firstMessage.id;
			this.#connection.send(encodeFrame(firstMessage));
		} else {
			const nextPart: JobPart = {type: 'part', id: queued.id, part};
			this.#connection.send(encodeFrame(nextPart));
		}

		queued.offset += part.length;
		this.#queuedBytes -= part.length;
		if (queued.offset < body.length) {
			this.#queue.push(queued);
		}
	}
}
