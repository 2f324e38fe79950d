/**
 * The requests received over one job connection.
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
import {SenderConfirmations} from './sender-confirmations.js';
import {type LinkFault} from './traffic.js';

/** Options of a {@link JobServer}. */
export type JobServerOptions = {
	readonly clock: Clock;
	readonly connection: FrameConnection;
	readonly record: MemberRecord;
	readonly onRequest: PeerRequestHandler;
	/** Maximum size of an encoded body, in bytes. */
	readonly maxBodyBytes: number;
	/** Time without a received byte after which the connection is closed as silent, in milliseconds. */
	readonly silenceMs: number;
	readonly getLogicalTime: () => number;
	readonly onLogicalTime: (logicalTime: number) => void;
	readonly onFault: (fault: LinkFault) => void;
};

/** Why the signal of a handler aborts: the peer cancelled the request, or its connection closed. */
export type RequestAbortReason = 'cancelled' | 'disconnected';

/** Maximum bytes of bodies buffered in each direction, in bodies of the maximum size. */
const maxBufferedBodies = 4;

/**
 * Gap between two receipts, in multiples of `silenceMs`, above which the connection is closed: an idle one carries a keep-alive every `silenceMs`.
 * A smaller one closes connections of VMs that are short of CPU time; a larger one accepts requests delayed by a network partition, although their
 * callers have submitted the jobs elsewhere.
 */
const maxReceiveGapSilences = 2.4;

/** Minimum of that limit, in milliseconds: a process that was paused receives everything that arrived meanwhile in one read. */
const minReceiveGapLimitMs = 1200;

/**
 * Handles the requests of one job connection, each at most once, and sends the answers.
 * @internal
 */
export class JobServer {
	readonly #options: JobServerOptions;
	readonly #connection: FrameConnection;
	readonly #sender: PartSender;
	readonly #collector: PartCollector<JobRequest>;
	readonly #running = new Map<number, AbortController>();
	readonly #keepAlive: JobKeepAlive;
	readonly #confirmations: SenderConfirmations;
	/** Stamp of the last answer, and whether the sender has echoed such a stamp; the earlier version echoes only those of keep-alives. */
	#answerStamp: number | undefined;
	/** Stamp of the last keep-alive. */
	#keepAliveStamp: number | undefined;
	#areAnswerStampsEchoed = false;
	/** Monotonic time at which payloads were last received. */
	#lastReceiptAt: number;
	/** Time of the last receipt at the last reset of the silence timer. */
	#resetAfterReceiptAt = -Infinity;

	constructor(options: JobServerOptions) {
		this.#options = options;
		this.#connection = options.connection;
		this.#sender = new PartSender(options.connection, options.maxBodyBytes * maxBufferedBodies);
		this.#collector = new PartCollector(options.maxBodyBytes * maxBufferedBodies);
		// No timeout factor for new members: the server must abort a request before its client counts it as lost.
		this.#keepAlive = new JobKeepAlive(options.connection, options.silenceMs, () => {
			this.#keepAliveStamp = this.#confirmations.createStamp();
			return {stamp: this.#keepAliveStamp};
		});
		this.#confirmations = new SenderConfirmations({
			clock: options.clock,
			sendUrgentStamp: stamp => {
				this.#keepAliveStamp = stamp;
				this.#keepAlive.sendImmediately(stamp, {stamp, isUrgent: true});
			},
			getLastReceived: () => options.connection.getLastReceived(),
		});
		this.#lastReceiptAt = options.clock.getMonotonicTime();
	}

	/** Handles requests until the connection is closed; the signals of those still in progress then abort. */
	async run(): Promise<void> {
		for (;;) {
			const payloads = await this.#connection.receiveAll();
			if (payloads === undefined) {
				break;
			}

			if (this.#isReceiptDelayed()) {
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

		this.#confirmations.close();
	}

	/**
	 * Sends a keep-alive if one is due, or closes a connection that is silent.
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
	 * Resets the silence timer, after a pause of this process; only once per receipt, since a process whose ticks are repeatedly late would otherwise
	 * never detect that a peer is unreachable.
	 */
	resetSilenceTimer(): void {
		const receivedAt = this.#connection.getLastReceived();
		if (receivedAt > this.#resetAfterReceiptAt) {
			this.#resetAfterReceiptAt = receivedAt;
			this.#keepAlive.resetSilenceTimer(this.#options.clock.getMonotonicTime());
		}
	}

	/** Closes the connection. */
	close(): void {
		this.#connection.close();
	}

	/** Gets whether the payloads just received may have been delayed for so long that the peer counts its requests as lost. */
	#isReceiptDelayed(): boolean {
		const now = this.#options.clock.getMonotonicTime();
		const gapMs = now - this.#lastReceiptAt;
		this.#lastReceiptAt = now;
		return gapMs > Math.max(minReceiveGapLimitMs, this.#options.silenceMs * maxReceiveGapSilences);
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
				this.#compareEcho(message.echo);
				this.#confirmations.addEcho(message.echo, message.ages);
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
		// Identifiers increase over all consecutive connections of the incarnation.
		if (request.id <= record.lastRequestId) {
			onFault('duplicate-request');
			return;
		}

		record.lastRequestId = request.id;
		onLogicalTime(request.logicalTime);
		this.#compareEcho(request.echo);
		this.#confirmations.addRequest(request.id, request.echo, request.ageMs);
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
			const answer = await onRequest({topic, body}, record.incarnation, controller.signal, this.#confirmations.getRequestConfirmation(id, controller.signal));
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
				type: 'answer', id, logicalTime: this.#options.getLogicalTime(), stamp: this.#createAnswerStamp(), size: body.length, part,
			}),
		};
		if (!this.#sender.addBody(outgoing)) {
			this.#options.onFault('buffer-full');
			this.#connection.close();
		}
	}

	#createAnswerStamp(): number {
		const stamp = this.#confirmations.createStamp();
		this.#answerStamp = stamp;
		if (this.#areAnswerStampsEchoed) {
			this.#keepAlive.addSent(stamp);
		}

		return stamp;
	}

	#compareEcho(echo: number | undefined): void {
		this.#areAnswerStampsEchoed ||= echo !== undefined && echo === this.#answerStamp && echo !== this.#keepAliveStamp;
	}

	#sendFailure(id: number, detail: string): void {
		this.#connection.send(encodeFrame({type: 'failure', id, detail}));
	}

	#cancel(id: number): void {
		this.#collector.remove(id);
		const controller = this.#running.get(id);
		if (controller) {
			// The peer no longer waits for the answer, even if the handler takes a while to end.
			this.#setRunning(id, undefined);
			abort(controller, 'cancelled');
		}
	}
}

function abort(controller: AbortController, reason: RequestAbortReason): void {
	controller.abort(reason);
}
