/**
 * Frames of heartbeats that several links share.
 */
import {type Heartbeat} from './control-messages.js';
import {encodeFrame} from './frame-codec.js';

/**
 * Encodes the heartbeats of one round, each that is equal to an earlier one only once. At rest most of them contain only numbers, which are
 * the same for all links.
 * @internal
 */
export class HeartbeatFrames {
	readonly #frames = new Map<string, Uint8Array>();

	/**
	 * Gets the frame of a heartbeat.
	 * @param heartbeat - Heartbeat to encode.
	 */
	getFrame(heartbeat: Heartbeat): Uint8Array {
		const {logicalTime, received, nextMs, reports = [], relayed = {}} = heartbeat;
		if ('status' in heartbeat || 'load' in heartbeat || reports.some(({view}) => view !== undefined)) {
			return encodeFrame(heartbeat);
		}

		const key = `${logicalTime} ${received} ${nextMs} ${reports.map(({reporter, beat}) => `${beat} ${reporter}`).join(',')} ${Object.keys(relayed as Readonly<Record<string, unknown>>).join(',')}`;
		const existing = this.#frames.get(key);
		if (existing !== undefined) {
			return existing;
		}

		const frame = encodeFrame(heartbeat);
		this.#frames.set(key, frame);
		return frame;
	}
}
