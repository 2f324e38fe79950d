/**
 * The links of one process to all other entry VMs.
 */
import {type Stream, type Subscription} from 'most';
import {type ListedEntryVm} from '../platform/index.js';
import {type Timer} from '../seams/index.js';
import {type EncodedHeartbeatBody, encodeHeartbeatBody} from './control-link.js';
import {ControlLinks} from './control-links.js';
import {type HandshakePeer} from './handshake.js';
import {type RejectReason} from './handshake-messages.js';
import {JobLinks} from './job-links.js';
import {type MemberRecord} from './member-record.js';
import {MemberTable} from './member-table.js';
import {Membership} from './membership.js';
import {type PeerConnection, PeerConnector} from './peer-connector.js';
import {type PeerMeshOptions, type PeerMeshSettings, resolvePeerMeshOptions} from './peer-mesh-options.js';
import {
	type ControlMessage, type Member, type PeerNetwork, type PeerOutcome, type PeerRequest, type PeerRequestOptions,
} from './peer-network.js';
import {maxJobFrameBytes} from './part-sender.js';
import {ReportTable} from './report-table.js';
import {type PeerTraffic, TrafficMeter} from './traffic.js';

/** Gap between two ticks, in heartbeat intervals, above which this process counts as paused. */
const pauseThresholdIntervals = 2;

/** Links to the other entry VMs: a full mesh within the data centre and a few links to each other data centre. */
export class PeerMesh implements PeerNetwork {
	readonly #settings: PeerMeshSettings;
	readonly #meter: TrafficMeter;
	readonly #table: MemberTable;
	readonly #connector: PeerConnector;
	readonly #links: ControlLinks;
	readonly #jobs: JobLinks;
	readonly #reports: ReportTable;
	readonly #membership: Membership;
	#tickNumber = 0;
	#heartbeatBody: EncodedHeartbeatBody | undefined;
	#lastTick: number;
	#timer: Timer | undefined;
	#subscription: Subscription<readonly ListedEntryVm[]> | undefined;
	#isClosed = false;

	/** @internal */
	constructor(settings: PeerMeshSettings, connector: PeerConnector, meter: TrafficMeter) {
		this.#settings = settings;
		this.#connector = connector;
		this.#meter = meter;
		this.#lastTick = settings.clock.getMonotonicTime();
		const {clock, events, log, maxControlBufferBytes, maxControlFrameBytes, self, missedHeartbeatsUntilSilent, heartbeatIntervalMs} = settings;
		this.#table = new MemberTable({
			clock,
			events,
			log,
			maxBufferBytes: maxControlBufferBytes,
			maxFrameBytes: maxControlFrameBytes,
			onDown: record => {
				this.#reports.removeReport(record.incarnation.id);
				record.link?.close();
				record.jobClient?.closeIfSilent(missedHeartbeatsUntilSilent * heartbeatIntervalMs);
			},
			onRemove(record) {
				record.jobClient?.close();
			},
		});
		const sharedOptions = {
			settings, connector, meter, table: this.#table,
		};
		this.#jobs = new JobLinks(sharedOptions);
		this.#links = new ControlLinks({
			...sharedOptions,
			onAddresses: addresses => {
				this.#membership.addAddresses(addresses);
			},
			onReports: reports => {
				this.#membership.addReports(reports);
			},
			onChange: record => {
				this.#membership.handleLinkChange(record);
			},
		});
		const getAddress = (): string => connector.getAddress();
		this.#reports = new ReportTable({
			clock, self, getAddress, table: this.#table, maxAgeMs: settings.reportMaxAgeMs,
		});
		this.#membership = new Membership({
			settings, getAddress, table: this.#table, reports: this.#reports, links: this.#links,
		});
	}

	/** Gets the address at which this process accepts connections. */
	getAddress(): string {
		return this.#connector.getAddress();
	}

	/** Gets the traffic of all links so far. */
	getTraffic(): PeerTraffic {
		return this.#meter.getTraffic();
	}

	/** Gets the other known entry VMs in all data centres. */
	getMembers(): readonly Member[] {
		return this.#table.getMembers();
	}

	/** Gets a stream of the members: the current ones, then those after each change. */
	getMemberStream(): Stream<readonly Member[]> {
		return this.#table.getStream();
	}

	/**
	 * Sends a control message to a peer of the same data centre, or to one with an open link.
	 * @param incarnationId - Peer to send to.
	 * @param message - Message to send.
	 */
	sendControl(incarnationId: string, message: ControlMessage): boolean {
		const record = this.#table.getRecord(incarnationId);
		if (this.#isClosed || record?.state !== 'up' || !(this.#isLocal(record) || record.getOpenLink())) {
			return false;
		}

		return this.#links.sendMessage(record, message);
	}

	/**
	 * Sends a request to a peer in any data centre.
	 * @param incarnationId - Receiver; no other incarnation gets the request.
	 * @param request - Request to send.
	 * @param signal - Ends the wait and cancels the request at the peer.
	 * @param options - For whom the request is made.
	 */
	async request(incarnationId: string, request: PeerRequest, signal?: AbortSignal, options?: PeerRequestOptions): Promise<PeerOutcome> {
		const record = this.#table.getRecord(incarnationId);
		if (this.#isClosed || record === undefined || record.state === 'down') {
			return {kind: 'not_sent', detail: record ? 'the peer is down' : 'the peer is not known'};
		}

		return this.#jobs.request(record, request, signal, options);
	}

	/** Closes all links and stops the listener. */
	async close(): Promise<void> {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#timer?.close();
		this.#subscription?.unsubscribe();
		this.#membership.close();
		this.#links.close();
		await this.#connector.close();
		this.#table.close();
	}

	/**
	 * Starts to accept and to dial connections.
	 * @internal
	 */
	async start(): Promise<void> {
		const {clock, heartbeatIntervalMs, entryVms} = this.#settings;
		await this.#connector.listen({getRejectReason: peer => this.#getRejectReason(peer)}, connection => {
			this.#addConnection(connection);
		});
		this.#timer = clock.setRepeatingTimer(() => {
			this.#tick();
		}, heartbeatIntervalMs);
		this.#subscription = entryVms?.subscribe({
			next: listed => {
				this.#membership.setListed(listed);
			},
			error: err => {
				this.#settings.log?.error({err}, 'the stream of entry VMs failed');
			},
			complete: () => {
				this.#subscription = undefined;
			},
		});
		this.#membership.updateDialers();
	}

	#getRejectReason(peer: HandshakePeer): RejectReason | undefined {
		return peer.kind === 'control' ? this.#links.getRejectReason(peer) : undefined;
	}

	#addConnection(connection: PeerConnection): void {
		if (connection.peer.kind === 'job') {
			this.#jobs.addConnection(connection);
			return;
		}

		this.#links.addLink(connection, connection.peer.incarnation.id);
	}

	#isLocal({incarnation}: MemberRecord): boolean {
		return incarnation.dataCenter === this.#settings.self.dataCenter;
	}

	/** Runs the periodic work; silence is measured up to the time of the tick, so that a pause during the tick is not counted as silence of a peer. */
	#tick(): void {
		const now = this.#settings.clock.getMonotonicTime();
		this.#detectPause(now);
		this.#sendHeartbeats();
		// Bytes received while the event loop was busy are read before silence is evaluated.
		setImmediate(() => {
			this.#jobs.tick(now);
			this.#membership.evaluate(now);
		});
	}

	#detectPause(now: number): void {
		const {heartbeatIntervalMs, events, onPause} = this.#settings;
		const gapMs = now - this.#lastTick;
		this.#lastTick = now;
		if (gapMs <= pauseThresholdIntervals * heartbeatIntervalMs) {
			return;
		}

		this.#membership.resetSilenceTimers();
		this.#jobs.resetSilenceTimers();
		events.addEvent('process-paused', this.#settings.self.id, `${Math.round(gapMs)} ms`);
		onPause(gapMs);
	}

	#sendHeartbeats(): void {
		const {heartbeatIntervalMs, remoteHeartbeatIntervalMs, getHeartbeat} = this.#settings;
		this.#tickNumber++;
		const body = encodeHeartbeatBody(getHeartbeat(), this.#heartbeatBody);
		this.#heartbeatBody = body;
		const isRemoteDue = this.#tickNumber % Math.max(Math.round(remoteHeartbeatIntervalMs / heartbeatIntervalMs), 1) === 0;
		const remoteReports = this.#reports.getReports().filter(({reporter}) => this.#table.getRecord(reporter)?.getOpenLink());
		const ownReport = this.#reports.getOwnReport(this.#tickNumber, body.status);
		this.#links.sendHeartbeats({
			tickNumber: this.#tickNumber, body, ownReport, localReport: this.#reports.getLocalReport(ownReport), remoteReports, relayed: this.#settings.getRelayed(),
		}, isRemoteDue);
	}
}

/**
 * Creates the links of a process and starts to listen.
 * @param options - Identity of this process, addresses and limits.
 */
export async function createPeerMesh(options: PeerMeshOptions): Promise<PeerMesh> {
	const settings = resolvePeerMeshOptions(options);
	const meter = new TrafficMeter();
	const connector = new PeerConnector({
		...settings,
		meter,
		timeoutMs: settings.connectTimeoutMs,
		maxFrameBytes: {control: settings.maxControlFrameBytes, job: maxJobFrameBytes},
	});
	const mesh = new PeerMesh(settings, connector, meter);
	await mesh.start();
	return mesh;
}
