/**
 * A stand-in for the platform on loopback: a small key-value service that speaks the JSON/HTTP form of the etcd v3 API,
 * with faults that can be switched.
 */
import {once, setMaxListeners} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {getVmPrefix, type ListedVm} from '../platform/index.js';
import {encode} from '../platform/etcd-messages.js';
import {type Clock, sleep, systemClock} from '../seams/index.js';
import {
	answerDelete, answerPut, answerRange, answerTxn, normalizeNames,
} from './etcd-stand-in-messages.js';
import {EtcdStandInLeases} from './etcd-stand-in-leases.js';
import {EtcdStandInStore} from './etcd-stand-in-store.js';
import {EtcdStandInWatches} from './etcd-stand-in-watches.js';
import {readJson, sendJson} from './http-json.js';
import {type PlatformFaults} from './platform-faults.js';
import {StandInControl} from './stand-in-control.js';

/** Options of {@link createPlatformStandIn}. */
export type PlatformStandInOptions = {
	readonly clock?: Clock;
	/** Deployment whose VMs `addVm` lists. */
	readonly deployment?: string;
	readonly host?: string;
	/** Ports; 0 leaves the choice to the operating system. */
	readonly port?: number;
	readonly controlPort?: number;
};

type Answer = (json: unknown) => unknown;

/**
 * Creates a stand-in that listens.
 * @param options - Deployment, addresses and seams.
 */
export async function createPlatformStandIn(options: PlatformStandInOptions = {}): Promise<PlatformStandIn> {
	const standIn = new PlatformStandIn(options);
	await standIn.listen();
	return standIn;
}

/** The platform's stand-in. */
export class PlatformStandIn {
	readonly #clock: Clock;
	readonly #deployment: string;
	readonly #host: string;
	readonly #control: StandInControl;
	readonly #store = new EtcdStandInStore();
	readonly #watches: EtcdStandInWatches;
	readonly #leases: EtcdStandInLeases;
	readonly #sockets = new Set<Socket>();
	readonly #silentSockets = new WeakSet<Socket>();
	/** Aborts the waits of all requests; there may be many. */
	readonly #closing = new AbortController();
	readonly #callCounts = new Map<string, number>();
	/** Told of each request that came over a silent connection. */
	readonly #unansweredWaiters = new Set<() => void>();
	readonly #answers: ReadonlyMap<string, Answer>;
	#server: Server | undefined;
	#adjusting = Promise.resolve();
	#port: number;
	#faults: PlatformFaults = {};

	constructor(options: PlatformStandInOptions = {}) {
		setMaxListeners(0, this.#closing.signal);
		this.#clock = options.clock ?? systemClock;
		this.#deployment = options.deployment ?? 'test';
		this.#host = options.host ?? '127.0.0.1';
		this.#port = options.port ?? 0;
		this.#watches = new EtcdStandInWatches(this.#store, async () => this.#delay());
		this.#leases = new EtcdStandInLeases(this.#store, this.#clock);
		this.#control = new StandInControl(this, {host: this.#host, port: options.controlPort ?? 0});
		this.#answers = new Map<string, Answer>([
			['/v3/kv/range', json => answerRange(this.#store, json, this.#faults.staleRevisions)],
			['/v3/kv/put', json => answerPut(this.#store, json)],
			['/v3/kv/txn', json => answerTxn(this.#store, json)],
			['/v3/kv/deleterange', json => answerDelete(this.#store, json)],
			['/v3/lease/grant', json => this.#leases.grant(json)],
			['/v3/lease/keepalive', json => this.#leases.keepAlive(json)],
			['/v3/lease/revoke', json => this.#leases.revoke(json)],
		]);
	}

	/** Begins to listen, both for the API and for the control of the faults. */
	async listen(): Promise<void> {
		await this.#adjustServer();
		await this.#control.listen();
	}

	/** Gets the base URL of the API. */
	getUrl(): string {
		return `http://${this.#host}:${this.#port}`;
	}

	/** Gets the base URL of the control of the faults. */
	getControlUrl(): string {
		return this.#control.getUrl();
	}

	/** Gets the name of the deployment whose VMs are listed. */
	getDeployment(): string {
		return this.#deployment;
	}

	/** Gets the number of requests taken, a watch counted as one. */
	getCallCount(): number {
		return [...this.#callCounts.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Gets the number of requests taken by path. */
	getCallCounts(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.#callCounts);
	}

	/**
	 * Adds a VM to the list, or changes its entry.
	 * @param vm - Entry of the VM.
	 */
	addVm(vm: ListedVm): number {
		return this.putKey(this.#getVmKey(vm), JSON.stringify(vm));
	}

	/**
	 * Removes a VM from the list.
	 * @param vm - VM to remove.
	 */
	removeVm(vm: Pick<ListedVm, 'dataCenter' | 'name'>): number {
		return this.removeKey(this.#getVmKey(vm));
	}

	/**
	 * Writes a key; gets the revision of the write.
	 * @param key - Key to write.
	 * @param value - New value.
	 */
	putKey(key: string, value: string): number {
		return this.#store.commit([{kind: 'put', key, value: encode(value)}]);
	}

	/**
	 * Removes a key; gets the revision of the removal.
	 * @param key - Key to remove.
	 */
	removeKey(key: string): number {
		return this.#store.commit([{kind: 'delete', range: {key}}]);
	}

	/** Forgets the history, so that a watch cannot resume from before. */
	compact(): void {
		this.#store.compact();
	}

	/** Silences the connections that are open now for good; new ones work. */
	silenceConnections(): void {
		for (const socket of this.#sockets) {
			this.#silentSockets.add(socket);
		}
	}

	/** Waits until a request has come whole over a silent connection, from the call on. */
	async waitForUnansweredCall(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#unansweredWaiters.add(resolve);
		});
	}

	/** Gets the faults that are on. */
	getFault(): PlatformFaults {
		return this.#faults;
	}

	/**
	 * Sets the faults in place of the present ones; without any, all works again.
	 * @param faults - Faults to switch on.
	 */
	async setFault(faults: PlatformFaults = {}): Promise<void> {
		this.#faults = faults;
		if (faults.isSilent) {
			this.silenceConnections();
		}

		await this.#adjustServer();
	}

	/** Ends the stand-in and its connections. */
	async close(): Promise<void> {
		this.#closing.abort();
		this.#leases.close();
		await this.#control.close();
		await this.#adjustServer();
	}

	/** Opens or closes the listener as the faults ask, one change after the other. */
	async #adjustServer(): Promise<void> {
		const before = this.#adjusting;
		const adjust = async (): Promise<void> => {
			await before;
			const isWanted = !this.#faults.isDown && !this.#closing.signal.aborted;
			if (isWanted && !this.#server) {
				await this.#listen();
			} else if (!isWanted) {
				await this.#closeServer();
			}
		};

		this.#adjusting = adjust();
		await this.#adjusting;
	}

	#getVmKey({dataCenter, name}: Pick<ListedVm, 'dataCenter' | 'name'>): string {
		return `${getVmPrefix(this.#deployment)}${dataCenter}/${name}`;
	}

	async #listen(): Promise<void> {
		const server = createServer((req, res) => {
			void this.#handle(req, res);
		});
		server.on('connection', socket => {
			this.#addSocket(socket);
		});
		server.listen(this.#port, this.#host);
		await once(server, 'listening');
		this.#server = server;
		this.#port = (server.address() as AddressInfo).port;
	}

	#addSocket(socket: Socket): void {
		this.#sockets.add(socket);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
		if (this.#faults.isSilent) {
			this.#silentSockets.add(socket);
		}
	}

	#endUnansweredWaits(): void {
		for (const resolve of this.#unansweredWaiters) {
			resolve();
		}

		this.#unansweredWaiters.clear();
	}

	async #closeServer(): Promise<void> {
		const server = this.#server;
		if (!server) {
			return;
		}

		this.#server = undefined;
		const closed = once(server, 'close');
		server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await closed;
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const path = req.url ?? '';
		this.#callCounts.set(path, (this.#callCounts.get(path) ?? 0) + 1);
		const json = normalizeNames(await readJson(req));
		await this.#delay();
		if (this.#isSilent(req.socket) || req.socket.destroyed) {
			this.#endUnansweredWaits();
			return;
		}

		if (path === '/v3/watch') {
			this.#watches.addWatch(json, res, () => this.#isSilent(req.socket));
			return;
		}

		this.#answer(path, json, res);
	}

	#answer(path: string, json: unknown, res: ServerResponse): void {
		const answer = this.#answers.get(path);
		if (!answer) {
			sendJson(res, 404, {error: 'not found', code: 5, message: 'not found'});
			return;
		}

		const revision = this.#store.getRevision();
		let body: unknown;
		try {
			body = answer(json);
		} catch (err) {
			sendJson(res, 400, {error: String(err), code: 3, message: String(err)});
			return;
		}

		if (this.#faults.losesAnswers && this.#store.getRevision() !== revision) {
			res.socket?.destroy();
			return;
		}

		sendJson(res, 200, body);
	}

	#isSilent(socket: Socket): boolean {
		return this.#silentSockets.has(socket);
	}

	async #delay(): Promise<void> {
		const delayMs = this.#faults.delayMs ?? 0;
		if (delayMs > 0) {
			await sleep(this.#clock, delayMs, this.#closing.signal);
		}
	}
}
