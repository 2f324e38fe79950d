/**
 * The handshake of a connection: each side identifies itself and proves possession of the deployment's key by a keyed
 * MAC over the first messages of both sides, and so over both challenges.
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {type Clock, type Random} from '../seams/index.js';
import {decodeValue, encodeFrame, frameHeaderBytes} from './frame-codec.js';
import {type FrameConnection} from './frame-connection.js';
import {
	challengeBytes, type ConnectionKind, type HandshakeMessage, handshakeMessageSchema, type Hello, type Proof, protocolVersion, type RejectReason,
} from './handshake-messages.js';
import {type Incarnation} from './peer-network.js';

/** Options of a {@link Handshake}. */
export type HandshakeOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly deployment: string;
	readonly self: Incarnation;
	/** Address at which this process accepts connections. */
	readonly address: string;
	/** Secret key shared by the deployment. */
	readonly key: string;
	readonly timeoutMs: number;
};

/** The authenticated other side of a handshake. */
export type HandshakePeer = {
	readonly incarnation: Incarnation;
	readonly address: string;
	readonly kind: ConnectionKind;
	/** Identifier of this connection, known to both sides. */
	readonly linkId: string;
	/** Last link to this incarnation that the other side has closed; empty for none. */
	readonly lastLinkId: string;
};

/** Why a handshake failed; `garbage` is an invalid or unexpected message. */
export type HandshakeFailure = RejectReason | 'garbage' | 'handshake-timeout' | 'closed';

/** Result of a handshake. */
export type HandshakeResult =
	| {readonly ok: true; readonly peer: HandshakePeer}
	| {readonly ok: false; readonly reason: HandshakeFailure; readonly isRejectedByPeer: boolean; readonly incarnation?: Incarnation};

/** Decisions of the dialling side. */
export type DialingSide = {
	readonly kind: ConnectionKind;
	/** Gets why a connection to this incarnation is rejected; `undefined` if it is accepted. */
	readonly getRejectReason: (incarnation: Incarnation) => RejectReason | undefined;
	/** Gets the identifier of the last link to this incarnation; empty for none. */
	readonly getLastLinkId: (incarnation: Incarnation) => string;
};

/** Decisions of the listening side. */
export type ListeningSide = {
	/** Gets why the connection is rejected; `undefined` if it is accepted. */
	readonly getRejectReason: (peer: HandshakePeer) => RejectReason | undefined;
};

/** Maximum payload of a handshake message, in bytes. */
export const maxHandshakeFrameBytes = 2048;

type Role = 'dialer' | 'listener';
type Received<T> = {readonly ok: true; readonly message: T; readonly payload: Uint8Array} | {readonly ok: false; readonly result: HandshakeResult};

/**
 * Runs a handshake on one connection.
 * @internal
 */
export class Handshake {
	readonly #options: HandshakeOptions;
	readonly #connection: FrameConnection;
	#isTimedOut = false;

	constructor(connection: FrameConnection, options: HandshakeOptions) {
		this.#connection = connection;
		this.#options = options;
	}

	/**
	 * Runs the dialling side; closes the connection on failure.
	 * @param side - Decisions of this side.
	 */
	async dial(side: DialingSide): Promise<HandshakeResult> {
		return this.#runWithTimeout(async () => this.#dial(side));
	}

	/**
	 * Runs the listening side; closes the connection on failure.
	 * @param side - Decisions of this side.
	 */
	async accept(side: ListeningSide): Promise<HandshakeResult> {
		return this.#runWithTimeout(async () => this.#accept(side));
	}

	async #runWithTimeout(run: () => Promise<HandshakeResult>): Promise<HandshakeResult> {
		let isDone = false;
		const timer = this.#options.clock.setTimer(() => {
			// Bytes received during a pause of this process are read first.
			setImmediate(() => {
				if (!isDone) {
					this.#isTimedOut = true;
					this.#connection.close();
				}
			});
		}, this.#options.timeoutMs);
		const result = await run();
		isDone = true;
		timer.close();
		if (!result.ok) {
			this.#connection.closeAfterFlush();
		}

		return result;
	}

	async #dial(side: DialingSide): Promise<HandshakeResult> {
		const ownHello = this.#sendHello(side.kind);
		const received = await this.#receiveHello();
		if (!received.ok) {
			return received.result;
		}

		const incarnation = getIncarnation(received.message);
		const rejectReason = this.#getHelloRejectReason(received.message) ?? side.getRejectReason(incarnation);
		if (rejectReason !== undefined) {
			return this.#reject(rejectReason, incarnation);
		}

		const transcript = [ownHello, received.payload];
		this.#sendProof('dialer', transcript, side.getLastLinkId(incarnation));
		const proof = await this.#receiveProof('listener', transcript);
		if (!proof.ok) {
			return proof.result;
		}

		return {ok: true, peer: createPeer(received.message, ownHello, proof.message)};
	}

	async #accept(side: ListeningSide): Promise<HandshakeResult> {
		const received = await this.#receiveHello();
		if (!received.ok) {
			return received.result;
		}

		const incarnation = getIncarnation(received.message);
		const helloRejectReason = this.#getHelloRejectReason(received.message);
		if (helloRejectReason !== undefined) {
			return this.#reject(helloRejectReason, incarnation);
		}

		const transcript = [received.payload, this.#sendHello(received.message.kind)];
		const proof = await this.#receiveProof('dialer', transcript);
		if (!proof.ok) {
			return proof.result;
		}

		const peer = createPeer(received.message, received.payload, proof.message);
		const peerRejectReason = side.getRejectReason(peer);
		if (peerRejectReason !== undefined) {
			return this.#reject(peerRejectReason, incarnation);
		}

		this.#sendProof('listener', transcript, '');
		return {ok: true, peer};
	}

	#sendHello(kind: ConnectionKind): Uint8Array {
		const {deployment, self, address, random} = this.#options;
		const hello: Hello = {
			type: 'hello',
			protocol: protocolVersion,
			deployment,
			kind,
			dataCenter: self.dataCenter,
			vm: self.vm,
			id: self.id,
			address,
			challenge: Buffer.from(random.getHex(challengeBytes), 'hex'),
		};
		const frame = encodeFrame(hello);
		this.#connection.send(frame);
		return frame.subarray(frameHeaderBytes);
	}

	#sendProof(role: Role, transcript: readonly Uint8Array[], lastLinkId: string): void {
		const proof: Proof = {type: 'proof', mac: this.#computeMac(role, transcript, lastLinkId), lastLinkId};
		this.#connection.send(encodeFrame(proof));
	}

	#computeMac(role: Role, transcript: readonly Uint8Array[], lastLinkId: string): Uint8Array {
		const mac = createHmac('sha256', this.#options.key);
		for (const part of [Buffer.from(role), ...transcript, Buffer.from(lastLinkId)]) {
			const length = Buffer.alloc(frameHeaderBytes);
			length.writeUInt32BE(part.length);
			mac.update(length);
			mac.update(part);
		}

		return mac.digest();
	}

	#getHelloRejectReason(hello: Hello): RejectReason | undefined {
		if (hello.protocol !== protocolVersion) {
			return 'wrong-protocol';
		}

		if (hello.deployment !== this.#options.deployment) {
			return 'wrong-deployment';
		}

		return hello.id === this.#options.self.id ? 'self' : undefined;
	}

	async #receiveHello(): Promise<Received<Hello>> {
		const received = await this.#receive();
		if (!received.ok || received.message.type === 'hello') {
			return received as Received<Hello>;
		}

		return {ok: false, result: this.#fail('garbage')};
	}

	async #receiveProof(role: Role, transcript: readonly Uint8Array[]): Promise<Received<Proof>> {
		const received = await this.#receive();
		if (!received.ok) {
			return received;
		}

		const {message, payload} = received;
		if (message.type !== 'proof') {
			return {ok: false, result: this.#fail('garbage')};
		}

		if (!timingSafeEqual(message.mac, this.#computeMac(role, transcript, message.lastLinkId))) {
			return {ok: false, result: this.#reject('wrong-key')};
		}

		return {ok: true, message, payload};
	}

	async #receive(): Promise<Received<HandshakeMessage>> {
		const payload = await this.#connection.receive();
		if (payload === undefined) {
			return {ok: false, result: this.#fail(this.#isTimedOut ? 'handshake-timeout' : 'closed')};
		}

		const decoded = decodeValue(payload);
		const parsed = handshakeMessageSchema.safeParse(decoded.ok ? decoded.value : undefined);
		if (!parsed.success) {
			return {ok: false, result: this.#fail('garbage')};
		}

		if (parsed.data.type === 'reject') {
			return {ok: false, result: {ok: false, reason: parsed.data.reason, isRejectedByPeer: true}};
		}

		return {ok: true, message: parsed.data, payload};
	}

	#reject(reason: RejectReason, incarnation?: Incarnation): HandshakeResult {
		this.#connection.send(encodeFrame({type: 'reject', reason}));
		return {
			ok: false, reason, isRejectedByPeer: false, incarnation,
		};
	}

	#fail(reason: HandshakeFailure): HandshakeResult {
		return {ok: false, reason, isRejectedByPeer: false};
	}
}

function getIncarnation({dataCenter, vm, id}: Hello): Incarnation {
	return {dataCenter, vm, id};
}

function createPeer(hello: Hello, dialerHello: Uint8Array, proof: Proof): HandshakePeer {
	const dialer = decodeValue(dialerHello);
	const {challenge} = (dialer as {readonly value: Hello}).value;
	return {
		incarnation: getIncarnation(hello),
		address: hello.address,
		kind: hello.kind,
		linkId: Buffer.from(challenge).toString('hex'),
		lastLinkId: proof.lastLinkId,
	};
}
