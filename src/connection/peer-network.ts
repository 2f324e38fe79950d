/**
 * Interface of the links to the other entry VMs.
 */
import {type Stream} from 'most';

/** One process of an entry VM's daemon, from its start to its end. */
export type Incarnation = {
	readonly dataCenter: string;
	readonly vm: string;
	/** `<vm>-<random>`; generated at every start of the daemon. */
	readonly id: string;
};

/**
 * State of a member in the view of this process. `silent`: a few heartbeats were missed and a new connection is being attempted.
 * `down`: its address refuses connections, another incarnation answers there, it announced its end, others report it down, or it stayed silent.
 */
export type MemberState = 'up' | 'silent' | 'down';

/** Another entry VM in the view of this process. */
export type Member = {
	readonly incarnation: Incarnation;
	readonly state: MemberState;
	/** Whether the member announced that it is stopping; it accepts no new work. */
	readonly isLeaving: boolean;
	readonly peerAddress: string;
	/** Version of the configuration that the member applies. */
	readonly configurationVersion: number;
	/** Fences of what the member claims to own, by name. */
	readonly claims: Readonly<Record<string, number>>;
	/** Cores that the member may use. */
	readonly cores: number;
};

/** A message on a control connection; its sender and receiver define the type of the body. */
export type ControlMessage = {
	/** Component that the message is for, for instance `slots`. */
	readonly topic: string;
	readonly body: unknown;
};

/** A request to one peer on a job connection. */
export type PeerRequest = {
	readonly topic: string;
	readonly body: unknown;
};

/**
 * Outcome of a request to a peer. `not_sent`: it is certain that no byte of the request reached the peer.
 * `lost`: the request was sent, and no answer was received or it could not be used; the outcome at the peer is unknown.
 */
export type PeerOutcome =
	| {readonly kind: 'answered'; readonly body: unknown}
	| {readonly kind: 'not_sent'; readonly detail: string}
	| {readonly kind: 'lost'; readonly detail: string};

/** Options of a request to a peer. */
export type PeerRequestOptions = {
	/** Gets the monotonic time at which the process was known to wait for which the request is made; by default, it is made for this process itself. */
	readonly getConfirmedAt?: () => number;
};

/** Proof that the sender of a request still waits for its answer, and with it the process for which it made the request. */
export type SenderConfirmation = {
	/** Gets the monotonic time in milliseconds at which the sender is known to have waited; it no longer changes once the request is cancelled. */
	getConfirmedAt(): number;

	/** Asks the sender for a confirmation; resolves once one has arrived or the connection has ended, and never rejects. */
	requestConfirmation(): Promise<void>;
};

/** Handles a request from a peer and returns the body of the answer. */
export type PeerRequestHandler = (request: PeerRequest, from: Incarnation, signal: AbortSignal, confirmation: SenderConfirmation) => Promise<unknown>;

/** Handles a control message from a peer. */
export type ControlHandler = (message: ControlMessage, from: Incarnation) => void;

/** Links to the other entry VMs. */
export type PeerNetwork = {
	/** Gets the other known entry VMs in all data centres. */
	getMembers(): readonly Member[];

	/** Gets a stream of the members: the current ones, then those after each change. */
	getMemberStream(): Stream<readonly Member[]>;

	/**
	 * Sends a message to a peer of the same data centre; it is delivered at most once and in order, and resent over a new
	 * connection while the peer is up. Returns false when the peer is not up or its buffer is full.
	 * @param incarnationId - Peer to send to.
	 * @param message - Message to send.
	 */
	sendControl(incarnationId: string, message: ControlMessage): boolean;

	/**
	 * Sends a request to a peer in any data centre over a job connection, which is opened on demand.
	 * @param incarnationId - Receiver; no other incarnation gets the request.
	 * @param request - Request to send.
	 * @param signal - Ends the wait; the outcome is then `lost`, or `not_sent` if that is certain.
	 * @param options - For whom the request is made.
	 */
	request(incarnationId: string, request: PeerRequest, signal?: AbortSignal, options?: PeerRequestOptions): Promise<PeerOutcome>;

	/** Closes all links and stops the listener. */
	close(): Promise<void>;
};
