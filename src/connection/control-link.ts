/**
 * One control connection to one incarnation.
 */

import {Buffer} from 'node:buffer';
import {type ControlChannel} from './control-channel.js';
import {
	type Beat, type ControlLinkMessage, controlLinkMessageSchema, type DataCenterView, decodeCompleteBeat, decodeData, type HeartbeatBody, type KnownAddress, type MemberStatus,
	memberStatusSchema, type ReceivedHeartbeat, type Report,
} from './control-messages.js';
import {decodeValue, encodeFrame, encodeValue} from './frame-codec.js';
import {type FrameConnection} from './frame-connection.js';
import {type ControlMessage} from './peer-network.js';
import {type LinkFault} from './traffic.js';

/** What a link tells of. */
export type ControlLinkHandlers = {
	readonly onLogicalTime: (logicalTime: number) => void;
	readonly onAddresses: (addresses: readonly KnownAddress[]) => void;
	readonly onHeartbeat: (body: ReceivedHeartbeat) => void;
	readonly onReports: (reports: readonly CompleteReport[]) => void;
	readonly onMessage: (message: ControlMessage) => void;
	readonly onBye: () => void;
	readonly onFault: (fault: LinkFault) => void;
};

/** Options of a {@link ControlLink}. */
export type ControlLinkOptions = {
	readonly id: string;
	/** Incarnation that made the connection. */
	readonly dialerId: string;
	readonly connection: FrameConnection;
	readonly channel: ControlChannel;
	readonly handlers: ControlLinkHandlers;
};

/** A report with its view. */
export type CompleteReport = Report & {readonly view: DataCenterView};

/** What this process tells of itself with its heartbeats, encoded once for all links. */
export type EncodedBody = {
	readonly status: MemberStatus;
	readonly load: unknown;
	/** Encoded status and load, by which each link knows whether they are as last sent. */
	readonly statusBytes: Uint8Array;
	readonly loadBytes: Uint8Array;
};

/**
 * Encodes what a process tells of itself.
 * @param body - What it tells.
 */
export function encodeBody({load, ...given}: HeartbeatBody): EncodedBody {
	const status = memberStatusSchema.parse(given);
	return {
		status, load, statusBytes: encodeValue(status), loadBytes: encodeValue(load),
	};
}

/** What one heartbeat says. */
export type BeatContent = {
	readonly logicalTime: number;
	readonly body: EncodedBody;
	readonly reports: readonly CompleteReport[];
	/** Time until the next heartbeat over the link, in milliseconds; absent where it is the usual one. */
	readonly nextMs?: number;
};

/** Messages that come in before an acknowledgement is sent without waiting for the next heartbeat. */
const messagesPerAck = 64;

/** Reporters whose views each end remembers as last sent; both ends drop the same one first. */
const maxReporters = 256;

/** Bytes waiting on a link above which no heartbeat is added; what waits serves as one. */
const maxBytesBeforeBeat = 64 * 1024;

/**
 * Exchanges heartbeats and control messages over one connection.
 * @internal
 */
export class ControlLink {
	readonly id: string;
	readonly dialerId: string;
	readonly #connection: FrameConnection;
	readonly #channel: ControlChannel;
	readonly #handlers: ControlLinkHandlers;
	readonly #sentViews = new Map<string, DataCenterView>();
	readonly #receivedViews = new Map<string, DataCenterView>();
	#sentStatus: Uint8Array | undefined;
	#sentLoad: Uint8Array | undefined;
	#receivedStatus: MemberStatus | undefined;
	#receivedLoad: unknown;
	#isStarted = false;
	#nextBeatMs = 0;
	#unacknowledgedCount = 0;

	constructor(options: ControlLinkOptions) {
		this.id = options.id;
		this.dialerId = options.dialerId;
		this.#connection = options.connection;
		this.#channel = options.channel;
		this.#handlers = options.handlers;
	}

	/** Gets whether the link is closed. */
	isClosed(): boolean {
		return this.#connection.isClosed();
	}

	/** Gets the monotonic time at which bytes last came in. */
	getLastReceived(): number {
		return this.#connection.getLastReceived();
	}

	/** Gets the time in which the other end said that it would send its next heartbeat, in milliseconds; 0 for the usual one. */
	getNextBeatMs(): number {
		return this.#nextBeatMs;
	}

	/**
	 * Gets whether the other end was told something else of this process.
	 * @param body - What is to be told.
	 */
	hasNewStatus({statusBytes}: EncodedBody): boolean {
		return !isSame(this.#sentStatus, statusBytes);
	}

	/**
	 * Reads messages until the connection is closed.
	 * @param addresses - Addresses of other entry VMs to tell the other end first.
	 */
	async run(addresses: readonly KnownAddress[]): Promise<void> {
		this.#send({type: 'start', received: this.#channel.getLastReceived(), addresses});
		for (;;) {
			const payloads = await this.#connection.receiveAll();
			if (payloads === undefined) {
				return;
			}

			if (!payloads.every(payload => this.#handlePayload(payload))) {
				this.#connection.close();
				return;
			}
		}
	}

	/**
	 * Sends a heartbeat, without the parts that are as last sent.
	 * @param content - What it says.
	 */
	sendBeat(content: BeatContent): void {
		if (this.#connection.getBufferedBytes() > maxBytesBeforeBeat) {
			return;
		}

		this.#unacknowledgedCount = 0;
		const beat: Beat = {
			type: 'beat',
			logicalTime: content.logicalTime,
			received: this.#channel.getLastReceived(),
			...(content.nextMs !== undefined && {nextMs: content.nextMs}),
			...this.#getChangedStatus(content.body),
			...this.#getChangedLoad(content.body),
			...(content.reports.length > 0 && {reports: content.reports.map(report => this.#getChangedReport(report))}),
		};
		this.#send(beat);
	}

	/**
	 * Gets whether a report has another view than the one last sent over this link.
	 * @param report - Report to send.
	 */
	hasNewView(report: CompleteReport): boolean {
		return this.#sentViews.get(report.reporter) !== report.view;
	}

	/**
	 * Sends a control message; one that is sent before the other end has told what it has leaves after that.
	 * @param frame - Frame of the message, kept in the channel as well.
	 */
	sendMessage(frame: Uint8Array): void {
		if (this.#isStarted) {
			this.#connection.send(frame);
		}
	}

	/** Tells the other end that this process ends, and closes the link. */
	sayBye(): void {
		this.#send({type: 'bye'});
		this.#connection.closeAfterFlush();
	}

	/** Closes the link. */
	close(): void {
		this.#connection.close();
	}

	#send(message: ControlLinkMessage): void {
		this.#connection.send(encodeFrame(message));
	}

	#getChangedStatus({status, statusBytes}: EncodedBody): {readonly status?: MemberStatus} {
		if (isSame(this.#sentStatus, statusBytes)) {
			return {};
		}

		this.#sentStatus = statusBytes;
		return {status};
	}

	#getChangedLoad({load, loadBytes}: EncodedBody): {readonly load?: unknown} {
		if (isSame(this.#sentLoad, loadBytes)) {
			return {};
		}

		this.#sentLoad = loadBytes;
		return {load};
	}

	#getChangedReport(report: CompleteReport): Report {
		const {reporter, beat, view} = report;
		const hasNewView = this.hasNewView(report);
		setLatest(this.#sentViews, reporter, view);
		return hasNewView ? report : {reporter, beat};
	}

	#handlePayload(payload: Uint8Array): boolean {
		const decoded = decodeValue(payload);
		const value = decoded.ok ? decoded.value : undefined;
		const frequent = decodeCompleteBeat(value) ?? decodeData(value);
		if (frequent !== undefined) {
			this.#handleMessage(frequent);
			return true;
		}

		const parsed = controlLinkMessageSchema.safeParse(value);
		if (!parsed.success) {
			this.#handlers.onFault('garbage');
			return false;
		}

		this.#handleMessage(parsed.data);
		return parsed.data.type !== 'bye';
	}

	#handleMessage(message: ControlLinkMessage): void {
		switch (message.type) {
			case 'start': {
				this.#start(message.received);
				this.#handlers.onAddresses(message.addresses);
				break;
			}

			case 'beat': {
				this.#handleBeat(message);
				break;
			}

			case 'data': {
				this.#handlers.onLogicalTime(message.logicalTime);
				this.#handleData(message.number, message);
				break;
			}

			case 'ack': {
				this.#channel.acknowledge(message.received);
				break;
			}

			case 'bye': {
				this.#handlers.onBye();
				break;
			}
		}
	}

	#start(received: number): void {
		if (this.#isStarted) {
			return;
		}

		this.#isStarted = true;
		this.#channel.acknowledge(received);
		for (const frame of this.#channel.getUnacknowledgedFrames()) {
			this.#connection.send(frame);
		}
	}

	#handleBeat(beat: Beat): void {
		this.#channel.acknowledge(beat.received);
		this.#handlers.onLogicalTime(beat.logicalTime);
		this.#nextBeatMs = beat.nextMs ?? 0;
		this.#receivedStatus = beat.status ?? this.#receivedStatus;
		this.#receivedLoad = 'load' in beat ? beat.load : this.#receivedLoad;
		if (this.#receivedStatus) {
			this.#handlers.onHeartbeat({...this.#receivedStatus, load: this.#receivedLoad});
		}

		const reports = (beat.reports ?? []).flatMap(report => this.#completeReport(report));
		if (reports.length > 0) {
			this.#handlers.onReports(reports);
		}
	}

	#completeReport(report: Report): readonly CompleteReport[] {
		const view = report.view ?? this.#receivedViews.get(report.reporter);
		if (!view) {
			return [];
		}

		setLatest(this.#receivedViews, report.reporter, view);
		return [{...report, view}];
	}

	#handleData(number: number, {topic, body}: ControlMessage): void {
		if (!this.#channel.addReceived(number)) {
			this.#handlers.onFault('duplicate-message');
			return;
		}

		this.#handlers.onMessage({topic, body});
		this.#unacknowledgedCount++;
		if (this.#unacknowledgedCount >= messagesPerAck) {
			this.#unacknowledgedCount = 0;
			this.#send({type: 'ack', received: this.#channel.getLastReceived()});
		}
	}
}

function isSame(sent: Uint8Array | undefined, encoded: Uint8Array): boolean {
	return sent !== undefined && Buffer.compare(sent, encoded) === 0;
}

function setLatest<T>(latest: Map<string, T>, key: string, value: T): void {
	latest.delete(key);
	latest.set(key, value);
	if (latest.size > maxReporters) {
		latest.delete(latest.keys().next().value!);
	}
}
