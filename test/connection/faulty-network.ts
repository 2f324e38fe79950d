import {Duplex} from 'node:stream';
import {type Dial, type DialResult, dialTcp} from '../../src/connection/index.js';

/** A connection whose directions can be silenced; the other end notices nothing. */
export class FaultySocket extends Duplex {
	isSendingSilent = false;
	isReceivingSilent = false;
	/** Whether the other end reads nothing more. */
	isStalled = false;
	readonly #inner: Duplex;

	constructor(inner: Duplex, readonly address: string) {
		super();
		this.#inner = inner;
		inner.on('data', (chunk: Uint8Array) => {
			if (!this.isReceivingSilent && !this.push(chunk)) {
				inner.pause();
			}
		});
		inner.on('end', () => {
			if (!this.isReceivingSilent) {
				this.push(null);
			}
		});
		inner.on('close', () => {
			if (!this.isReceivingSilent) {
				this.destroy();
			}
		});
		inner.on('error', () => {
			this.destroy();
		});
	}

	/** Cuts the connection so that both ends notice. */
	reset(): void {
		this.#inner.destroy();
		this.destroy();
	}

	override _read(): void {
		this.#inner.resume();
	}

	override _write(...[chunk, encoding, callback]: Parameters<Duplex['_write']>): void {
		if (this.isStalled) {
			return;
		}

		if (this.isSendingSilent || this.#inner.destroyed) {
			callback();
			return;
		}

		this.#inner.write(chunk as Uint8Array, encoding, callback);
	}

	override _final(...[callback]: Parameters<Duplex['_final']>): void {
		if (!this.isSendingSilent) {
			this.#inner.end();
		}

		callback();
	}

	override _destroy(...[err, callback]: Parameters<Duplex['_destroy']>): void {
		if (!this.isSendingSilent) {
			this.#inner.destroy();
		}

		callback(err);
	}
}

/** The dialled connections of some entry VMs, which can be cut, silenced and refused. */
export class FaultyNetwork {
	readonly sockets: FaultySocket[] = [];
	/** Addresses at which nothing answers. */
	readonly blackHoles = new Set<string>();
	/** Addresses at which nobody listens. */
	readonly refusals = new Set<string>();
	/** Addresses at which another process answers. */
	readonly redirections = new Map<string, string>();

	readonly dial: Dial = async (address, signal) => {
		if (this.blackHoles.has(address)) {
			return waitForAbort(signal);
		}

		if (this.refusals.has(address)) {
			return {ok: false, reason: 'refused', detail: 'nobody listens'};
		}

		const result = await dialTcp(this.redirections.get(address) ?? address, signal);
		if (!result.ok) {
			return result;
		}

		// The cut came while the connection was made.
		if (this.blackHoles.has(address)) {
			result.socket.destroy();
			return waitForAbort(signal);
		}

		const socket = new FaultySocket(result.socket, address);
		this.sockets.push(socket);
		return {ok: true, socket};
	};

	/** Silences the open connections, in one direction or both; new ones work. */
	silence(directions: {readonly sending?: boolean; readonly receiving?: boolean}): void {
		for (const socket of this.sockets) {
			socket.isSendingSilent ||= directions.sending ?? false;
			socket.isReceivingSilent ||= directions.receiving ?? false;
		}
	}

	/** Silences all connections to some addresses, open and new ones; new ones work again after `heal`. */
	cut(addresses: readonly string[]): void {
		for (const address of addresses) {
			this.blackHoles.add(address);
		}

		for (const socket of this.sockets.filter(({address}) => this.blackHoles.has(address))) {
			socket.isSendingSilent = true;
			socket.isReceivingSilent = true;
		}
	}

	/** Lets new connections work again. */
	heal(): void {
		this.blackHoles.clear();
	}
}

async function waitForAbort(signal: AbortSignal): Promise<DialResult> {
	return new Promise(resolve => {
		signal.addEventListener('abort', () => {
			resolve({ok: false, reason: 'unreachable', detail: 'nothing answers'});
		});
	});
}
