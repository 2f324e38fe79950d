/**
 * Sends bodies over one connection in turn, part by part, so that a large one does not hold up the others.
 */

import {encodeFrame} from './frame-codec.js';
import {type FrameConnection} from './frame-connection.js';
import {type JobMessage, type JobPart} from './job-messages.js';

/** A body to send. */
export type OutgoingBody = {
	readonly body: Uint8Array;
	/** Creates the message that carries the first part; called when it leaves. */
	readonly createFirstMessage: (part: Uint8Array) => JobMessage & {readonly id: number};
};

type Sending = {
	readonly outgoing: OutgoingBody;
	id: number | undefined;
	offset: number;
};

/** Longest part of a body in one frame. */
export const maxPartBytes = 256 * 1024;

/** Longest payload on a job connection: a part and the fields around it. */
export const maxJobFrameBytes = maxPartBytes + 4096;

/** Bytes waiting on a connection above which no further part is added. */
const maxBufferedBytes = 1024 * 1024;

/**
 * Sends bodies over one connection.
 * @internal
 */
export class PartSender {
	readonly #connection: FrameConnection;
	readonly #maxWaitingBytes: number;
	readonly #sendings: Sending[] = [];
	#waitingBytes = 0;

	constructor(connection: FrameConnection, maxWaitingBytes: number) {
		this.#connection = connection;
		this.#maxWaitingBytes = maxWaitingBytes;
		connection.addDrainCallback(() => {
			this.#sendParts();
		});
	}

	/**
	 * Adds a body behind those that wait; false when too much waits.
	 * @param outgoing - Body to send.
	 */
	addBody(outgoing: OutgoingBody): boolean {
		if (this.#waitingBytes + outgoing.body.length > this.#maxWaitingBytes) {
			return false;
		}

		this.#waitingBytes += outgoing.body.length;
		this.#sendings.push({outgoing, id: undefined, offset: 0});
		this.#sendParts();
		return true;
	}

	/**
	 * Removes a body; false when all of it has been sent.
	 * @param outgoing - Body to remove.
	 */
	removeBody(outgoing: OutgoingBody): boolean {
		const index = this.#sendings.findIndex(sending => sending.outgoing === outgoing);
		if (index === -1) {
			return false;
		}

		const [removed] = this.#sendings.splice(index, 1);
		this.#waitingBytes -= outgoing.body.length - removed!.offset;
		return true;
	}

	#sendParts(): void {
		while (this.#sendings.length > 0 && !this.#connection.isClosed() && this.#connection.getBufferedBytes() < maxBufferedBytes) {
			this.#sendPart(this.#sendings.shift()!);
		}
	}

	#sendPart(sending: Sending): void {
		const {body, createFirstMessage: createFirst} = sending.outgoing;
		const part = body.subarray(sending.offset, sending.offset + maxPartBytes);
		if (sending.id === undefined) {
			const first = createFirst(part);
			sending.id = first.id;
			this.#connection.send(encodeFrame(first));
		} else {
			const further: JobPart = {type: 'part', id: sending.id, part};
			this.#connection.send(encodeFrame(further));
		}

		sending.offset += part.length;
		this.#waitingBytes -= part.length;
		if (sending.offset < body.length) {
			this.#sendings.push(sending);
		}
	}
}
