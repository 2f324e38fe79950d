/**
 * The requests that come in over one job connection.
 */

import {type Clock} from '../seams/index.js';
import {decodeValue, encodeFrame, encodeValue} from './frame-codec.js';
import {type FrameConnection} from './frame-connection.js';
import {JobKeepAlive} from './job-keep-alive.js';
import {decodeJobMessage, type JobMessage, type JobRequest} from './job-messages.js';
import {type MemberRecord} from './member-record.js';
import {type CollectedBody, PartCollector} from './part-collector.js';
import {type OutgoingBody, PartSender} from './part-sender.js';
import {type PeerRequestHandler} from './peer-network.js';
import {type LinkFault} from './traffic.js';

/** Options of a {@link JobServer}. */
export type JobServerOptions = {
	readonly clock: Clock;
	readonly connection: FrameConnection;
	readonly record: MemberRecord;
	readonly onRequest: PeerRequestHandler;
	/** Longest encoded body. */
	readonly maxBodyBytes: number;
	/** Time without a byte after which the connection is given up. */
	readonly silenceMs: number;
	readonly getLogicalTime: () => number;
	readonly onLogicalTime: (logicalTime: number) => void;
	readonly onFault: (fault: LinkFault) => void;
};

/** Why the signal of a handler aborts: the peer cancelled the request, or its connection ended. */
export type RequestAbortReason = 'cancelled' | 'disconnected';

/** Bytes of bodies that may wait in each direction, in longest bodies. */
const maxWaitingBodies = 4;

/**
 * Gap between two receipts, in silences, after which a connection is not trusted: an idle one carries a keep-alive each silence. Smaller, connections of
 * VMs that are short of processor time are given up; larger, requests that a cut held back are taken although callers have sent their jobs elsewhere.
 */
const heldUpSilences = 2.4;

/** The least such gap, in milliseconds: a process that does not run for a while finds what came meanwhile at once. */
const leastHeldUpMs = 1200;

/**
 * Takes the requests of one job connection, each at most once, and sends the answers.
 * @internal
 */
export class JobServer {
	readonly #options: JobServerOptions;
	readonly #connection: FrameConnection;
	readonly #sender: PartSender;
	readonly #collector: PartCollector<JobRequest>;
	readonly #running = new Map<number, AbortController>();
	readonly #keepAlive: JobKeepAlive;
	/** Monotonic time at which something came in last. */
	#heardAt: number;
	/** Time of the receipt after which the silence was last started anew. */
	#restartedFor = -Infinity;

	constructor(options: JobServerOptions) {
		this.#options = options;
		this.#connection = options.connection;
		this.#sender = new PartSender(options.connection, options.maxBodyBytes * maxWaitingBodies);
		this.#collector = new PartCollector(options.maxBodyBytes * maxWaitingBodies);
		// The end that acts for the other one gives up first, so that the other one may count on it; new members get no more time.
		this.#keepAlive = new JobKeepAlive(options.connection, options.silenceMs);
		this.#heardAt = options.clock.getMonotonicTime();
	}

	/** Takes requests until the connection is closed; the signals of those still in progress then abort. */
	async run(): Promise<void> {
		for (;;) {
			const payloads = await this.#connection.receiveAll();
			if (payloads === undefined) {
				break;
			}

			if (this.#isHeldUp()) {
				this.#options.onFault('held-up');
				this.#connection.close();
				break;
			}

			if (!payloads.every(payload => this.#handleMessage(decodeJobMessage(payload)))) {
				this.#options.onFault('garbage');
				this.#connection.close();
				break;
			}
		}

		for (const controller of this.#running.values()) {
			abort(controller, 'disconnected');
		}
	}

	/**
	 * Sends a keep-alive, or gives up a connection that is silent.
	 * @param now - Monotonic time up to which silence is measured.
	 */
	tick(now: number): void {
		if (this.#keepAlive.isSilent(now)) {
			this.#options.onFault('silent');
			this.#connection.close();
			return;
		}

		this.#keepAlive.send(now);
	}

	/**
	 * Starts the time of silence anew, after a pause of this process; once for each receipt, since a process that is late again and again would never
	 * notice that a peer is gone.
	 */
	restartSilence(): void {
		const receivedAt = this.#connection.getLastReceived();
		if (receivedAt > this.#restartedFor) {
			this.#restartedFor = receivedAt;
			this.#keepAlive.restart(this.#options.clock.getMonotonicTime());
		}
	}

	/** Closes the connection. */
	close(): void {
		this.#connection.close();
	}

	/** Gets whether what just came in may have been held up for so long that the peer has given its requests up. */
	#isHeldUp(): boolean {
		const now = this.#options.clock.getMonotonicTime();
		const gapMs = now - this.#heardAt;
		this.#heardAt = now;
		return gapMs > Math.max(leastHeldUpMs, this.#options.silenceMs * heldUpSilences);
	}

	#handleMessage(message: JobMessage | undefined): boolean {
		switch (message?.type) {
			case 'request': {
				this.#addRequest(message);
				return true;
			}

			case 'part': {
				this.#handleCollected(message.id, this.#collector.addPart(message.id, message.part));
				return true;
			}

			case 'cancel': {
				this.#cancel(message.id);
				return true;
			}

			case 'keep-alive': {
				return true;
			}

			case 'answer':
			case 'failure':
			case undefined: {
				return false;
			}
		}
	}

	#addRequest(request: JobRequest): void {
		const {record, onFault, onLogicalTime} = this.#options;
		// Identifiers rise over all connections of the incarnation that follow one another.
		if (request.id <= record.lastRequestId) {
			onFault('duplicate-request');
			return;
		}

		record.lastRequestId = request.id;
		onLogicalTime(request.logicalTime);
		this.#handleCollected(request.id, this.#collector.addFirst(request));
	}

	#handleCollected(id: number, collected: CollectedBody<JobRequest> | undefined | 'too-large'): void {
		if (collected === undefined) {
			return;
		}

		if (collected === 'too-large') {
			this.#sendFailure(id, 'the request is too large');
			return;
		}

		const decoded = decodeValue(collected.body);
		if (!decoded.ok) {
			this.#sendFailure(id, 'the request cannot be decoded');
			return;
		}

		void this.#answer(id, collected.first.topic, decoded.value);
	}

	async #answer(id: number, topic: string, body: unknown): Promise<void> {
		const {onRequest, record} = this.#options;
		const controller = new AbortController();
		this.#setRunning(id, controller);
		try {
			const answer = await onRequest({topic, body}, record.incarnation, controller.signal);
			this.#sendAnswer(id, encodeValue(answer));
		} catch (err) {
			this.#sendFailure(id, err instanceof Error ? err.message : String(err));
		} finally {
			this.#setRunning(id, undefined);
		}
	}

	#setRunning(id: number, controller: AbortController | undefined): void {
		if (controller === undefined) {
			this.#running.delete(id);
		} else {
			this.#running.set(id, controller);
		}

		this.#keepAlive.setBusy(this.#running.size > 0, this.#options.clock.getMonotonicTime());
	}

	#sendAnswer(id: number, body: Uint8Array): void {
		if (body.length > this.#options.maxBodyBytes) {
			this.#sendFailure(id, `an answer of ${body.length} bytes is over the limit of ${this.#options.maxBodyBytes}`);
			return;
		}

		const outgoing: OutgoingBody = {
			body,
			createFirstMessage: part => ({
				type: 'answer', id, logicalTime: this.#options.getLogicalTime(), size: body.length, part,
			}),
		};
		if (!this.#sender.addBody(outgoing)) {
			this.#options.onFault('buffer-full');
			this.#connection.close();
		}
	}

	#sendFailure(id: number, detail: string): void {
		this.#connection.send(encodeFrame({type: 'failure', id, detail}));
	}

	#cancel(id: number): void {
		this.#collector.remove(id);
		const controller = this.#running.get(id);
		if (controller) {
			// The peer does not wait for it any more, also where it takes a while to end.
			this.#setRunning(id, undefined);
			abort(controller, 'cancelled');
		}
	}
}

function abort(controller: AbortController, reason: RequestAbortReason): void {
	controller.abort(reason);
}
