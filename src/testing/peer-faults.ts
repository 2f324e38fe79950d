/**
 * Network faults between entry VMs, injected through the function that opens their connections.
 */
import {type Dial, type DialResult, dialTcp} from '../connection/index.js';
import {SwitchableConnection} from './switchable-connection.js';

/** A connection and the VMs at its ends. @internal */
type VmConnection = {
	readonly from: string;
	readonly to: string;
	readonly connection: SwitchableConnection;
};

/** Gets whether a fault affects the connections from one VM to another. */
export type LinkFilter = (from: string, to: string) => boolean;

const matchesNone: LinkFilter = () => false;
const matchesAll: LinkFilter = () => true;

/** Partitions groups of entry VMs and silences connections. */
export class PeerFaults {
	readonly #connections = new Set<VmConnection>();
	readonly #vmNames = new Map<string, string>();
	#isPartitioned: LinkFilter = matchesNone;

	/**
	 * Sets the name of the VM at an address.
	 * @param address - Peer address of the VM.
	 * @param vm - Name of the VM.
	 */
	setAddress(address: string, vm: string): void {
		this.#vmNames.set(address, vm);
	}

	/**
	 * Creates the function with which a VM opens connections.
	 * @param vm - Name of the VM.
	 */
	createDial(vm: string): Dial {
		return async (address, signal) => this.#dial(vm, address, signal);
	}

	/**
	 * Partitions VMs until {@link heal}: their connections go silent, and new ones are not established.
	 * @param isPartitioned - Gets whether two VMs cannot reach each other; checked in both directions.
	 */
	partition(isPartitioned: LinkFilter): void {
		this.#isPartitioned = (from, to) => isPartitioned(from, to) || isPartitioned(to, from);
		this.silence(this.#isPartitioned);
	}

	/** Ends the partition and closes all silenced connections. */
	heal(): void {
		this.#isPartitioned = matchesNone;
		for (const {connection} of this.#connections) {
			if (connection.isSilent()) {
				connection.disconnect();
			}
		}
	}

	/**
	 * Silences the currently open connections permanently; new connections work.
	 * @param filter - Gets whether the connections from one VM to another are affected.
	 */
	silence(filter: LinkFilter = matchesAll): void {
		for (const {connection, from, to} of this.#connections) {
			if (filter(from, to)) {
				connection.silence();
			}
		}
	}

	/** Closes all connections. */
	close(): void {
		for (const {connection} of this.#connections) {
			connection.disconnect();
		}
	}

	async #dial(from: string, address: string, signal: AbortSignal): Promise<DialResult> {
		const to = this.#vmNames.get(address) ?? address;
		if (this.#isPartitioned(from, to)) {
			return waitUntilAborted(signal);
		}

		const result = await dialTcp(address, signal);
		return result.ok ? {ok: true, socket: this.#addConnection(from, to, new SwitchableConnection(result.socket))} : result;
	}

	#addConnection(from: string, to: string, connection: SwitchableConnection): SwitchableConnection {
		const vmConnection: VmConnection = {from, to, connection};
		this.#connections.add(vmConnection);
		connection.once('close', () => {
			if (!connection.isSilent()) {
				this.#connections.delete(vmConnection);
			}
		});
		if (this.#isPartitioned(from, to)) {
			connection.silence();
		}

		return connection;
	}
}

async function waitUntilAborted(signal: AbortSignal): Promise<DialResult> {
	return new Promise(resolve => {
		const end = (): void => {
			resolve({ok: false, reason: 'unreachable', detail: 'cut off'});
		};

		if (signal.aborted) {
			end();
		} else {
			signal.addEventListener('abort', end, {once: true});
		}
	});
}
