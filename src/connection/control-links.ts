/**
 * The control links of one process, one for each linked incarnation.
 */
import {
	type CompleteReport, ControlLink, type ControlLinkHandlers, type EncodedHeartbeatBody, type RelayedItem,
} from './control-link.js';
import {type KnownAddress} from './control-messages.js';
import {type DialingSide, type HandshakePeer} from './handshake.js';
import {HeartbeatFrames} from './heartbeat-frames.js';
import {type RejectReason} from './handshake-messages.js';
import {type MemberRecord} from './member-record.js';
import {type MemberTable} from './member-table.js';
import {type ConnectResult, type PeerConnection, type PeerConnector} from './peer-connector.js';
import {type PeerMeshSettings} from './peer-mesh-options.js';
import {type ControlMessage} from './peer-network.js';
import {type TrafficMeter} from './traffic.js';

/** Options of {@link ControlLinks}. */
export type ControlLinksOptions = {
	readonly settings: PeerMeshSettings;
	readonly table: MemberTable;
	readonly connector: PeerConnector;
	readonly meter: TrafficMeter;
	readonly onAddresses: (addresses: readonly KnownAddress[]) => void;
	readonly onReports: (reports: readonly CompleteReport[]) => void;
	/** Called when a link opens or closes. */
	readonly onChange: (record: MemberRecord) => void;
};

/** Content of the heartbeats of one tick. */
export type HeartbeatRound = {
	/** Number of the tick. */
	readonly tickNumber: number;
	readonly body: EncodedHeartbeatBody;
	/** This process's view of its own data centre; sent to other data centres. */
	readonly ownReport: CompleteReport;
	/** The same for peers of this data centre; its view changes only with the members that are up and their addresses, and is sent after a change. */
	readonly localReport: CompleteReport;
	/** Views of other data centres received over this process's links; sent to peers of this data centre. */
	readonly remoteReports: readonly CompleteReport[];
	/** State of other data centres to pass on; sent to peers of this data centre. */
	readonly relayed: readonly RelayedItem[];
};

/**
 * Opens, accepts and replaces control links; two incarnations keep one link between them.
 * @internal
 */
export class ControlLinks {
	readonly #options: ControlLinksOptions;
	#isClosed = false;

	constructor(options: ControlLinksOptions) {
		this.#options = options;
	}

	/**
	 * Opens a link to the entry VM that answers at an address.
	 * @param address - Address to dial.
	 */
	async dial(address: string): Promise<ConnectResult> {
		const {connector, settings, table} = this.#options;
		const side: DialingSide = {
			kind: 'control',
			getRejectReason: ({id}) => table.getRecord(id)?.getOpenLink() ? 'duplicate' : undefined,
			getLastLinkId: ({id}) => table.getRecord(id)?.lastLinkId ?? '',
		};
		const result = await connector.connect(address, side);
		if (result.ok) {
			this.#addDialed(result, settings.self.id);
		}

		return result;
	}

	/**
	 * Gets why a link dialled by a peer is rejected; `undefined` if it is accepted. Of two links dialled at the same time,
	 * the one dialled by the incarnation with the lower identifier stays.
	 * @param peer - Peer that dialled the link.
	 */
	getRejectReason(peer: HandshakePeer): RejectReason | undefined {
		const link = this.#options.table.getRecord(peer.incarnation.id)?.getOpenLink();
		if (!link || link.dialerId === peer.incarnation.id || peer.lastLinkId === link.id) {
			return undefined;
		}

		return peer.incarnation.id < this.#options.settings.self.id ? undefined : 'duplicate';
	}

	/**
	 * Adds a link and closes an earlier one to the same incarnation.
	 * @param connection - Connection that has completed its handshake.
	 * @param dialerId - Incarnation that dialled it.
	 */
	addLink({peer, connection}: PeerConnection, dialerId: string): void {
		if (this.#isClosed) {
			connection.close();
			return;
		}

		const {clock, self} = this.#options.settings;
		const {table, onChange} = this.#options;
		const record = table.getOrAddRecord(peer.incarnation, peer.address);
		table.setAddress(record, peer.address);
		record.link?.close();
		const link = new ControlLink({
			id: peer.linkId, dialerId, connection, channel: record.channel, handlers: this.#createHandlers(record),
		});
		record.link = link;
		record.lastLinkId = link.id;
		record.lastReceived = clock.getMonotonicTime();
		table.setState(record, 'up', dialerId === self.id ? 'linked' : 'linked by the peer');
		void this.#run(record, link);
		onChange(record);
	}

	/**
	 * Sends a heartbeat to each member for which one is due; a heartbeat with a changed status is always due.
	 * @param content - Content of the heartbeats.
	 * @param isRemoteDue - Whether heartbeats to other data centres are due as well.
	 */
	sendHeartbeats(content: HeartbeatRound, isRemoteDue: boolean): void {
		const {settings, table} = this.#options;
		const logicalTime = settings.events.getLogicalTime();
		const frames = new HeartbeatFrames();
		for (const record of table.getRecords()) {
			const link = record.getOpenLink();
			const isLocal = record.incarnation.dataCenter === settings.self.dataCenter;
			if (!link || !(isLocal || isRemoteDue)) {
				continue;
			}

			const intervalTicks = settings.getHeartbeatIntervalTicks(record.incarnation);
			if (content.tickNumber % intervalTicks > 0 && !link.hasNewStatus(content.body)) {
				continue;
			}

			const changedLocalReports = link.hasNewView(content.localReport) ? [content.localReport] : [];
			const ownReports = isLocal ? changedLocalReports : [content.ownReport];
			const remoteReports = isLocal && isRemoteDue ? content.remoteReports : [];
			const nextMs = intervalTicks > 1 ? intervalTicks * (isLocal ? settings.heartbeatIntervalMs : settings.remoteHeartbeatIntervalMs) : undefined;
			link.sendHeartbeat({
				logicalTime, body: content.body, reports: [...ownReports, ...remoteReports], nextMs, frames, ...(isLocal && {relayed: content.relayed}),
			});
		}
	}

	/**
	 * Sends a control message; returns false when the message is too long or the buffer is full.
	 * @param record - Member to send to.
	 * @param message - Message to send.
	 */
	sendMessage(record: MemberRecord, message: ControlMessage): boolean {
		const frame = record.channel.addMessage(message, this.#options.settings.events.getLogicalTime());
		if (!frame) {
			this.#options.meter.addFault('buffer-full');
			return false;
		}

		record.getOpenLink()?.sendMessage(frame);
		return true;
	}

	/** Announces to the peers that this process ends, and closes all links. */
	close(): void {
		this.#isClosed = true;
		for (const record of this.#options.table.getRecords()) {
			record.getOpenLink()?.sendBye();
		}
	}

	#addDialed(dialed: PeerConnection, selfId: string): void {
		const {table} = this.#options;
		const existing = table.getRecord(dialed.peer.incarnation.id)?.getOpenLink();
		// The peer has dialled a link meanwhile, and keeps that one by the rule of `getRejectReason`.
		if (existing && existing.dialerId !== selfId && existing.dialerId < selfId) {
			dialed.connection.close();
			return;
		}

		this.addLink(dialed, selfId);
	}

	async #run(record: MemberRecord, link: ControlLink): Promise<void> {
		await link.run(this.#getKnownAddresses(record));
		link.close();
		if (record.link === link) {
			record.link = undefined;
			this.#options.onChange(record);
		}
	}

	#getKnownAddresses(except: MemberRecord): readonly KnownAddress[] {
		const records = this.#options.table.getRecords().filter(record => record !== except && record.state === 'up');
		return records.map(({incarnation, address}) => ({...incarnation, address}));
	}

	#createHandlers(record: MemberRecord): ControlLinkHandlers {
		const {settings, table, meter, onAddresses, onReports} = this.#options;
		return {
			onAddresses,
			onReports,
			onRelayed(relayed) {
				settings.onRelayed(relayed, record.incarnation);
			},
			onLogicalTime(logicalTime) {
				settings.events.observeLogicalTime(logicalTime);
			},
			onHeartbeat(body) {
				record.announcedIntervalMs = record.link?.getAnnouncedIntervalMs() ?? 0;
				table.setStatus(record, body);
				settings.onHeartbeat(body, record.incarnation);
			},
			onMessage(message) {
				settings.onControl(message, record.incarnation);
			},
			onBye() {
				table.setState(record, 'down', 'it ended');
			},
			onFault(fault) {
				meter.addFault(fault);
			},
		};
	}
}
