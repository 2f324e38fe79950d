/**
 * The control messages to and from one incarnation, over all consecutive links to it.
 */

import {encodeFrame} from './frame-codec.js';
import {type Data} from './control-messages.js';
import {type ControlMessage} from './peer-network.js';

/** Options of a {@link ControlChannel}. */
export type ControlChannelOptions = {
	/** Maximum bytes buffered until they are acknowledged. */
	readonly maxBufferBytes: number;
	/** Maximum size of a frame, in bytes. */
	readonly maxFrameBytes: number;
};

type Unacknowledged = {
	readonly number: number;
	readonly frame: Uint8Array;
};

/**
 * Numbers the messages to one incarnation, buffers them until they are acknowledged, and detects duplicates among the
 * received ones.
 * @internal
 */
export class ControlChannel {
	readonly #options: ControlChannelOptions;
	#unacknowledged: Unacknowledged[] = [];
	#bytes = 0;
	#lastSent = 0;
	#lastReceived = 0;

	constructor(options: ControlChannelOptions) {
		this.#options = options;
	}

	/** Gets the number of the last message received; 0 for none. */
	getLastReceived(): number {
		return this.#lastReceived;
	}

	/**
	 * Adds a message to send; returns its frame, or `undefined` when it is too long or the buffer is full.
	 * @param message - Message to send.
	 * @param logicalTime - Logical time to send with it.
	 */
	addMessage(message: ControlMessage, logicalTime: number): Uint8Array | undefined {
		const data: Data = {
			type: 'data', number: this.#lastSent + 1, logicalTime, topic: message.topic, body: message.body,
		};
		const frame = encodeFrame(data);
		if (frame.length > this.#options.maxFrameBytes || this.#bytes + frame.length > this.#options.maxBufferBytes) {
			return undefined;
		}

		this.#lastSent++;
		this.#bytes += frame.length;
		this.#unacknowledged.push({number: this.#lastSent, frame});
		return frame;
	}

	/** Gets the unacknowledged frames, in order. */
	getUnacknowledgedFrames(): readonly Uint8Array[] {
		return this.#unacknowledged.map(({frame}) => frame);
	}

	/**
	 * Removes the messages that the other end has received.
	 * @param lastReceived - Number of the last one that it has received.
	 */
	acknowledge(lastReceived: number): void {
		let count = 0;
		while (count < this.#unacknowledged.length && this.#unacknowledged[count]!.number <= lastReceived) {
			this.#bytes -= this.#unacknowledged[count]!.frame.length;
			count++;
		}

		if (count > 0) {
			this.#unacknowledged.splice(0, count);
		}
	}

	/**
	 * Records a received message; returns false for a duplicate.
	 * @param number - Number of the message.
	 */
	addReceived(number: number): boolean {
		if (number <= this.#lastReceived) {
			return false;
		}

		this.#lastReceived = number;
		return true;
	}

	/** Drops the unacknowledged messages; the numbering continues. */
	clear(): void {
		this.#unacknowledged = [];
		this.#bytes = 0;
	}
}
