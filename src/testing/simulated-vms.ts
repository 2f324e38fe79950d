/**
 * The links between entry VMs in one process: members known by heartbeats, messages and requests over connections that can be cut,
 * reset and silenced. It follows `PeerMesh` where every VM is linked to every other; reports of third VMs are left out.
 */
import {PassThrough} from 'node:stream';
import {type Stream} from 'most';
import {
	type ControlMessage, type Dial, type Incarnation, type Member, type MemberState, type PeerNetwork, type PeerOutcome, type PeerRequest, type RequestAbortReason,
} from '../connection/index.js';
import {type PoolClaims} from '../pool/index.js';
import {CurrentValue} from '../process/current-value.js';
import {type Clock, type Random, type Timer} from '../seams/index.js';
import {type IsCut, SimulatedConnection, type SimulatedEnd} from './simulated-connection.js';
import {type SimulatedProcess} from './simulated-process.js';

/** Times of the real links, as `PlatformEntryVm` sets them; all in milliseconds. */
const beatMs = 100;
const silentBeats = 3;
const downBeats = 5;
const newcomerMs = 3000;
const newcomerPatience = 4;
const connectMs = 300;
const redialMs = 300;
const forgetMs = 60_000;
const pauseMs = 200;
const idleFactor = 4;
const heldUpMs = 1200;

/** What a heartbeat tells. */
export type SimulatedBeat = {
	readonly isLeaving: boolean;
	readonly claims: Readonly<Record<string, number>>;
	readonly cores: number;
	readonly load: PoolClaims;
};

/** What the links need of a VM. */
export type SimulatedVmOptions = {
	readonly process: SimulatedProcess;
	readonly self: Incarnation;
	readonly getBeat: () => SimulatedBeat;
	/** Gets every how many ticks a heartbeat goes to a VM. */
	readonly getBeatFactor: (peer: Incarnation) => number;
	readonly onBeat: (load: PoolClaims, from: Incarnation) => void;
	readonly onControl: (message: ControlMessage) => void;
	readonly onRequest: (request: PeerRequest, signal: AbortSignal) => Promise<unknown>;
};

type ConnectionKind = 'control' | 'job';
type Connected = {readonly connection: SimulatedConnection; readonly end: SimulatedEnd; readonly peer: Incarnation};
type ConnectResult = Connected | 'refused' | 'unreachable';

/** Options of {@link SimulatedVms}. */
export type SimulatedVmsOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly getWayMs: (from: string, to: string) => number;
};

/** Joins the VMs. */
export class SimulatedVms {
	readonly #options: SimulatedVmsOptions;
	/** By name; the last incarnation, also when it is dead. */
	readonly #vms = new Map<string, SimulatedVm>();
	/** Names whose VM is off, so that nothing answers for them. */
	readonly #off = new Set<string>();
	readonly #cuts = new Set<IsCut>();
	#connections = new Set<SimulatedConnection>();

	constructor(options: SimulatedVmsOptions) {
		this.#options = options;
	}

	/**
	 * Adds an incarnation, which looks for the others.
	 * @param options - The VM.
	 */
	addVm(options: SimulatedVmOptions): SimulatedVm {
		const vm = new SimulatedVm(options, this, this.#options.random);
		this.#vms.set(options.self.vm, vm);
		this.#off.delete(options.self.vm);
		return vm;
	}

	/** Gets the names of all VMs. */
	getNames(): readonly string[] {
		return [...this.#vms.keys()];
	}

	/** Gets whether nothing goes from one place to another. */
	isCut(from: string, to: string): boolean {
		for (const cut of this.#cuts) {
			if (cut(from, to)) {
				return true;
			}
		}

		return false;
	}

	/**
	 * Cuts until the function that it gives back is called.
	 * @param cut - Tells what is cut.
	 */
	addCut(cut: IsCut): () => void {
		this.#cuts.add(cut);
		return () => {
			this.#cuts.delete(cut);
			for (const connection of this.#connections) {
				connection.resend();
			}
		};
	}

	/**
	 * Ends a process.
	 * @param name - VM.
	 * @param isPower - Whether the VM loses power, so that nothing tells the others.
	 */
	kill(name: string, isPower = false): void {
		this.#vms.get(name)!.process.kill();
		if (isPower) {
			this.#off.add(name);
			return;
		}

		for (const connection of this.#connections) {
			for (const end of connection.ends.filter(({vm, process, isClosed}) => vm === name && process.isDead() && !isClosed)) {
				connection.tellClosed(end);
				end.isClosed = true;
			}
		}
	}

	/**
	 * Resets open connections.
	 * @param isHit - Tells between which VMs.
	 */
	reset(isHit: IsCut): void {
		for (const connection of this.#getHit(isHit)) {
			connection.reset();
		}
	}

	/**
	 * Silences connections that are open now, in one direction.
	 * @param isHit - Tells from which VM to which.
	 */
	silence(isHit: IsCut): void {
		for (const {ends: [a, b]} of this.#connections) {
			a.isSilenced ||= isHit(a.vm, b.vm);
			b.isSilenced ||= isHit(b.vm, a.vm);
		}
	}

	/**
	 * Makes a connection.
	 * @param from - VM that makes it.
	 * @param to - Name of the other VM.
	 * @param kind - What it is for.
	 * @param wanted - Incarnation that alone is wanted.
	 */
	async connect(from: SimulatedVm, to: string, kind: ConnectionKind, wanted?: string): Promise<ConnectResult> {
		const {clock, getWayMs} = this.#options;
		const fromName = from.self.vm;
		return new Promise(resolve => {
			const timer = from.process.setTimer(() => {
				resolve('unreachable');
			}, connectMs);
			const answer = (result: ConnectResult): void => {
				clock.setTimer(() => {
					if (!this.isCut(to, fromName)) {
						from.process.dispatch(() => {
							timer.close();
							resolve(result);
						});
					}
				}, getWayMs(to, fromName));
			};

			clock.setTimer(() => {
				const vm = this.#vms.get(to);
				if (this.isCut(fromName, to) || this.isCut(to, fromName) || this.#off.has(to)) {
					return;
				}

				if (vm === undefined || vm.process.isDead()) {
					answer('refused');
					return;
				}

				vm.process.dispatch(() => {
					answer(wanted === undefined || vm.self.id === wanted ? this.#open(from, vm, kind) : 'refused');
				});
			}, getWayMs(fromName, to) * 2);
		});
	}

	/** Creates the way in which a VM tries whether others are there. */
	createDial(from: SimulatedVm): Dial {
		return async (to, signal) => new Promise(resolve => {
			signal.addEventListener('abort', () => {
				resolve({ok: false, reason: 'unreachable', detail: 'connecting took too long'});
			});
			const {clock, getWayMs} = this.#options;
			clock.setTimer(() => {
				if (this.isCut(from.self.vm, to) || this.isCut(to, from.self.vm) || this.#off.has(to)) {
					return;
				}

				from.process.dispatch(() => {
					const isThere = this.#vms.get(to)?.process.isDead() === false;
					resolve(isThere ? {ok: true, socket: new PassThrough()} : {ok: false, reason: 'refused', detail: ''});
				});
			}, getWayMs(from.self.vm, to) * 2);
		});
	}

	#getHit(isHit: IsCut): readonly SimulatedConnection[] {
		return [...this.#connections].filter(({ends: [a, b]}) => isHit(a.vm, b.vm) || isHit(b.vm, a.vm));
	}

	#open(from: SimulatedVm, to: SimulatedVm, kind: ConnectionKind): Connected {
		const connection = new SimulatedConnection(
			{vm: from.self.vm, process: from.process},
			{vm: to.self.vm, process: to.process},
			{...this.#options, isCut: (a, b) => this.isCut(a, b)},
		);
		this.#connections = new Set([...this.#connections].filter(other => !other.isOver()));
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

/** What one VM keeps of another incarnation. */
type PeerRecord = {
	readonly incarnation: Incarnation;
	readonly knownSince: number;
	state: MemberState;
	isLeaving: boolean;
	claims: Readonly<Record<string, number>>;
	cores: number;
	lastHeard: number;
	downSince: number;
	nextBeatMs: number;
	link: Connected | undefined;
	client: JobClientEnd | undefined;
};

type PendingRequest = {readonly id: number; readonly request: PeerRequest; isSent: boolean; readonly finish: (outcome: PeerOutcome) => void};
type JobClientEnd = {connected: Connected | undefined; readonly pending: Map<number, PendingRequest>};
type JobServerEnd = Connected & {readonly running: Map<number, AbortController>; heardAt: number};

type JobFrame =
	| {readonly type: 'request'; readonly id: number; readonly request: PeerRequest}
	| {readonly type: 'answer'; readonly id: number; readonly body: unknown}
	| {readonly type: 'failure' | 'cancel' | 'keep-alive'; readonly id: number};

type ControlFrame =
	| {readonly type: 'beat'; readonly beat: SimulatedBeat; readonly nextBeatMs: number}
	| {readonly type: 'message'; readonly message: ControlMessage};

/** The links of one incarnation. */
export class SimulatedVm implements PeerNetwork {
	readonly process: SimulatedProcess;
	readonly self: Incarnation;
	readonly #options: SimulatedVmOptions;
	readonly #vms: SimulatedVms;
	readonly #random: Random;
	readonly #members = new CurrentValue<readonly Member[]>([]);
	readonly #records = new Map<string, PeerRecord>();
	readonly #servers = new Set<JobServerEnd>();
	/** Names that are dialled, with the time of the next try. */
	readonly #dials = new Map<string, number>();
	readonly #timer: Timer;
	#lastTick: number;
	#ticks = 0;
	#lastId = 0;
	#isClosed = false;

	constructor(options: SimulatedVmOptions, vms: SimulatedVms, random: Random) {
		this.#options = options;
		this.process = options.process;
		this.self = options.self;
		this.#vms = vms;
		this.#random = random;
		this.#lastTick = this.#getNow();
		this.#timer = this.process.setRepeatingTimer(() => {
			this.#tick();
		}, beatMs);
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

	async request(incarnationId: string, request: PeerRequest, signal?: AbortSignal): Promise<PeerOutcome> {
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
			this.#setBusy(client.connected, client.pending.size);
			client.pending.set(pending.id, pending);
			if (client.connected) {
				this.#sendRequest(client.connected, pending);
			}
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
	 * Takes a link.
	 * @param link - Link to another VM, made by either.
	 */
	addLink(link: Connected): void {
		const record = this.#getOrAddRecord(link.peer);
		record.link = link;
		record.lastHeard = this.#getNow();
		link.end.onMessage = message => {
			this.#handleControlFrame(record, message as ControlFrame);
		};

		link.end.onClose = () => {
			record.link = record.link === link ? undefined : record.link;
		};

		this.#sendBeat(record);
	}

	/**
	 * Takes a connection over which requests come in.
	 * @param connected - Connection.
	 */
	addServer(connected: Connected): void {
		const server: JobServerEnd = {...connected, running: new Map(), heardAt: this.#getNow()};
		this.#servers.add(server);
		server.end.onMessage = message => {
			this.#handleServerFrame(server, message as JobFrame);
		};

		server.end.onClose = () => {
			this.#servers.delete(server);
			for (const controller of server.running.values()) {
				controller.abort('disconnected' satisfies RequestAbortReason);
			}
		};
	}

	#getNow(): number {
		return this.process.getMonotonicTime();
	}

	#getOrAddRecord(incarnation: Incarnation): PeerRecord {
		const now = this.#getNow();
		const record = this.#records.get(incarnation.id) ?? {
			incarnation, knownSince: now, state: 'silent', isLeaving: false, claims: {}, cores: 1, lastHeard: now, downSince: 0, nextBeatMs: 0, link: undefined, client: undefined,
		};
		this.#records.set(incarnation.id, record);
		return record;
	}

	#publish(): void {
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

		this.#publish();
	}

	#tick(): void {
		const now = this.#getNow();
		this.#ticks++;
		if (now - this.#lastTick > pauseMs) {
			this.#restartSilence(now);
		}

		this.#lastTick = now;
		for (const record of this.#records.values()) {
			if (this.#ticks % this.#options.getBeatFactor(record.incarnation) === 0) {
				this.#sendBeat(record);
			}
		}

		// What came in during a busy turn is read before anybody is found silent.
		this.process.setTimer(() => {
			this.#keepAlive(now);
			for (const record of this.#records.values()) {
				this.#evaluate(record, now);
			}

			this.#dialAll();
		}, 0);
	}

	#restartSilence(now: number): void {
		for (const record of this.#records.values()) {
			record.lastHeard = now;
			if (record.client?.connected) {
				record.client.connected.end.lastReceived = now;
			}
		}

		for (const {end} of this.#servers) {
			end.lastReceived = now;
		}
	}

	#getPatience(record: PeerRecord, now: number): number {
		return now - record.knownSince < newcomerMs ? newcomerPatience : 1;
	}

	#evaluate(record: PeerRecord, now: number): void {
		if (record.state === 'down') {
			const isReplaced = [...this.#records.values()].some(({incarnation, state}) => state === 'up' && incarnation.vm === record.incarnation.vm);
			if (isReplaced && now - record.downSince > forgetMs) {
				this.#records.delete(record.incarnation.id);
				this.#publish();
			}

			return;
		}

		const expectedMs = Math.max(beatMs, record.nextBeatMs) * this.#getPatience(record, now);
		record.lastHeard = Math.max(record.lastHeard, record.link?.end.lastReceived ?? 0);
		const age = now - record.lastHeard;
		if (age > downBeats * expectedMs) {
			this.#setState(record, 'down');
		} else if (age > silentBeats * expectedMs) {
			this.#setState(record, 'silent');
			record.link?.connection.close(record.link.end);
		}
	}

	#dialAll(): void {
		const now = this.#getNow();
		for (const name of this.#vms.getNames()) {
			const isLinked = name === this.self.vm || [...this.#records.values()].some(({incarnation, link}) => link !== undefined && incarnation.vm === name);
			if (!isLinked && !this.#isClosed && now >= (this.#dials.get(name) ?? 0)) {
				this.#dials.set(name, Infinity);
				void this.#dial(name);
			}
		}
	}

	async #dial(name: string): Promise<void> {
		const result = await this.#vms.connect(this, name, 'control');
		this.#dials.set(name, this.#getNow() + (this.#random.getFloat() * redialMs));
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

	#sendBeat(record: PeerRecord): void {
		if (record.link !== undefined) {
			this.#sendControlFrame(record.link, {type: 'beat', beat: this.#options.getBeat(), nextBeatMs: beatMs * this.#options.getBeatFactor(record.incarnation)});
		}
	}

	#sendControlFrame({connection, end}: Connected, frame: ControlFrame): void {
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

		const {isLeaving, claims, cores, load} = frame.beat;
		record.lastHeard = this.#getNow();
		record.nextBeatMs = frame.nextBeatMs;
		if (record.isLeaving !== isLeaving || record.cores !== cores || JSON.stringify(record.claims) !== JSON.stringify(claims)) {
			record.isLeaving = isLeaving;
			record.claims = claims;
			record.cores = cores;
			this.#publish();
		}

		this.#setState(record, 'up');
		this.#options.onBeat(load, record.incarnation);
	}

	#addClient(record: PeerRecord): JobClientEnd {
		const client: JobClientEnd = {connected: undefined, pending: new Map()};
		record.client = client;
		void this.#connectClient(record, client);
		return client;
	}

	async #connectClient(record: PeerRecord, client: JobClientEnd): Promise<void> {
		const result = await this.#vms.connect(this, record.incarnation.vm, 'job', record.incarnation.id);
		if (typeof result === 'string') {
			this.#endClient(record, client);
			return;
		}

		client.connected = result;
		result.end.onMessage = message => {
			handleClientFrame(client, message as JobFrame);
		};

		result.end.onClose = () => {
			this.#endClient(record, client);
		};

		for (const pending of client.pending.values()) {
			this.#sendRequest(result, pending);
		}
	}

	#endClient(record: PeerRecord, client: JobClientEnd): void {
		record.client = undefined;
		for (const {isSent, finish} of client.pending.values()) {
			finish({kind: isSent ? 'lost' : 'not_sent', detail: 'the job connection ended'});
		}
	}

	#sendRequest(connected: Connected, pending: PendingRequest): void {
		pending.isSent = true;
		this.#sendJobFrame(connected, {type: 'request', id: pending.id, request: pending.request});
	}

	#sendJobFrame(connected: Connected | undefined, frame: JobFrame): void {
		connected?.connection.send(connected.end, frame);
	}

	/** Until the first request the other end kept the slow pace. */
	#setBusy(connected: Connected | undefined, openCount: number): void {
		if (connected !== undefined && openCount === 0) {
			connected.end.lastReceived = this.#getNow();
		}
	}

	#handleServerFrame(server: JobServerEnd, frame: JobFrame): void {
		const gapMs = this.#getNow() - server.heardAt;
		server.heardAt = this.#getNow();
		if (gapMs > heldUpMs) {
			// As the real server does: what a cut or a pause has held up may have been given up by the peer.
			server.connection.close(server.end);
			return;
		}

		if (frame.type === 'request') {
			void this.#answer(server, frame.id, frame.request);
		} else if (frame.type === 'cancel') {
			const controller = server.running.get(frame.id);
			server.running.delete(frame.id);
			controller?.abort('cancelled' satisfies RequestAbortReason);
		}
	}

	async #answer(server: JobServerEnd, id: number, request: PeerRequest): Promise<void> {
		const controller = new AbortController();
		this.#setBusy(server, server.running.size);
		server.running.set(id, controller);
		try {
			this.#sendJobFrame(server, {type: 'answer', id, body: await this.#options.onRequest(request, controller.signal)});
		} catch {
			this.#sendJobFrame(server, {type: 'failure', id});
		}

		server.running.delete(id);
	}

	#keepAlive(now: number): void {
		for (const server of this.#servers) {
			this.#keepConnectionAlive(server, {openCount: server.running.size, patience: 1}, now);
		}

		for (const record of this.#records.values()) {
			const {client} = record;
			if (client?.connected) {
				this.#keepConnectionAlive(client.connected, {openCount: client.pending.size, patience: this.#getPatience(record, now)}, now);
			}
		}
	}

	#keepConnectionAlive(connected: Connected, {openCount, patience}: {readonly openCount: number; readonly patience: number}, now: number): void {
		const silenceMs = downBeats * beatMs * (openCount > 0 ? 1 : idleFactor) * patience;
		if (now - connected.end.lastReceived > silenceMs) {
			connected.connection.close(connected.end);
		} else {
			this.#sendJobFrame(connected, {type: 'keep-alive', id: 0});
		}
	}
}

function handleClientFrame(client: JobClientEnd, frame: JobFrame): void {
	const pending = client.pending.get(frame.id);
	if (frame.type === 'answer') {
		pending?.finish({kind: 'answered', body: frame.body});
	} else if (frame.type === 'failure') {
		pending?.finish({kind: 'lost', detail: 'the handler failed'});
	}
}
