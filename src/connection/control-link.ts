/**
 * One control connection to one incarnation.
 */

import {Buffer} from 'node:buffer';
import {type ControlChannel} from './control-channel.js';
import {
	type Heartbeat, type ControlLinkMessage, controlLinkMessageSchema, type DataCenterView, decodeCompleteHeartbeat, decodeData, type HeartbeatBody, type KnownAddress, type MemberStatus,
	type ReceivedHeartbeat, type Report,
} from './control-messages.js';
import {decodeValue, encodeFrame, encodeValue} from './frame-codec.js';
import {type FrameConnection} from './frame-connection.js';
import {HeartbeatFrames} from './heartbeat-frames.js';
import {type ControlMessage} from './peer-network.js';
import {type LinkFault} from './traffic.js';

/** Callbacks of a link. */
export type ControlLinkHandlers = {
	readonly onLogicalTime: (logicalTime: number) => void;
	readonly onAddresses: (addresses: readonly KnownAddress[]) => void;
	readonly onHeartbeat: (body: ReceivedHeartbeat) => void;
	readonly onReports: (reports: readonly CompleteReport[]) => void;
	/** Receives what the peer passes on within the data centre; not called by default. */
	readonly onRelayed?: (relayed: unknown) => void;
	readonly onMessage: (message: ControlMessage) => void;
	readonly onBye: () => void;
	readonly onFault: (fault: LinkFault) => void;
};

/** Options of a {@link ControlLink}. */
export type ControlLinkOptions = {
	readonly id: string;
	/** Incarnation that dialled the connection. */
	readonly dialerId: string;
	readonly connection: FrameConnection;
	readonly channel: ControlChannel;
	readonly handlers: ControlLinkHandlers;
};

/** A report with its view. */
export type CompleteReport = Report & {readonly view: DataCenterView};

/** Status and load that this process publishes with its heartbeats, encoded once for all links. */
export type EncodedHeartbeatBody = {
	readonly status: MemberStatus;
	readonly load: unknown;
	/** Encoded status and load, which each link compares with those last sent. */
	readonly statusBytes: Uint8Array;
	readonly loadBytes: Uint8Array;
};

/**
 * Encodes the status and load of this process.
 * @param body - Status and load to publish.
 * @param previous - Result for the last heartbeat; its status and load are returned again, as the same objects, while they are unchanged.
 */
export function encodeHeartbeatBody({
	load, configurationVersion, isLeaving, claims = {}, cores = 1, evacuation,
}: HeartbeatBody, previous?: EncodedHeartbeatBody): EncodedHeartbeatBody {
	const status: MemberStatus = {
		configurationVersion, isLeaving, claims, cores, ...(evacuation !== undefined && {evacuation}),
	};
	const statusBytes = encodeValue(status);
	const loadBytes = encodeValue(load);
	return {
		...(isSame(previous?.statusBytes, statusBytes) ? {status: previous!.status, statusBytes: previous!.statusBytes} : {status, statusBytes}),
		...(isSame(previous?.loadBytes, loadBytes) ? {load: previous!.load, loadBytes: previous!.loadBytes} : {load, loadBytes}),
	};
}

/** State of another data centre that a process passes on within its own. */
export type RelayedItem = {
	readonly name: string;
	/** Increases with each change of any item; a link sends an item once for each revision. */
	readonly revision: number;
	/** Encoded as JSON; opaque to the mesh. */
	readonly value: unknown;
};

/** Content of one heartbeat. */
export type HeartbeatContent = {
	readonly logicalTime: number;
	readonly body: EncodedHeartbeatBody;
	readonly reports: readonly CompleteReport[];
	/** Items to pass on; those already sent over the link are left out. */
	readonly relayed?: readonly RelayedItem[];
	/** Time until the next heartbeat over the link, in milliseconds; absent for the default interval. */
	readonly nextMs?: number;
	/** Frames of the round, which links share. */
	readonly frames?: HeartbeatFrames;
};

/** Received messages after which an acknowledgement is sent without waiting for the next heartbeat. */
const messagesPerAck = 64;

/** Maximum number of reporters whose last view each end stores; both ends evict the same one first. */
const maxReporters = 256;

/** Bytes buffered on a link above which no heartbeat is added; the buffered bytes serve as one. */
const maxBufferedBytesForHeartbeat = 64 * 1024;

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
	readonly #sentReports = new Map<string, CompleteReport>();
	readonly #receivedViews = new Map<string, DataCenterView>();
	#sentStatus: Uint8Array | undefined;
	#sentLoad: Uint8Array | undefined;
	#receivedStatus: MemberStatus | undefined;
	#receivedLoad: unknown;
	/** Status and load last received, the same object while they are unchanged. */
	#receivedBody: ReceivedHeartbeat | undefined;
	#isStarted = false;
	#announcedIntervalMs = 0;
	#unacknowledgedCount = 0;
	#sentRelayedRevision = 0;

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

	/** Gets the monotonic time at which bytes were last received. */
	getLastReceived(): number {
		return this.#connection.getLastReceived();
	}

	/** Gets the heartbeat interval announced by the other end, in milliseconds; 0 for the default interval. */
	getAnnouncedIntervalMs(): number {
		return this.#announcedIntervalMs;
	}

	/**
	 * Gets whether the status differs from the one last sent over this link.
	 * @param body - Status and load to publish.
	 */
	hasNewStatus({statusBytes}: EncodedHeartbeatBody): boolean {
		return !isSame(this.#sentStatus, statusBytes);
	}

	/**
	 * Reads messages until the connection is closed.
	 * @param addresses - Addresses of other entry VMs, sent to the other end first.
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
	 * Sends a heartbeat, without the parts that are unchanged since the last one.
	 * @param content - Content of the heartbeat.
	 */
	sendHeartbeat(content: HeartbeatContent): void {
		if (this.#connection.getBufferedBytes() > maxBufferedBytesForHeartbeat) {
			return;
		}

		this.#unacknowledgedCount = 0;
		const reports = content.reports.filter(report => !this.#hasSent(report));
		const heartbeat: Heartbeat = {
			type: 'beat',
			logicalTime: content.logicalTime,
			received: this.#channel.getLastReceived(),
			...(content.nextMs !== undefined && {nextMs: content.nextMs}),
			...this.#getChangedStatus(content.body),
			...this.#getChangedLoad(content.body),
			...(reports.length > 0 && {reports: reports.map(report => this.#getChangedReport(report))}),
			...this.#getNewRelayed(content.relayed ?? []),
		};
		this.#connection.send((content.frames ?? new HeartbeatFrames()).getFrame(heartbeat), 'heartbeat');
	}

	/**
	 * Gets whether the view of a report differs from the one last sent over this link.
	 * @param report - Report to send.
	 */
	hasNewView(report: CompleteReport): boolean {
		return this.#sentReports.get(report.reporter)?.view !== report.view;
	}

	/**
	 * Sends a control message. Before the other end has reported what it has received, the message is not sent; it then
	 * goes out with the other unacknowledged ones.
	 * @param frame - Frame of the message, buffered in the channel as well.
	 */
	sendMessage(frame: Uint8Array): void {
		if (this.#isStarted) {
			this.#connection.send(frame);
		}
	}

	/** Announces to the other end that this process ends, and closes the link. */
	sendBye(): void {
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

	#getChangedStatus({status, statusBytes}: EncodedHeartbeatBody): {readonly status?: MemberStatus} {
		if (isSame(this.#sentStatus, statusBytes)) {
			return {};
		}

		this.#sentStatus = statusBytes;
		return {status};
	}

	#getChangedLoad({load, loadBytes}: EncodedHeartbeatBody): {readonly load?: unknown} {
		if (isSame(this.#sentLoad, loadBytes)) {
			return {};
		}

		this.#sentLoad = loadBytes;
		return {load};
	}

	#getNewRelayed(items: readonly RelayedItem[]): {readonly relayed?: unknown} {
		const newItems = items.filter(({revision}) => revision > this.#sentRelayedRevision);
		if (newItems.length === 0) {
			return {};
		}

		this.#sentRelayedRevision = Math.max(...newItems.map(({revision}) => revision));
		return {relayed: Object.fromEntries(newItems.map(({name, value}) => [name, value]))};
	}

	/** Gets whether the other end has received a report, which it would ignore a second time. */
	#hasSent({reporter, beat, view}: CompleteReport): boolean {
		const sent = this.#sentReports.get(reporter);
		return sent?.beat === beat && sent.view === view;
	}

	#getChangedReport(report: CompleteReport): Report {
		const {reporter, beat} = report;
		const hasNewView = this.hasNewView(report);
		setLatest(this.#sentReports, reporter, report);
		return hasNewView ? report : {reporter, beat};
	}

	#handlePayload(payload: Uint8Array): boolean {
		const decoded = decodeValue(payload);
		const value = decoded.ok ? decoded.value : undefined;
		const handDecoded = decodeCompleteHeartbeat(value) ?? decodeData(value);
		if (handDecoded !== undefined) {
			this.#handleMessage(handDecoded);
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
				this.#handleHeartbeat(message);
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

	#handleHeartbeat(heartbeat: Heartbeat): void {
		this.#channel.acknowledge(heartbeat.received);
		this.#handlers.onLogicalTime(heartbeat.logicalTime);
		this.#announcedIntervalMs = heartbeat.nextMs ?? 0;
		if (heartbeat.status !== undefined || 'load' in heartbeat) {
			this.#receivedStatus = heartbeat.status ?? this.#receivedStatus;
			this.#receivedLoad = 'load' in heartbeat ? heartbeat.load : this.#receivedLoad;
			this.#receivedBody = this.#receivedStatus && {...this.#receivedStatus, load: this.#receivedLoad};
		}

		if (this.#receivedBody) {
			this.#handlers.onHeartbeat(this.#receivedBody);
		}

		if (heartbeat.relayed !== undefined) {
			this.#handlers.onRelayed?.(heartbeat.relayed);
		}

		if (heartbeat.reports === undefined) {
			return;
		}

		const reports = heartbeat.reports.flatMap(report => this.#completeReport(report));
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
	return sent === encoded || (sent !== undefined && Buffer.compare(sent, encoded) === 0);
}

function setLatest<T>(latest: Map<string, T>, key: string, value: T): void {
	latest.delete(key);
	latest.set(key, value);
	if (latest.size > maxReporters) {
		latest.delete(latest.keys().next().value!);
	}
}
