/**
 * Simulated network between entry VMs in one process: membership by heartbeats, and messages and requests over connections that can be
 * cut, reset and silenced. It follows `PeerMesh` in a full mesh of VMs, without reports from third VMs.
 */
import {PassThrough} from 'node:stream';
import {type Stream} from 'most';
import {
	type ConfirmationAges, type ControlMessage, type Dial, getReportedAge, getReportedAges, type Incarnation, type InputProgress,
	type Member, type MemberState, type PeerNetwork, type PeerOutcome, type PeerRequest,
	type PeerRequestOptions, ReceivedStamps, type RequestAbortReason, type SenderConfirmation, SenderConfirmations,
} from '../connection/index.js';
import {type Evacuation, type PoolClaims} from '../pool/index.js';
import {CurrentValue} from '../process/current-value.js';
import {type Clock, type Random, type Timer} from '../seams/index.js';
import {type LinkFilter, SimulatedConnection, type SimulatedConnectionEnd} from './simulated-connection.js';
import {type SimulatedProcess} from './simulated-process.js';

/** Settings of the real peer mesh as in `PlatformEntryVm`: durations in milliseconds, numbers of missed heartbeats, and factors of timeouts. */
const heartbeatIntervalMs = 100;
const missedHeartbeatsUntilSilent = 3;
const missedHeartbeatsUntilDown = 5;
const newMemberMs = 3000;
const newMemberTimeoutFactor = 4;
const connectTimeoutMs = 300;
const maxBackoffMs = 300;
const downRetentionMs = 60_000;
const pauseThresholdMs = 200;
const idleFactor = 4;
const receiveGapLimitMs = 1200;

/** Contents of a heartbeat. */
export type SimulatedHeartbeat = {
	readonly isLeaving: boolean;
	readonly claims: Readonly<Record<string, number>>;
	readonly cores: number;
	readonly load: PoolClaims;
	readonly evacuation?: Evacuation;
};

/** Options of {@link SimulatedPeerMesh}. */
export type SimulatedPeerMeshOptions = {
	readonly process: SimulatedProcess;
	readonly self: Incarnation;
	/** Up to when the process has read its input. */
	readonly inputProgress: InputProgress;
	readonly getHeartbeat: () => SimulatedHeartbeat;
	/** Returns the interval of heartbeats to a peer, in ticks. */
	readonly getHeartbeatIntervalTicks: (peer: Incarnation) => number;
	readonly onHeartbeat: (load: PoolClaims, from: Incarnation, evacuation?: Evacuation) => void;
	readonly onControl: (message: ControlMessage) => void;
	readonly onRequest: (request: PeerRequest, signal: AbortSignal, confirmation: SenderConfirmation) => Promise<unknown>;
};

type ConnectionKind = 'control' | 'job';
type PeerConnection = {readonly connection: SimulatedConnection; readonly end: SimulatedConnectionEnd; readonly peer: Incarnation};
type ConnectResult = PeerConnection | 'refused' | 'unreachable';

/** Options of {@link SimulatedVmNetwork}. */
export type SimulatedVmNetworkOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** Returns the one-way latency between two VMs, in milliseconds. */
	readonly getOneWayLatencyMs: (from: string, to: string) => number;
};

/** Connects the VMs and injects network faults. */
export class SimulatedVmNetwork {
	readonly #options: SimulatedVmNetworkOptions;
	/** Last incarnation of each VM by VM name, even if it is dead. */
	readonly #vms = new Map<string, SimulatedPeerMesh>();
	/** Names of VMs without power, whose host does not answer. */
	readonly #poweredOff = new Set<string>();
	readonly #cuts = new Set<LinkFilter>();
	#connections = new Set<SimulatedConnection>();

	constructor(options: SimulatedVmNetworkOptions) {
		this.#options = options;
	}

	/**
	 * Adds an incarnation of a VM, which connects to the others.
	 * @param options - Options of the incarnation.
	 * @returns Peer mesh of the incarnation.
	 */
	addVm(options: SimulatedPeerMeshOptions): SimulatedPeerMesh {
		const vm = new SimulatedPeerMesh(options, this, this.#options.random);
		this.#vms.set(options.self.vm, vm);
		this.#poweredOff.delete(options.self.vm);
		return vm;
	}

	/** Gets the names of all VMs. */
	getNames(): readonly string[] {
		return [...this.#vms.keys()];
	}

	/** Gets whether the direction from one host to another is cut. */
	isCut(from: string, to: string): boolean {
		for (const cut of this.#cuts) {
			if (cut(from, to)) {
				return true;
			}
		}

		return false;
	}

	/**
	 * Cuts connections.
	 * @param cut - Selects the directions that are cut.
	 * @returns Function that heals the cut.
	 */
	addCut(cut: LinkFilter): () => void {
		this.#cuts.add(cut);
		return () => {
			this.#cuts.delete(cut);
			for (const connection of this.#connections) {
				connection.resend();
			}
		};
	}

	/**
	 * Kills the process of a VM.
	 * @param name - Name of the VM.
	 * @param isPowerLoss - Whether the VM loses power, so that its connections are not closed.
	 */
	kill(name: string, isPowerLoss = false): void {
		this.#vms.get(name)!.process.kill();
		if (isPowerLoss) {
			this.#poweredOff.add(name);
			return;
		}

		for (const connection of this.#connections) {
			for (const end of connection.ends.filter(({vm, process, isClosed}) => vm === name && process.isDead() && !isClosed)) {
				connection.sendClose(end);
				end.isClosed = true;
			}
		}
	}

	/**
	 * Resets open connections.
	 * @param isAffected - Selects connections by the direction between their VMs; one matching direction is enough.
	 */
	reset(isAffected: LinkFilter): void {
		for (const connection of this.#getAffected(isAffected)) {
			connection.reset();
		}
	}

	/**
	 * Drops all further messages on connections that are open now.
	 * @param isAffected - Selects the directions that are silenced.
	 */
	silence(isAffected: LinkFilter): void {
		for (const {ends: [a, b]} of this.#connections) {
			a.isSilenced ||= isAffected(a.vm, b.vm);
			b.isSilenced ||= isAffected(b.vm, a.vm);
		}
	}

	/**
	 * Opens a connection.
	 * @param from - Peer mesh of the dialling VM.
	 * @param to - Name of the other VM.
	 * @param kind - Use of the connection.
	 * @param expectedId - Identifier of the only incarnation that may accept; any by default.
	 */
	async connect(from: SimulatedPeerMesh, to: string, kind: ConnectionKind, expectedId?: string): Promise<ConnectResult> {
		const {clock, getOneWayLatencyMs} = this.#options;
		const fromName = from.self.vm;
		return new Promise(resolve => {
			const timer = from.process.setTimer(() => {
				resolve('unreachable');
			}, connectTimeoutMs);
			const answer = (result: ConnectResult): void => {
				clock.setTimer(() => {
					if (!this.isCut(to, fromName)) {
						from.process.dispatch(() => {
							timer.close();
							resolve(result);
						});
					}
				}, getOneWayLatencyMs(to, fromName));
			};

			clock.setTimer(() => {
				const vm = this.#vms.get(to);
				if (this.isCut(fromName, to) || this.isCut(to, fromName) || this.#poweredOff.has(to)) {
					return;
				}

				if (vm === undefined || vm.process.isDead()) {
					answer('refused');
					return;
				}

				vm.process.dispatch(() => {
					answer(expectedId === undefined || vm.self.id === expectedId ? this.#open(from, vm, kind) : 'refused');
				});
			}, getOneWayLatencyMs(fromName, to) * 2);
		});
	}

	/** Creates the function with which a VM checks whether another VM is alive. */
	createDial(from: SimulatedPeerMesh): Dial {
		return async (to, signal) => new Promise(resolve => {
			signal.addEventListener('abort', () => {
				resolve({ok: false, reason: 'unreachable', detail: 'connecting took too long'});
			});
			const {clock, getOneWayLatencyMs} = this.#options;
			clock.setTimer(() => {
				if (this.isCut(from.self.vm, to) || this.isCut(to, from.self.vm) || this.#poweredOff.has(to)) {
					return;
				}

				from.process.dispatch(() => {
					const isAlive = this.#vms.get(to)?.process.isDead() === false;
					resolve(isAlive ? {ok: true, socket: new PassThrough()} : {ok: false, reason: 'refused', detail: ''});
				});
			}, getOneWayLatencyMs(from.self.vm, to) * 2);
		});
	}

	#getAffected(isAffected: LinkFilter): readonly SimulatedConnection[] {
		return [...this.#connections].filter(({ends: [a, b]}) => isAffected(a.vm, b.vm) || isAffected(b.vm, a.vm));
	}

	#open(from: SimulatedPeerMesh, to: SimulatedPeerMesh, kind: ConnectionKind): PeerConnection {
		const connection = new SimulatedConnection(
			{vm: from.self.vm, process: from.process},
			{vm: to.self.vm, process: to.process},
			{...this.#options, isCut: (a, b) => this.isCut(a, b)},
		);
		this.#connections = new Set([...this.#connections].filter(other => !other.isFinished()));
		this.#connections.add(connection);
		const [end, other] = connection.ends;
		if (kind === 'control') {
			to.addLink({connection, end: other, peer: from.self});
		} else {
			to.addServer({connection, end: other, peer: from.self});
		}

		return {connection, end, peer: to.self};
	}
}

/** State of a peer incarnation. */
type PeerRecord = {
	readonly incarnation: Incarnation;
	readonly knownSince: number;
	state: MemberState;
	isLeaving: boolean;
	claims: Readonly<Record<string, number>>;
	cores: number;
	lastReceivedAt: number;
	downSince: number;
	nextBeatMs: number;
	link: PeerConnection | undefined;
	client: JobClientEnd | undefined;
};

type PendingRequest = PeerRequestOptions & {readonly id: number; readonly request: PeerRequest; isSent: boolean; readonly finish: (outcome: PeerOutcome) => void};
type JobClientEnd = {connected: PeerConnection | undefined; readonly pending: Map<number, PendingRequest>; readonly stamps: ReceivedStamps};
type JobServerEnd = PeerConnection & {readonly running: Map<number, AbortController>; readonly confirmations: SenderConfirmations; lastFrameAt: number};

type KeepAliveFields = {readonly stamp?: number; readonly isUrgent?: boolean; readonly echo?: number; readonly ages?: ConfirmationAges};

type JobFrame =
	| {readonly type: 'request'; readonly id: number; readonly request: PeerRequest; readonly echo: number; readonly ageMs?: number}
	| {readonly type: 'answer'; readonly id: number; readonly body: unknown}
	| {readonly type: 'failure' | 'cancel'; readonly id: number}
	| ({readonly type: 'keep-alive'} & KeepAliveFields);

type KeepAliveOptions = {readonly openCount: number; readonly timeoutFactor: number; readonly getFields: () => KeepAliveFields};

type ControlFrame =
	| {readonly type: 'beat'; readonly beat: SimulatedHeartbeat; readonly nextBeatMs: number}
	| {readonly type: 'message'; readonly message: ControlMessage};

/** Peer mesh of one incarnation: its links, membership and requests. */
export class SimulatedPeerMesh implements PeerNetwork {
	readonly process: SimulatedProcess;
	readonly self: Incarnation;
	readonly #options: SimulatedPeerMeshOptions;
	readonly #network: SimulatedVmNetwork;
	readonly #random: Random;
	readonly #members = new CurrentValue<readonly Member[]>([]);
	readonly #records = new Map<string, PeerRecord>();
	readonly #servers = new Set<JobServerEnd>();
	/** Time of the next attempt to dial each VM by VM name; `Infinity` during an attempt. */
	readonly #nextDialAt = new Map<string, number>();
	readonly #timer: Timer;
	#lastTick: number;
	#ticks = 0;
	#lastId = 0;
	#isClosed = false;

	constructor(options: SimulatedPeerMeshOptions, network: SimulatedVmNetwork, random: Random) {
		this.#options = options;
		this.process = options.process;
		this.self = options.self;
		this.#network = network;
		this.#random = random;
		this.#lastTick = this.#getNow();
		this.#timer = this.process.setRepeatingTimer(() => {
			this.#tick();
		}, heartbeatIntervalMs);
		this.process.setTimer(() => {
			this.#dialAll();
		}, 0);
	}

	getMembers(): readonly Member[] {
		return this.#members.get();
	}

	getMemberStream(): Stream<readonly Member[]> {
		return this.#members.getStream();
	}

	sendControl(incarnationId: string, message: ControlMessage): boolean {
		const record = this.#records.get(incarnationId);
		if (this.#isClosed || record?.state !== 'up' || record.link === undefined) {
			return false;
		}

		this.#sendControlFrame(record.link, {type: 'message', message});
		return true;
	}

	async request(incarnationId: string, request: PeerRequest, signal?: AbortSignal, options: PeerRequestOptions = {}): Promise<PeerOutcome> {
		const record = this.#records.get(incarnationId);
		if (this.#isClosed || record === undefined || record.state === 'down') {
			return {kind: 'not_sent', detail: 'the peer is down or not known'};
		}

		if (signal?.aborted) {
			return {kind: 'not_sent', detail: 'cancelled'};
		}

		return new Promise(resolve => {
			const client = record.client ?? this.#addClient(record);
			this.#lastId++;
			const pending: PendingRequest = {
				...options,
				id: this.#lastId,
				request,
				isSent: false,
				finish(outcome) {
					client.pending.delete(pending.id);
					signal?.removeEventListener('abort', cancel);
					resolve(outcome);
				},
			};
			const cancel = (): void => {
				if (pending.isSent) {
					this.#sendJobFrame(client.connected, {type: 'cancel', id: pending.id});
				}

				pending.finish({kind: pending.isSent ? 'lost' : 'not_sent', detail: 'cancelled'});
			};

			signal?.addEventListener('abort', cancel, {once: true});
			this.#restartIdleTimeout(client.connected, client.pending.size);
			client.pending.set(pending.id, pending);
			this.#sendRequest(client, pending);
		});
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		this.#timer.close();
		for (const {link, client} of this.#records.values()) {
			link?.connection.close(link.end);
			client?.connected?.connection.close(client.connected.end);
		}

		for (const {connection, end} of this.#servers) {
			connection.close(end);
		}
	}

	/**
	 * Adds a link for heartbeats and messages.
	 * @param link - Connection to another VM, opened by either.
	 */
	addLink(link: PeerConnection): void {
		const record = this.#getOrAddRecord(link.peer);
		record.link = link;
		record.lastReceivedAt = this.#getNow();
		link.end.onMessage = message => {
			this.#handleControlFrame(record, message as ControlFrame);
		};

		link.end.onClose = () => {
			record.link = record.link === link ? undefined : record.link;
		};

		this.#sendHeartbeat(record);
	}

	/**
	 * Adds a connection on which a peer sends requests.
	 * @param connected - Connection.
	 */
	addServer(connected: PeerConnection): void {
		const confirmations = new SenderConfirmations({
			clock: this.process,
			sendUrgentStamp: stamp => {
				this.#sendJobFrame(connected, {type: 'keep-alive', stamp, isUrgent: true});
			},
			getLastReceived: () => connected.end.lastReceived,
		});
		const server: JobServerEnd = {
			...connected, running: new Map(), confirmations, lastFrameAt: this.#getNow(),
		};
		this.#servers.add(server);
		server.end.onMessage = message => {
			this.#handleServerFrame(server, message as JobFrame);
		};

		server.end.onClose = () => {
			this.#servers.delete(server);
			for (const controller of server.running.values()) {
				controller.abort('disconnected' satisfies RequestAbortReason);
			}

			confirmations.close();
		};
	}

	#getNow(): number {
		return this.process.getMonotonicTime();
	}

	#getOrAddRecord(incarnation: Incarnation): PeerRecord {
		const now = this.#getNow();
		const record = this.#records.get(incarnation.id) ?? {
			incarnation, knownSince: now, state: 'silent', isLeaving: false, claims: {}, cores: 1, lastReceivedAt: now, downSince: 0, nextBeatMs: 0, link: undefined, client: undefined,
		};
		this.#records.set(incarnation.id, record);
		return record;
	}

	#publishMembers(): void {
		this.#members.set([...this.#records.values()].map(({incarnation, state, isLeaving, claims, cores}) => ({
			incarnation, state, isLeaving, claims, cores, peerAddress: incarnation.vm, configurationVersion: 1,
		})));
	}

	#setState(record: PeerRecord, state: MemberState): void {
		if (record.state === state) {
			return;
		}

		record.state = state;
		if (state === 'down') {
			record.downSince = this.#getNow();
			record.client?.connected?.connection.close(record.client.connected.end);
		}

		this.#publishMembers();
	}

	#tick(): void {
		const now = this.#getNow();
		this.#ticks++;
		if (now - this.#lastTick > pauseThresholdMs) {
			this.#restartSilenceTimeouts(now);
		}

		this.#lastTick = now;
		for (const record of this.#records.values()) {
			if (this.#ticks % this.#options.getHeartbeatIntervalTicks(record.incarnation) === 0) {
				this.#sendHeartbeat(record);
			}
		}

		// Messages that arrived while the event loop was busy are read before any peer is considered silent.
		this.process.setTimer(() => {
			this.#keepAlive(now);
			for (const record of this.#records.values()) {
				this.#updateState(record, now);
			}

			this.#dialAll();
		}, 0);
	}

	#restartSilenceTimeouts(now: number): void {
		for (const record of this.#records.values()) {
			record.lastReceivedAt = now;
			if (record.client?.connected) {
				record.client.connected.end.lastReceived = now;
			}
		}

		for (const {end} of this.#servers) {
			end.lastReceived = now;
		}
	}

	#getTimeoutFactor(record: PeerRecord, now: number): number {
		return now - record.knownSince < newMemberMs ? newMemberTimeoutFactor : 1;
	}

	#updateState(record: PeerRecord, now: number): void {
		if (record.state === 'down') {
			const isReplaced = [...this.#records.values()].some(({incarnation, state}) => state === 'up' && incarnation.vm === record.incarnation.vm);
			if (isReplaced && now - record.downSince > downRetentionMs) {
				this.#records.delete(record.incarnation.id);
				this.#publishMembers();
			}

			return;
		}

		const expectedIntervalMs = Math.max(heartbeatIntervalMs, record.nextBeatMs) * this.#getTimeoutFactor(record, now);
		record.lastReceivedAt = Math.max(record.lastReceivedAt, record.link?.end.lastReceived ?? 0);
		const silenceMs = now - record.lastReceivedAt;
		if (silenceMs > missedHeartbeatsUntilDown * expectedIntervalMs) {
			this.#setState(record, 'down');
		} else if (silenceMs > missedHeartbeatsUntilSilent * expectedIntervalMs) {
			this.#setState(record, 'silent');
			record.link?.connection.close(record.link.end);
		}
	}

	#dialAll(): void {
		const now = this.#getNow();
		for (const name of this.#network.getNames()) {
			const isLinked = name === this.self.vm || [...this.#records.values()].some(({incarnation, link}) => link !== undefined && incarnation.vm === name);
			if (!isLinked && !this.#isClosed && now >= (this.#nextDialAt.get(name) ?? 0)) {
				this.#nextDialAt.set(name, Infinity);
				void this.#dial(name);
			}
		}
	}

	async #dial(name: string): Promise<void> {
		const result = await this.#network.connect(this, name, 'control');
		this.#nextDialAt.set(name, this.#getNow() + (this.#random.getFloat() * maxBackoffMs));
		if (typeof result !== 'string') {
			this.addLink(result);
		}

		if (result !== 'unreachable') {
			for (const record of this.#records.values()) {
				if (record.incarnation.vm === name && record.link === undefined && (result === 'refused' || result.peer.id !== record.incarnation.id)) {
					this.#setState(record, 'down');
				}
			}
		}
	}

	#sendHeartbeat(record: PeerRecord): void {
		if (record.link !== undefined) {
			this.#sendControlFrame(record.link, {type: 'beat', beat: this.#options.getHeartbeat(), nextBeatMs: heartbeatIntervalMs * this.#options.getHeartbeatIntervalTicks(record.incarnation)});
		}
	}

	#sendControlFrame({connection, end}: PeerConnection, frame: ControlFrame): void {
		connection.send(end, frame);
	}

	#handleControlFrame(record: PeerRecord, frame: ControlFrame): void {
		if (this.#isClosed) {
			return;
		}

		if (frame.type === 'message') {
			this.#options.onControl(frame.message);
			return;
		}

		const {isLeaving, claims, cores, load, evacuation} = frame.beat;
		record.lastReceivedAt = this.#getNow();
		record.nextBeatMs = frame.nextBeatMs;
		if (record.isLeaving !== isLeaving || record.cores !== cores || JSON.stringify(record.claims) !== JSON.stringify(claims)) {
			record.isLeaving = isLeaving;
			record.claims = claims;
			record.cores = cores;
			this.#publishMembers();
		}

		this.#setState(record, 'up');
		this.#options.onHeartbeat(load, record.incarnation, evacuation);
	}

	#addClient(record: PeerRecord): JobClientEnd {
		const client: JobClientEnd = {connected: undefined, pending: new Map(), stamps: new ReceivedStamps()};
		record.client = client;
		void this.#connectClient(record, client);
		return client;
	}

	async #connectClient(record: PeerRecord, client: JobClientEnd): Promise<void> {
		const result = await this.#network.connect(this, record.incarnation.vm, 'job', record.incarnation.id);
		if (typeof result === 'string') {
			this.#endClient(record, client);
			return;
		}

		result.end.onMessage = message => {
			this.#handleClientFrame(client, message as JobFrame);
		};

		result.end.onClose = () => {
			this.#endClient(record, client);
		};

		await this.#options.inputProgress.waitUntilRead();
		client.connected = result;
		for (const pending of client.pending.values()) {
			this.#sendRequest(client, pending);
		}
	}

	#endClient(record: PeerRecord, client: JobClientEnd): void {
		record.client = undefined;
		for (const {isSent, finish} of client.pending.values()) {
			finish({kind: isSent ? 'lost' : 'not_sent', detail: 'the job connection ended'});
		}
	}

	#sendRequest(client: JobClientEnd, pending: PendingRequest): void {
		const {connected} = client;
		if (connected !== undefined) {
			pending.isSent = true;
			this.#sendJobFrame(connected, {
				type: 'request',
				id: pending.id,
				request: pending.request,
				echo: client.stamps.getEcho(this.#options.inputProgress.getReadUntil()),
				ageMs: getReportedAge(pending.getConfirmedAt, this.#getNow()),
			});
		}
	}

	/** Gets the last stamp with the ages of the confirmations of the processes for which requests are made. */
	#getEcho({pending, stamps}: JobClientEnd): {readonly echo: number; readonly ages?: ConfirmationAges} {
		const ages = getReportedAges([...pending.values()].filter(({isSent}) => isSent), this.#getNow());
		return {echo: stamps.getEcho(this.#options.inputProgress.getReadUntil()), ...(ages && {ages})};
	}

	#sendJobFrame(connected: PeerConnection | undefined, frame: JobFrame): void {
		connected?.connection.send(connected.end, frame);
	}

	/** Restarts the timeout with the first open request, since the other end sent less often while the connection was idle. */
	#restartIdleTimeout(connected: PeerConnection | undefined, openCount: number): void {
		if (connected !== undefined && openCount === 0) {
			connected.end.lastReceived = this.#getNow();
		}
	}

	#handleServerFrame(server: JobServerEnd, frame: JobFrame): void {
		const gapMs = this.#getNow() - server.lastFrameAt;
		server.lastFrameAt = this.#getNow();
		if (gapMs > receiveGapLimitMs) {
			// As the real server does: the peer may have abandoned a request that was delayed by a cut or a pause.
			server.connection.close(server.end);
			return;
		}

		switch (frame.type) {
			case 'keep-alive': {
				server.confirmations.addEcho(frame.echo, frame.ages);
				return;
			}

			case 'request': {
				server.confirmations.addRequest(frame.id, frame.echo, frame.ageMs);
				void this.#answer(server, frame.id, frame.request);
				return;
			}

			case 'cancel': {
				const controller = server.running.get(frame.id);
				server.running.delete(frame.id);
				controller?.abort('cancelled' satisfies RequestAbortReason);
				return;
			}

			case 'answer':
			case 'failure': {
				throw new Error(`a server received a message of type ${frame.type}`);
			}
		}
	}

	async #answer(server: JobServerEnd, id: number, request: PeerRequest): Promise<void> {
		const controller = new AbortController();
		this.#restartIdleTimeout(server, server.running.size);
		server.running.set(id, controller);
		try {
			this.#sendJobFrame(server, {type: 'answer', id, body: await this.#options.onRequest(request, controller.signal, server.confirmations.getRequestConfirmation(id, controller.signal))});
		} catch {
			this.#sendJobFrame(server, {type: 'failure', id});
		}

		server.running.delete(id);
	}

	#keepAlive(now: number): void {
		for (const server of this.#servers) {
			this.#keepConnectionAlive(server, {openCount: server.running.size, timeoutFactor: 1, getFields: () => ({stamp: server.confirmations.createStamp()})}, now);
		}

		for (const record of this.#records.values()) {
			const {client} = record;
			if (client?.connected) {
				this.#keepConnectionAlive(client.connected, {openCount: client.pending.size, timeoutFactor: this.#getTimeoutFactor(record, now), getFields: () => this.#getEcho(client)}, now);
			}
		}
	}

	#keepConnectionAlive(connected: PeerConnection, {openCount, timeoutFactor, getFields}: KeepAliveOptions, now: number): void {
		const silenceMs = missedHeartbeatsUntilDown * heartbeatIntervalMs * (openCount > 0 ? 1 : idleFactor) * timeoutFactor;
		if (now - connected.end.lastReceived > silenceMs) {
			connected.connection.close(connected.end);
		} else {
			this.#sendJobFrame(connected, {type: 'keep-alive', ...getFields()});
		}
	}

	async #sendUrgentEcho(client: JobClientEnd): Promise<void> {
		await this.#options.inputProgress.waitUntilRead();
		this.#sendJobFrame(client.connected, {type: 'keep-alive', ...this.#getEcho(client)});
	}

	#handleClientFrame(client: JobClientEnd, frame: JobFrame): void {
		switch (frame.type) {
			case 'answer': {
				client.pending.get(frame.id)?.finish({kind: 'answered', body: frame.body});
				return;
			}

			case 'failure': {
				client.pending.get(frame.id)?.finish({kind: 'lost', detail: 'the handler failed'});
				return;
			}

			case 'keep-alive': {
				if (frame.stamp !== undefined) {
					client.stamps.addStamp(frame.stamp, this.#getNow());
				}

				if (frame.isUrgent === true) {
					void this.#sendUrgentEcho(client);
				}

				return;
			}

			case 'request':
			case 'cancel': {
				throw new Error(`a client received a message of type ${frame.type}`);
			}
		}
	}
}
