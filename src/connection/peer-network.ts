/**
 * What the other parts see of the links to the other entry VMs.
 */
import {type Stream} from 'most';

/** One run of an entry VM's daemon. */
export type Incarnation = {
	readonly dataCenter: string;
	readonly vm: string;
	/** `<vm>-<random>`; new at every start of the daemon. */
	readonly id: string;
};

/**
 * How a member looks from here. `silent`: no heartbeat for a few beats, a new connection is being tried.
 * `down`: its address refuses, another incarnation answers there, or it stayed silent.
 */
export type MemberState = 'up' | 'silent' | 'down';

/** Another entry VM as seen from here. */
export type Member = {
	readonly incarnation: Incarnation;
	readonly state: MemberState;
	/** Whether the member said that it is stopping; it takes no new work. */
	readonly isLeaving: boolean;
	readonly peerAddress: string;
	/** Version of the configuration that the member has in force. */
	readonly configurationVersion: number;
	/** Fences of what the member says it owns, by name. */
	readonly claims: Readonly<Record<string, number>>;
	/** Cores that the member may use. */
	readonly cores: number;
};

/** A message on a control connection; the parts that exchange them give them their types. */
export type ControlMessage = {
	/** Part that the message is for, for instance `slots`. */
	readonly topic: string;
	readonly body: unknown;
};

/** A request to one peer on a job connection, and its answer. */
export type PeerRequest = {
	readonly topic: string;
	readonly body: unknown;
};

/**
 * Outcome of a request to a peer. `not_sent`: proven that no byte of it reached the peer.
 * `lost`: it was sent, and the link or the peer went away before the answer.
 */
export type PeerOutcome =
	| {readonly kind: 'answered'; readonly body: unknown}
	| {readonly kind: 'not_sent'; readonly detail: string}
	| {readonly kind: 'lost'; readonly detail: string};

/** Takes a request from a peer and gives the body of the answer. */
export type PeerRequestHandler = (request: PeerRequest, from: Incarnation, signal: AbortSignal) => Promise<unknown>;

/** Takes a control message from a peer. */
export type ControlHandler = (message: ControlMessage, from: Incarnation) => void;

/** Links to the other entry VMs. */
export type PeerNetwork = {
	/** Gets the other entry VMs known here, in all data centres. */
	getMembers(): readonly Member[];

	/** Gets the members after each change, beginning with the present ones. */
	getMemberStream(): Stream<readonly Member[]>;

	/**
	 * Sends a message to a peer of the same data centre; delivered at most once and in order, and sent again over a new
	 * connection while the peer is up. False when the peer is not up or its buffer is full.
	 * @param incarnationId - Peer to send to.
	 * @param message - Message to send.
	 */
	sendControl(incarnationId: string, message: ControlMessage): boolean;

	/**
	 * Sends a request to a peer in any data centre over a job connection, made when needed.
	 * @param incarnationId - Peer to ask; only this incarnation gets the request.
	 * @param request - Request to send.
	 * @param signal - Ends the wait; the outcome is then `lost`, or `not_sent` where that is proven.
	 */
	request(incarnationId: string, request: PeerRequest, signal?: AbortSignal): Promise<PeerOutcome>;

	/** Closes all links and ends the listener. */
	close(): Promise<void>;
};
