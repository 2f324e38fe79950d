/**
 * A stand-in for the platform on loopback: a small key-value service that implements the JSON/HTTP form of the etcd v3 API
 * and can inject faults.
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
	/** Name of the deployment that `addVm` adds VMs to. */
	readonly deployment?: string;
	readonly host?: string;
	/** Ports of the API and of the control endpoint; 0 lets the operating system choose. */
	readonly port?: number;
	readonly controlPort?: number;
};

type RequestHandler = (json: unknown) => unknown;

/**
 * Creates a stand-in and starts its listeners.
 * @param options - Deployment, addresses and clock.
 */
export async function createPlatformStandIn(options: PlatformStandInOptions = {}): Promise<PlatformStandIn> {
	const standIn = new PlatformStandIn(options);
	await standIn.listen();
	return standIn;
}

/** Serves the keys, leases and watches of the platform, with faults. */
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
	/** Aborts the delays of all requests; there may be many listeners. */
	readonly #abortController = new AbortController();
	readonly #callCounts = new Map<string, number>();
	/** Resolve the waits for the next request over a silent connection. */
	readonly #unansweredWaiters = new Set<() => void>();
	readonly #handlers: ReadonlyMap<string, RequestHandler>;
	#server: Server | undefined;
	#listenerUpdate = Promise.resolve();
	#port: number;
	#faults: PlatformFaults = {};

	constructor(options: PlatformStandInOptions = {}) {
		setMaxListeners(0, this.#abortController.signal);
		this.#clock = options.clock ?? systemClock;
		this.#deployment = options.deployment ?? 'test';
		this.#host = options.host ?? '127.0.0.1';
		this.#port = options.port ?? 0;
		this.#watches = new EtcdStandInWatches(this.#store, async () => this.#delay());
		this.#leases = new EtcdStandInLeases(this.#store, this.#clock);
		this.#control = new StandInControl(this, {host: this.#host, port: options.controlPort ?? 0});
		this.#handlers = new Map<string, RequestHandler>([
			['/v3/kv/range', json => answerRange(this.#store, json, this.#faults.staleRevisions)],
			['/v3/kv/put', json => answerPut(this.#store, json)],
			['/v3/kv/txn', json => answerTxn(this.#store, json)],
			['/v3/kv/deleterange', json => answerDelete(this.#store, json)],
			['/v3/lease/grant', json => this.#leases.grant(json)],
			['/v3/lease/keepalive', json => this.#leases.keepAlive(json)],
			['/v3/lease/revoke', json => this.#leases.revoke(json)],
		]);
	}

	/** Opens the listeners of the API and of the control endpoint. */
	async listen(): Promise<void> {
		await this.#updateListener();
		await this.#control.listen();
	}

	/** Gets the base URL of the API. */
	getUrl(): string {
		return `http://${this.#host}:${this.#port}`;
	}

	/** Gets the base URL of the control endpoint. */
	getControlUrl(): string {
		return this.#control.getUrl();
	}

	/** Gets the name of the deployment. */
	getDeployment(): string {
		return this.#deployment;
	}

	/** Gets the number of requests received; a watch counts as one. */
	getCallCount(): number {
		return [...this.#callCounts.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Gets the number of requests received by path. */
	getCallCounts(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.#callCounts);
	}

	/**
	 * Adds a VM to the list or replaces its entry; gets the revision of the write.
	 * @param vm - Entry of the VM.
	 */
	addVm(vm: ListedVm): number {
		return this.putKey(this.#getVmKey(vm), JSON.stringify(vm));
	}

	/**
	 * Removes a VM from the list; gets the revision of the removal.
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

	/** Discards the history, so that a watch cannot resume from an earlier revision. */
	compact(): void {
		this.#store.compact();
	}

	/** Silences the currently open connections permanently; new connections work. */
	silenceConnections(): void {
		for (const socket of this.#sockets) {
			this.#silentSockets.add(socket);
		}
	}

	/** Waits until the next complete request arrives over a silent connection. */
	async waitForUnansweredCall(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#unansweredWaiters.add(resolve);
		});
	}

	/** Gets the active faults. */
	getFault(): PlatformFaults {
		return this.#faults;
	}

	/**
	 * Replaces the active faults; without any, the stand-in works normally again.
	 * @param faults - Faults to activate.
	 */
	async setFault(faults: PlatformFaults = {}): Promise<void> {
		this.#faults = faults;
		if (faults.isSilent) {
			this.silenceConnections();
		}

		await this.#updateListener();
	}

	/** Closes the listeners and all connections. */
	async close(): Promise<void> {
		this.#abortController.abort();
		this.#leases.close();
		await this.#control.close();
		await this.#updateListener();
	}

	/** Opens or closes the listener of the API according to the faults; updates run one after the other. */
	async #updateListener(): Promise<void> {
		const previous = this.#listenerUpdate;
		const update = async (): Promise<void> => {
			await previous;
			const shouldListen = !this.#faults.isDown && !this.#abortController.signal.aborted;
			if (shouldListen && !this.#server) {
				await this.#listen();
			} else if (!shouldListen) {
				await this.#closeServer();
			}
		};

		this.#listenerUpdate = update();
		await this.#listenerUpdate;
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

	#resolveUnansweredWaiters(): void {
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
			this.#resolveUnansweredWaiters();
			return;
		}

		if (path === '/v3/watch') {
			this.#watches.addWatch(json, res, () => this.#isSilent(req.socket));
			return;
		}

		this.#respond(path, json, res);
	}

	#respond(path: string, json: unknown, res: ServerResponse): void {
		const handler = this.#handlers.get(path);
		if (!handler) {
			sendJson(res, 404, {error: 'not found', code: 5, message: 'not found'});
			return;
		}

		const revision = this.#store.getRevision();
		let body: unknown;
		try {
			body = handler(json);
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
			await sleep(this.#clock, delayMs, this.#abortController.signal);
		}
	}
}
