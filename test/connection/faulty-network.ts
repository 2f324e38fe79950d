import {Duplex} from 'node:stream';
import {type Dial, type DialResult, dialTcp} from '../../src/connection/index.js';

/** A connection whose directions can be silenced without the other end being notified. */
export class FaultySocket extends Duplex {
	isSendingSilent = false;
	isReceivingSilent = false;
	/** Whether writes never complete, as if the other end had stopped reading. */
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

	/** Closes the connection at both ends. */
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

/** The dialled connections of some entry VMs, with injected faults: silence, partitions, refusals and redirections. */
export class FaultyNetwork {
	readonly sockets: FaultySocket[] = [];
	/** Addresses from which no answer arrives. */
	readonly blackHoles = new Set<string>();
	/** Addresses that refuse connections. */
	readonly refusals = new Set<string>();
	/** Addresses at which another process answers, with the address of that process. */
	readonly redirections = new Map<string, string>();

	readonly dial: Dial = async (address, signal) => {
		if (this.blackHoles.has(address)) {
			return waitForAbort(signal);
		}

		if (this.refusals.has(address)) {
			return {ok: false, reason: 'refused', detail: 'no listener'};
		}

		const result = await dialTcp(this.redirections.get(address) ?? address, signal);
		if (!result.ok) {
			return result;
		}

		// The address was cut while the connection was being established.
		if (this.blackHoles.has(address)) {
			result.socket.destroy();
			return waitForAbort(signal);
		}

		const socket = new FaultySocket(result.socket, address);
		this.sockets.push(socket);
		return {ok: true, socket};
	};

	/** Silences the open connections in one or both directions; new connections work. */
	silence(directions: {readonly sending?: boolean; readonly receiving?: boolean}): void {
		for (const socket of this.sockets) {
			socket.isSendingSilent ||= directions.sending ?? false;
			socket.isReceivingSilent ||= directions.receiving ?? false;
		}
	}

	/** Silences the open connections to some addresses and blocks new ones until `heal` is called. */
	cut(addresses: readonly string[]): void {
		for (const address of addresses) {
			this.blackHoles.add(address);
		}

		for (const socket of this.sockets.filter(({address}) => this.blackHoles.has(address))) {
			socket.isSendingSilent = true;
			socket.isReceivingSilent = true;
		}
	}

	/** Unblocks new connections. */
	heal(): void {
		this.blackHoles.clear();
	}
}

async function waitForAbort(signal: AbortSignal): Promise<DialResult> {
	return new Promise(resolve => {
		signal.addEventListener('abort', () => {
			resolve({ok: false, reason: 'unreachable', detail: 'no answer'});
		});
	});
}
