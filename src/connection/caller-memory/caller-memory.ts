/**
 * The account of the memory that callers' incomplete requests hold in this process.
 */
import {type Socket} from 'node:net';
import {type Clock, type Timer} from '../../seams/index.js';
import {chooseRefused, type RefusalCandidate} from './choose-refused.js';
import {FragmentedBodies, type FragmentedBodiesOptions} from './fragmented-bodies.js';
import {discardBody, stopRequests, suspendReading} from './parsed-socket.js';

/** Why a connection was refused or closed. */
export type RefusalCause = 'memory' | 'connections' | 'slow-body' | 'unread-answer' | 'pipelining' | 'small-chunks';

/** Options of {@link CallerMemory}. */
export type CallerMemoryOptions = {
	readonly clock: Clock;
	/** Bytes of incomplete requests from which on connections are refused. */
	readonly maxHeldBytes: number;
	/** Connections from which on others are refused in favour of new ones. */
	readonly maxConnections: number;
	/** Connections that the kernel holds until they are accepted; Node's default if it is not given. */
	readonly maxQueuedConnections?: number;
	/** Called at most once a second while connections are refused, with their number since the last call by cause. */
	readonly onRefused?: (counts: Readonly<Partial<Record<RefusalCause, number>>>, heldBytes: number) => void;
	/** Time without progress after which a body or an unread answer is given up, in milliseconds. */
	readonly stallTimeoutMs?: number;
	/** How bodies in many small chunks are read. */
	readonly fragmentedBodies?: FragmentedBodiesOptions;
};

/** Counters of a {@link CallerMemory}. */
export type CallerMemoryCounters = {
	/** Bytes held now. */
	readonly heldBytes: number;
	/** Refused connections so far. */
	readonly refused: Readonly<Record<RefusalCause, number>>;
};

/** The part of an incomplete body's reader that the account uses. */
export type BodyInProgress = {
	/** Gets the bytes of the body received so far. */
	getReceived(): number;
	/** Ends the reading; the request is answered with a refusal. */
	refuse(cause: RefusalCause): void;
};

/** What the account knows of a connection. */
export type TrackedConnection = {
	readonly socket: Socket;
	readonly address: string;
	/** Bytes held, as allocated, without the fixed share of a connection. */
	heldBytes: number;
	/** Bytes of the body in progress as allocated, among the bytes held. */
	bodyBytes: number;
	body: BodyInProgress | undefined;
	/** Requests that have not been answered. */
	pendingRequests: number;
	/** Number of requests so far. */
	requests: number;
	/** Time at which the incomplete request, or the wait for one, began. */
	since: number;
	progressAt: number;
	/** Bytes received when the last whole request had been read. */
	readUntil: number;
	/** Values of the last sweep that show progress. */
	seenRequests: number;
	seenReceived: number;
	seenSent: number;
};

/** Memory of a connection without a request, measured as the socket, its parser and its listeners, in bytes. */
const connectionBytes = 8192;

/** Memory of a request until its answer without its body, measured with thousands of waiting jobs, in bytes. */
const requestBytes = 4096;

/** Interval at which heads, unread answers and time limits are checked, in milliseconds. */
const sweepIntervalMs = 250;

/** Share of the maximum that remains after a refusal, so that the decision is not made for each byte or connection. */
const keptShare = 7 / 8;

/** Connections below the maximum at which others are given up in favour of new ones. */
const spareShare = 1 / 16;

/** Unanswered requests of one connection; callers that pipeline send a few. */
const maxPendingRequests = 64;

/** Share of the maximum that whole requests hold from which on connections may have only one of them. */
const pipeliningShare = 1 / 2;

/** Time for which a body may arrive slower than the minimum rate, in milliseconds. */
const bodyGraceMs = 15_000;

/** Minimum rate of a body after the grace period, in bytes per millisecond: 1,000 bytes a second. */
const minBodyRate = 1;
const defaultStallTimeoutMs = 15_000;

/** Time without progress after which a body in small chunks is given up for another one, in milliseconds. */
const fragmentedStallMs = 1000;

/** Time in which a refused caller may take its answer, in milliseconds. */
const closingTimeoutMs = 1000;

/** Time between two reports of refusals, in milliseconds. */
const reportIntervalMs = 1000;

/** Written to a caller whose request has no answer yet. */
const refusalText = 'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** Keeps the account of one process until `close`. */
export class CallerMemory {
	readonly #options: CallerMemoryOptions;
	readonly #connections = new Map<Socket, TrackedConnection>();
	/** Refused connections that are still open, which keep the memory of their unanswered requests. */
	readonly #closing = new Map<Socket, {readonly refusedAt: number; readonly pendingBytes: number; onClosed?: () => void}>();
	readonly #fragmentedBodies: FragmentedBodies;
	readonly #sweepTimer: Timer;
	readonly #refused: Record<RefusalCause, number> = {
		memory: 0, connections: 0, 'slow-body': 0, 'unread-answer': 0, pipelining: 0, 'small-chunks': 0,
	};

	#reported: Readonly<Record<RefusalCause, number>> = {...this.#refused};
	#reportedAt = -Infinity;
	#heldBytes = 0;
	#wholeBytes = 0;
	/** Bytes held from which on connections are refused: above the maximum while whole requests alone exhaust it, so that the decision is not made for each of them. */
	#refusalBytes: number;
	#stallTimeoutMs: number;
	/** Time of the last sweep; precise enough for ages, and free for each request. */
	#now: number;

	constructor(options: CallerMemoryOptions) {
		this.#options = options;
		this.#fragmentedBodies = new FragmentedBodies(options.fragmentedBodies);
		this.#stallTimeoutMs = options.stallTimeoutMs ?? defaultStallTimeoutMs;
		this.#refusalBytes = options.maxHeldBytes;
		this.#now = options.clock.getMonotonicTime();
		this.#sweepTimer = options.clock.setRepeatingTimer(() => {
			this.#sweep();
		}, sweepIntervalMs);
	}

	/** Gets the counters. */
	getCounters(): CallerMemoryCounters {
		return {heldBytes: this.#heldBytes, refused: {...this.#refused}};
	}

	/** Gets whether whole requests alone take all the memory, so that further ones have to be refused. */
	isFull(): boolean {
		return this.#wholeBytes >= this.#options.maxHeldBytes;
	}

	/** Gets the maximum number of connections. */
	getMaxConnections(): number {
		return this.#options.maxConnections;
	}

	/** Gets the number of connections that the kernel holds until they are accepted; `undefined` for Node's default. */
	getMaxQueuedConnections(): number | undefined {
		return this.#options.maxQueuedConnections;
	}

	/** Gets what is known of a connection; `undefined` if it is closed. */
	getConnection(socket: Socket): TrackedConnection | undefined {
		return this.#connections.get(socket);
	}

	/**
	 * Sets the time without progress after which a body or an unread answer is given up.
	 * @param stallTimeoutMs - Time in milliseconds.
	 */
	setStallTimeout(stallTimeoutMs = defaultStallTimeoutMs): void {
		this.#stallTimeoutMs = stallTimeoutMs;
	}

	/**
	 * Adds a new connection; others are refused if there are too many.
	 * @param socket - Connection.
	 */
	addConnection(socket: Socket): void {
		this.#connections.set(socket, {
			socket,
			address: getCallerAddress(socket.remoteAddress ?? ''),
			heldBytes: 0,
			bodyBytes: 0,
			body: undefined,
			pendingRequests: 0,
			requests: 0,
			since: this.#now,
			progressAt: this.#now,
			readUntil: 0,
			seenRequests: 0,
			seenReceived: 0,
			seenSent: 0,
		});
		this.#addBytes(connectionBytes);
		const {maxConnections} = this.#options;
		if (this.#connections.size > maxConnections - Math.floor(maxConnections * spareShare)) {
			this.#refuseFor({bytes: 0, connections: this.#connections.size - Math.floor(maxConnections * keptShare)}, 'connections');
		}
	}

	/**
	 * Removes a closed connection.
	 * @param socket - Connection.
	 */
	removeConnection(socket: Socket): void {
		const connection = this.#connections.get(socket);
		if (connection !== undefined) {
			this.#release(connection);
		}

		const closing = this.#closing.get(socket);
		if (closing !== undefined) {
			this.#closing.delete(socket);
			closing.onClosed?.();
			this.addWholeBytes(-closing.pendingBytes);
		}
	}

	/**
	 * Counts a request whose head has been read.
	 * @param socket - Connection of the request.
	 * @returns Whether it may be handled; otherwise its connection is closed.
	 */
	beginRequest(socket: Socket): boolean {
		const connection = this.#connections.get(socket);
		if (connection === undefined) {
			return false;
		}

		connection.requests++;
		connection.pendingRequests++;
		this.addWholeBytes(requestBytes);
		if (connection.pendingRequests > this.#getMaxPendingRequests()) {
			// The jobs that the caller waits for are abandoned.
			this.#refused.pipelining++;
			this.#release(connection);
			stopRequests(socket);
			socket.destroy();
			return false;
		}

		return true;
	}

	/**
	 * Counts an answered request.
	 * @param socket - Connection of the request.
	 */
	endRequest(socket: Socket): void {
		const connection = this.#connections.get(socket);
		if (connection !== undefined) {
			connection.pendingRequests--;
			this.addWholeBytes(-requestBytes);
		}
	}

	/**
	 * Sets the body that a connection is receiving.
	 * @param connection - Connection.
	 * @param body - Body; `undefined` when it is whole or given up, which sets its bytes free.
	 */
	setBody(connection: TrackedConnection, body: BodyInProgress | undefined): void {
		connection.body = body;
		connection.since = this.#now;
		connection.progressAt = this.#now;
		if (body === undefined) {
			this.#fragmentedBodies.remove(connection.socket);
			this.setBodyBytes(connection, 0);
		}
	}

	/**
	 * Counts the body of a connection as one in many small chunks, which is read in turn with others of its kind. If there are too many, one without progress
	 * is refused in its favour, or this one.
	 * @param connection - Connection.
	 */
	addFragmentedBody(connection: TrackedConnection): void {
		const {socket} = connection;
		if (!this.#connections.has(socket) || this.#fragmentedBodies.has(socket)) {
			return;
		}

		if (this.#fragmentedBodies.isFull()) {
			const stalled = this.#findStalledFragmentedBody();
			this.#refuse(stalled ?? connection, 'small-chunks');
			if (stalled === undefined) {
				return;
			}
		}

		this.#fragmentedBodies.add(socket);
	}

	/**
	 * Ends the turn of a connection whose body is in many small chunks; does nothing for others.
	 * @param connection - Connection of which a chunk was read.
	 */
	endTurn({socket}: TrackedConnection): void {
		this.#fragmentedBodies.endTurn(socket);
	}

	/**
	 * Sets the bytes that the incomplete body of a connection holds; connections are refused if the account is exhausted, which may be this one.
	 * @param connection - Connection.
	 * @param bytes - Bytes as allocated.
	 */
	setBodyBytes(connection: TrackedConnection, bytes: number): void {
		const added = bytes - connection.bodyBytes;
		connection.bodyBytes = bytes;
		if (this.#connections.has(connection.socket)) {
			connection.heldBytes += added;
			this.#addBytes(added);
		}
	}

	/**
	 * Counts the bytes of a whole request that is kept until its answer; incomplete ones are refused if the account is exhausted.
	 * @param bytes - Bytes; negative when they are set free.
	 */
	addWholeBytes(bytes: number): void {
		this.#wholeBytes += bytes;
		this.#addBytes(bytes);
	}

	/** Ends the checks. */
	close(): void {
		this.#sweepTimer.close();
	}

	#addBytes(bytes: number): void {
		this.#heldBytes += bytes;
		const {maxHeldBytes} = this.#options;
		if (bytes > 0 && this.#heldBytes > this.#refusalBytes) {
			this.#refuseFor({bytes: this.#heldBytes - (maxHeldBytes * keptShare), connections: 0}, 'memory');
		}
	}

	#refuseFor(shortage: {readonly bytes: number; readonly connections: number}, cause: RefusalCause): void {
		const candidates: Array<RefusalCandidate & {readonly connection: TrackedConnection}> = [];
		const now = this.#options.clock.getMonotonicTime();
		for (const connection of this.#connections.values()) {
			if (isCandidate(connection)) {
				candidates.push({
					connection,
					address: connection.address,
					heldBytes: connectionBytes + connection.heldBytes,
					ageMs: now - connection.since,
					stalledMs: now - connection.progressAt,
					isIdle: connection.requests > 0 && connection.heldBytes === 0 && connection.body === undefined,
				});
			}
		}

		for (const {connection} of chooseRefused(candidates, shortage)) {
			this.#refuse(connection, cause);
		}

		const {maxHeldBytes} = this.#options;
		this.#refusalBytes = Math.max(maxHeldBytes, this.#heldBytes + (maxHeldBytes * (1 - keptShare)));
	}

	#refuse(connection: TrackedConnection, cause: RefusalCause): void {
		const {socket, body} = connection;
		this.#refused[cause]++;
		this.#release(connection);
		if (body !== undefined) {
			// Otherwise up to 2 MB of a caller that goes on sending would be read and parsed before the connection is closed.
			suspendReading(socket);
			this.#closing.get(socket)!.onClosed = discardBody(socket);
			body.refuse(cause);
		} else if (connection.pendingRequests === 0 && socket.bytesRead > connection.readUntil && socket.writableLength === 0) {
			socket.write(refusalText);
			socket.destroySoon();
		} else {
			socket.destroy();
		}
	}

	/** Gets the connection whose body in small chunks has made no progress for longest; `undefined` if all have lately. */
	#findStalledFragmentedBody(): TrackedConnection | undefined {
		let earliestAt = this.#options.clock.getMonotonicTime() - fragmentedStallMs;
		let stalled: TrackedConnection | undefined;
		for (const socket of this.#fragmentedBodies.getSockets()) {
			const connection = this.#connections.get(socket);
			if (connection !== undefined && connection.progressAt < earliestAt) {
				earliestAt = connection.progressAt;
				stalled = connection;
			}
		}

		return stalled;
	}

	/** Ends the account of a connection that is closed or will be. */
	#release({socket, heldBytes, pendingRequests}: TrackedConnection): void {
		if (!this.#connections.delete(socket)) {
			return;
		}

		this.#fragmentedBodies.remove(socket);
		this.#heldBytes -= connectionBytes + heldBytes;
		this.#closing.set(socket, {refusedAt: this.#now, pendingBytes: pendingRequests * requestBytes});
	}

	/** Gets the maximum number of unanswered requests per connection: one while many wait, since those of one read are all created before any is answered. */
	#getMaxPendingRequests(): number {
		return this.#wholeBytes > this.#options.maxHeldBytes * pipeliningShare ? 1 : maxPendingRequests;
	}

	#sweep(): void {
		this.#now = this.#options.clock.getMonotonicTime();
		this.#refusalBytes = this.#options.maxHeldBytes;
		for (const connection of this.#connections.values()) {
			this.#check(connection);
		}

		for (const [socket, {refusedAt}] of this.#closing) {
			if (this.#now - refusedAt > closingTimeoutMs) {
				socket.destroy();
			}
		}

		this.#report();
	}

	#check(connection: TrackedConnection): void {
		const {socket, body} = connection;
		const received = body === undefined ? socket.bytesRead : body.getReceived();
		const unread = socket.writableLength;
		const sent = socket.bytesWritten - unread;
		const hasNewRequest = connection.requests !== connection.seenRequests;
		if (hasNewRequest || received !== connection.seenReceived || sent !== connection.seenSent) {
			connection.progressAt = this.#now;
		}

		if (hasNewRequest || (body === undefined && connection.pendingRequests > 0)) {
			// What was read up to now belongs to requests that have been handled.
			connection.readUntil = socket.bytesRead;
		}

		if (hasNewRequest && body === undefined) {
			connection.since = this.#now;
		}

		connection.seenRequests = connection.requests;
		connection.seenReceived = received;
		connection.seenSent = sent;
		const headBytes = body === undefined ? socket.bytesRead - connection.readUntil : 0;
		const heldBytes = connection.bodyBytes + headBytes + unread;
		const added = heldBytes - connection.heldBytes;
		connection.heldBytes = heldBytes;
		this.#addBytes(added);
		this.#checkTime(connection, received, unread);
	}

	#checkTime(connection: TrackedConnection, received: number, unread: number): void {
		const {socket, body, since, progressAt} = connection;
		const stalledMs = this.#now - progressAt;
		const lateMs = this.#now - since - bodyGraceMs;
		if (!this.#connections.has(socket)) {
			return;
		}

		if (body !== undefined && (stalledMs > this.#stallTimeoutMs || received < lateMs * minBodyRate)) {
			this.#refuse(connection, 'slow-body');
		} else if (unread > 0 && stalledMs > this.#stallTimeoutMs) {
			this.#refuse(connection, 'unread-answer');
		}
	}

	#report(): void {
		if (this.#now - this.#reportedAt < reportIntervalMs) {
			return;
		}

		const counts = Object.fromEntries(Object.entries(this.#refused)
			.map(([cause, count]) => [cause, count - this.#reported[cause as RefusalCause]] as const)
			.filter(([, count]) => count > 0));
		if (Object.keys(counts).length > 0) {
			this.#reported = {...this.#refused};
			this.#reportedAt = this.#now;
			this.#options.onRefused?.(counts, this.#heldBytes);
		}
	}
}

/** A connection that waits for the answer to a whole request is not refused, unless the answers before are not read. */
function isCandidate({body, pendingRequests, socket}: TrackedConnection): boolean {
	return body !== undefined || pendingRequests === 0 || socket.writableLength > 0;
}

/** Number of leading groups of an IPv6 address that belong to one network. */
const networkGroups = 4;

/** Gets the address by which callers are told apart: of IPv6 the network, whose hosts one caller may all use. */
function getCallerAddress(address: string): string {
	if (!address.includes(':') || address.startsWith('::ffff:')) {
		return address;
	}

	const [first = '', last = ''] = address.split('::', 2);
	const head = first.split(':').filter(group => group !== '');
	const tail = last.split(':').filter(group => group !== '');
	const zeros = address.includes('::') ? Array.from({length: 8 - head.length - tail.length}, () => '0') : [];
	return [...head, ...zeros, ...tail].slice(0, networkGroups).join(':');
}
