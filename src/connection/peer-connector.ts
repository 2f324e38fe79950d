/**
 * Dials and accepts connections and runs their handshakes.
 */
import {type Duplex} from 'node:stream';
import type Logger from 'bunyan';
import {type EventLog} from '../process/events.js';
import {FrameConnection} from './frame-connection.js';
import {
	type DialingSide, Handshake, type HandshakeFailure, type HandshakeOptions, type HandshakePeer, type ListeningSide, maxHandshakeFrameBytes,
} from './handshake.js';
import {type ConnectionKind} from './handshake-messages.js';
import {type Dial, type Listen, type PeerListener} from './tcp-transport.js';
import {type LinkFault, type TrafficMeter} from './traffic.js';

/** A connection that has completed its handshake. */
export type PeerConnection = {
	readonly peer: HandshakePeer;
	readonly connection: FrameConnection;
};

/** Result of dialling a connection. */
export type ConnectResult =
	| ({readonly ok: true} & PeerConnection)
	| {
		readonly ok: false;
		readonly reason: HandshakeFailure | 'refused' | 'unreachable';
		/** Incarnation that answered, if this side rejected it. */
		readonly incarnationId?: string;
	};

/** Options of a {@link PeerConnector}. */
export type PeerConnectorOptions = Omit<HandshakeOptions, 'address'> & {
	readonly dial: Dial;
	readonly listen: Listen;
	readonly listenAddress: string;
	/** Address advertised to other entry VMs; defaults to the one listened on. */
	readonly advertisedAddress?: string;
	/** Maximum payload of a frame on each kind of connection, in bytes. */
	readonly maxFrameBytes: Readonly<Record<ConnectionKind, number>>;
	/** Maximum number of accepted connections in their handshake at a time. */
	readonly maxHandshakes: number;
	readonly meter: TrafficMeter;
	readonly events: EventLog;
	readonly log?: Logger;
};

/** Failures that indicate a wrong setting or a faulty peer, in contrast to those expected in normal operation. */
const reportedFailures: ReadonlySet<string> = new Set<LinkFault>([
	'garbage', 'handshake-timeout', 'wrong-key', 'wrong-deployment', 'wrong-protocol', 'wrong-incarnation',
]);

/** Minimum time between two events about rejected connections with the same reason, in milliseconds. */
const minEventIntervalMs = 1000;

/**
 * Dials and accepts connections to other entry VMs of the deployment.
 * @internal
 */
export class PeerConnector {
	readonly #options: PeerConnectorOptions;
	readonly #connections = new Set<FrameConnection>();
	readonly #dials = new Set<AbortController>();
	readonly #lastEvents = new Map<string, number>();
	#listener: PeerListener | undefined;
	#handshakeCount = 0;
	#isClosed = false;

	constructor(options: PeerConnectorOptions) {
		this.#options = options;
	}

	/** Gets the address advertised to other entry VMs. */
	getAddress(): string {
		return this.#options.advertisedAddress ?? this.#listener?.address ?? this.#options.listenAddress;
	}

	/**
	 * Starts to accept connections.
	 * @param side - Decisions of the listening side.
	 * @param onConnection - Called with each connection after its handshake.
	 */
	async listen(side: ListeningSide, onConnection: (connection: PeerConnection) => void): Promise<void> {
		this.#listener = await this.#options.listen(this.#options.listenAddress, socket => {
			void this.#accept(socket, side, onConnection);
		});
	}

	/**
	 * Dials a connection and runs its handshake.
	 * @param address - Address to dial.
	 * @param side - Decisions of the dialling side.
	 */
	async connect(address: string, side: DialingSide): Promise<ConnectResult> {
		const dialed = await this.#dialWithTimeout(address);
		if (!dialed.ok) {
			return {ok: false, reason: dialed.reason};
		}

		const connection = this.#createConnection(dialed.socket);
		const result = await new Handshake(connection, this.#getHandshakeOptions()).dial(side);
		if (!result.ok) {
			this.#addFailure(result.reason, address);
			return {ok: false, reason: result.reason, incarnationId: result.incarnation?.id};
		}

		this.#setPurpose(connection, result.peer.kind);
		return {ok: true, peer: result.peer, connection};
	}

	/** Stops the listener and closes all connections. */
	async close(): Promise<void> {
		this.#isClosed = true;
		await this.#listener?.close();
		for (const controller of this.#dials) {
			controller.abort();
		}

		for (const connection of this.#connections) {
			connection.close();
		}
	}

	async #dialWithTimeout(address: string): ReturnType<Dial> {
		const controller = new AbortController();
		const timer = this.#options.clock.setTimer(() => {
			controller.abort();
		}, this.#options.timeoutMs);
		this.#dials.add(controller);
		const result = await this.#options.dial(address, controller.signal);
		this.#dials.delete(controller);
		timer.close();
		return result;
	}

	async #accept(socket: Duplex, side: ListeningSide, onConnection: (connection: PeerConnection) => void): Promise<void> {
		if (this.#isClosed || this.#handshakeCount >= this.#options.maxHandshakes) {
			this.#options.meter.addFault('too-many-handshakes');
			socket.destroy();
			return;
		}

		this.#handshakeCount++;
		const connection = this.#createConnection(socket);
		const result = await new Handshake(connection, this.#getHandshakeOptions()).accept(side);
		this.#handshakeCount--;
		if (!result.ok) {
			this.#addFailure(result.reason, result.incarnation?.id ?? 'unknown');
			return;
		}

		this.#setPurpose(connection, result.peer.kind);
		onConnection({peer: result.peer, connection});
	}

	#getHandshakeOptions(): HandshakeOptions {
		return {...this.#options, address: this.getAddress()};
	}

	#createConnection(socket: Duplex): FrameConnection {
		const {clock, meter} = this.#options;
		const connection = new FrameConnection({
			clock,
			socket,
			traffic: meter.control,
			maxFrameBytes: maxHandshakeFrameBytes,
			onFault(fault) {
				meter.addFault(fault);
			},
		});
		this.#connections.add(connection);
		socket.once('close', () => {
			this.#connections.delete(connection);
		});
		if (this.#isClosed) {
			connection.close();
		}

		return connection;
	}

	#setPurpose(connection: FrameConnection, kind: ConnectionKind): void {
		connection.configure(this.#options.maxFrameBytes[kind], this.#options.meter[kind]);
	}

	#addFailure(reason: HandshakeFailure, subject: string): void {
		if (!reportedFailures.has(reason)) {
			return;
		}

		const {clock, events, log, meter} = this.#options;
		meter.addFault(reason as LinkFault);
		const now = clock.getMonotonicTime();
		if (now - (this.#lastEvents.get(reason) ?? -Infinity) < minEventIntervalMs) {
			return;
		}

		this.#lastEvents.set(reason, now);
		events.addEvent('peer-rejected', subject, reason);
		log?.warn({peer: subject, reason}, 'connection rejected in the handshake');
	}
}
