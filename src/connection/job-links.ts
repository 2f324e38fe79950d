/**
 * The job connections of one process.
 */
import {type ControlLinksOptions} from './control-links.js';
import {JobClient, type JobConnectResult} from './job-client.js';
import {JobServer} from './job-server.js';
import {type MemberRecord} from './member-record.js';
import {type PeerConnection} from './peer-connector.js';
import {type PeerOutcome, type PeerRequest, type PeerRequestOptions} from './peer-network.js';

/** Options of {@link JobLinks}. */
export type JobLinksOptions = Pick<ControlLinksOptions, 'settings' | 'table' | 'connector' | 'meter'>;

type JobLinkOptions = Pick<ConstructorParameters<typeof JobClient>[0], 'clock' | 'inputProgress' | 'maxBodyBytes' | 'silenceMs' | 'getLogicalTime' | 'onLogicalTime' | 'onFault'>;

/**
 * Sends requests to members and serves the requests of members.
 * @internal
 */
export class JobLinks {
	readonly #options: JobLinksOptions;
	readonly #servers = new Set<JobServer>();

	constructor(options: JobLinksOptions) {
		this.#options = options;
	}

	/**
	 * Sends a request and waits for its outcome.
	 * @param record - Member to send to.
	 * @param request - Request to send.
	 * @param signal - Ends the wait.
	 * @param options - For whom the request is made.
	 */
	async request(record: MemberRecord, request: PeerRequest, signal?: AbortSignal, options?: PeerRequestOptions): Promise<PeerOutcome> {
		record.jobClient ??= this.#createClient(record);
		return record.jobClient.request(request, signal, options);
	}

	/**
	 * Adds a connection dialled by a peer.
	 * @param connection - Connection that has completed its handshake.
	 */
	addConnection({peer, connection}: PeerConnection): void {
		const {settings, table} = this.#options;
		const record = table.getOrAddRecord(peer.incarnation, peer.address);
		const server = new JobServer({
			...this.#getLinkOptions(record), connection, record, onRequest: settings.onRequest,
		});
		this.#servers.add(server);
		void this.#runServer(server);
	}

	/**
	 * Sends keep-alives and closes silent or idle connections.
	 * @param now - Monotonic time up to which silence is measured.
	 */
	tick(now: number): void {
		for (const server of this.#servers) {
			server.tick(now);
		}

		for (const {jobClient} of this.#options.table.getRecords()) {
			jobClient?.tick(now);
		}
	}

	/** Resets the silence timers of all connections, after a pause of this process. */
	resetSilenceTimers(): void {
		for (const server of this.#servers) {
			server.resetSilenceTimer();
		}

		for (const {jobClient} of this.#options.table.getRecords()) {
			jobClient?.resetSilenceTimer();
		}
	}

	async #runServer(server: JobServer): Promise<void> {
		await server.run();
		this.#servers.delete(server);
	}

	#createClient(record: MemberRecord): JobClient {
		const {clock, newMemberMs: newcomerMs} = this.#options.settings;
		return new JobClient({
			...this.#getLinkOptions(record),
			getTimeoutFactor: () => record.getTimeoutFactor(clock.getMonotonicTime(), newcomerMs),
			idleMs: this.#options.settings.jobIdleMs,
			connect: async () => this.#connect(record),
		});
	}

	async #connect(record: MemberRecord): Promise<JobConnectResult> {
		const result = await this.#options.connector.connect(record.address, {
			kind: 'job',
			getRejectReason: ({id}) => id === record.incarnation.id ? undefined : 'wrong-incarnation',
			getLastLinkId: () => '',
		});
		return result.ok ? result : {ok: false, detail: result.reason};
	}

	#getLinkOptions(record: MemberRecord): JobLinkOptions {
		const {
			meter, settings: {
				clock, inputProgress, self, events, heartbeatIntervalMs, remoteHeartbeatIntervalMs, missedHeartbeatsUntilDown, maxJobBodyBytes,
			},
		} = this.#options;
		return {
			clock,
			inputProgress,
			maxBodyBytes: maxJobBodyBytes,
			silenceMs: missedHeartbeatsUntilDown * (record.incarnation.dataCenter === self.dataCenter ? heartbeatIntervalMs : remoteHeartbeatIntervalMs),
			getLogicalTime: () => events.getLogicalTime(),
			onLogicalTime(logicalTime) {
				events.observeLogicalTime(logicalTime);
			},
			onFault(fault) {
				meter.addFault(fault);
			},
		};
	}
}
