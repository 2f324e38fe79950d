/**
 * Faults of the network between entry VMs, put in the place of their way to make connections.
 */
import {type Dial, type DialResult, dialTcp} from '../connection/index.js';
import {SwitchableConnection} from './switchable-connection.js';

/** A connection with the VMs at its ends. @internal */
type Link = {
	readonly from: string;
	readonly to: string;
	readonly connection: SwitchableConnection;
};

/** Tells whether a fault hits the connections between two VMs. */
export type LinkFilter = (from: string, to: string) => boolean;

const hitsNone: LinkFilter = () => false;
const hitsAll: LinkFilter = () => true;

/** Cuts groups of entry VMs off from each other, and silences connections. */
export class PeerFaults {
	readonly #links = new Set<Link>();
	readonly #names = new Map<string, string>();
	#isCut: LinkFilter = hitsNone;

	/**
	 * Sets the name of the VM behind an address.
	 * @param address - Peer address of the VM.
	 * @param vm - Name of the VM.
	 */
	setAddress(address: string, vm: string): void {
		this.#names.set(address, vm);
	}

	/**
	 * Creates the way in which one VM makes connections.
	 * @param vm - Name of the VM.
	 */
	createDial(vm: string): Dial {
		return async (address, signal) => this.#dial(vm, address, signal);
	}

	/**
	 * Cuts VMs off from each other: connections go silent, and new ones are not made, until {@link heal}.
	 * @param isCut - Tells whether two VMs cannot reach each other; asked both ways.
	 */
	partition(isCut: LinkFilter): void {
		this.#isCut = (from, to) => isCut(from, to) || isCut(to, from);
		this.silence(this.#isCut);
	}

	/** Ends every cut; the connections that fell silent break. */
	heal(): void {
		this.#isCut = hitsNone;
		for (const {connection} of this.#links) {
			if (connection.isSilent()) {
				connection.breakOff();
			}
		}
	}

	/**
	 * Silences the connections that are open now, for good; new ones work.
	 * @param isHit - Tells whether the connections between two VMs are hit.
	 */
	silence(isHit: LinkFilter = hitsAll): void {
		for (const {connection, from, to} of this.#links) {
			if (isHit(from, to)) {
				connection.silence();
			}
		}
	}

	/** Breaks every connection that is still known. */
	close(): void {
		for (const {connection} of this.#links) {
			connection.breakOff();
		}
	}

	async #dial(from: string, address: string, signal: AbortSignal): Promise<DialResult> {
		const to = this.#names.get(address) ?? address;
		if (this.#isCut(from, to)) {
			return waitUntilAborted(signal);
		}

		const result = await dialTcp(address, signal);
		return result.ok ? {ok: true, socket: this.#addLink(from, to, new SwitchableConnection(result.socket))} : result;
	}

	#addLink(from: string, to: string, connection: SwitchableConnection): SwitchableConnection {
		const link: Link = {from, to, connection};
		this.#links.add(link);
		connection.once('close', () => {
			if (!connection.isSilent()) {
				this.#links.delete(link);
			}
		});
		if (this.#isCut(from, to)) {
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
