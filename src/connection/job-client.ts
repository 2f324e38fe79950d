/**
 * Requests to one incarnation over a job connection that is opened on demand.
 */
import {type Clock} from '../seams/index.js';
import {decodeValue, encodeFrame, encodeValue} from './frame-codec.js';
import {type FrameConnection} from './frame-connection.js';
import {type InputProgress} from './input-progress.js';
import {JobKeepAlive} from './job-keep-alive.js';
import {
	type ConfirmationAges, decodeJobMessage, type JobAnswer, type JobKeepAlive as JobKeepAliveMessage, type JobMessage,
} from './job-messages.js';
import {type CollectedBody, PartCollector} from './part-collector.js';
import {type OutgoingBody, PartSender} from './part-sender.js';
import {type PeerOutcome, type PeerRequest, type PeerRequestOptions} from './peer-network.js';
import {ReceivedStamps} from './received-stamps.js';
import {getReportedAge, getReportedAges} from './sender-confirmations.js';
import {type LinkFault} from './traffic.js';

/** A job connection that has completed its handshake, or why there is none. */
export type JobConnectResult =
	| {readonly ok: true; readonly connection: FrameConnection}
	| {readonly ok: false; readonly detail: string};

/** Options of a {@link JobClient}. */
export type JobClientOptions = {
	readonly clock: Clock;
	/** Up to when this process has read its input. */
	readonly inputProgress: InputProgress;
	readonly connect: () => Promise<JobConnectResult>;
	/** Maximum size of an encoded body, in bytes. */
	readonly maxBodyBytes: number;
	/** Time without a received byte after which the connection is closed as silent, in milliseconds. */
	readonly silenceMs: number;
	/** Gets the current factor on `silenceMs`. */
	readonly getTimeoutFactor: () => number;
	/** Time without a request after which the connection is closed as idle, in milliseconds. */
	readonly idleMs: number;
	readonly getLogicalTime: () => number;
	readonly onLogicalTime: (logicalTime: number) => void;
	readonly onFault: (fault: LinkFault) => void;
};

type PendingRequest = PeerRequestOptions & {
	readonly outgoing: OutgoingBody;
	/** Identifier of the request; assigned when its first part is sent. */
	id: number | undefined;
	readonly finish: (outcome: PeerOutcome) => void;
};

type OpenConnection = {
	readonly connection: FrameConnection;
	readonly sender: PartSender;
	readonly collector: PartCollector<JobAnswer>;
	readonly keepAlive: JobKeepAlive;
	readonly stamps: ReceivedStamps;
	/** Whether an echo is about to be sent, and whether another one is needed after it. */
	isEchoing: boolean;
	isEchoRepeated: boolean;
};

/** Maximum bytes of bodies buffered in each direction, in bodies of the maximum size. */
const maxBufferedBodies = 4;

/**
 * Sends concurrent requests to one incarnation.
 * @internal
 */
export class JobClient {
	readonly #options: JobClientOptions;
	readonly #pending = new Set<PendingRequest>();
	readonly #sent = new Map<number, PendingRequest>();
	#open: OpenConnection | undefined;
	#isConnecting = false;
	#lastId = 0;
	#lastUsed: number;

	constructor(options: JobClientOptions) {
		this.#options = options;
		this.#lastUsed = options.clock.getMonotonicTime();
	}

	/**
	 * Sends a request and waits for the answer.
	 * @param request - Request to send.
	 * @param signal - Ends the wait and cancels the request.
	 * @param options - For whom the request is made.
	 */
	async request(request: PeerRequest, signal?: AbortSignal, options: PeerRequestOptions = {}): Promise<PeerOutcome> {
		if (signal?.aborted) {
			return {kind: 'not_sent', detail: 'cancelled'};
		}

		const body = encodeValue(request.body);
		if (body.length > this.#options.maxBodyBytes) {
			return {kind: 'not_sent', detail: `a request of ${body.length} bytes is over the limit of ${this.#options.maxBodyBytes}`};
		}

		this.#lastUsed = this.#options.clock.getMonotonicTime();
		return new Promise(resolve => {
			const pending = this.#createPending(request.topic, body, {
				...options,
				onFinish(outcome) {
					signal?.removeEventListener('abort', cancel);
					resolve(outcome);
				},
			});
			const cancel = (): void => {
				this.#cancel(pending);
			};

			signal?.addEventListener('abort', cancel, {once: true});
			this.#start(pending);
		});
	}

	/**
	 * Sends a keep-alive if one is due, or closes a connection that is silent or idle.
	 * @param now - Monotonic time up to which silence is measured.
	 */
	tick(now: number): void {
		const open = this.#open;
		if (!open) {
			return;
		}

		if (open.keepAlive.isSilent(now)) {
			this.#options.onFault('silent');
			open.connection.close();
			return;
		}

		if (this.#pending.size === 0 && now - this.#lastUsed > this.#options.idleMs) {
			open.connection.close();
			return;
		}

		if (this.#pending.size === 0) {
			open.keepAlive.send(now);
		} else if (open.keepAlive.isDue(now)) {
			void this.#sendEcho(open);
		}
	}

	/** Resets the silence timer, after a pause of this process. */
	resetSilenceTimer(): void {
		this.#open?.keepAlive.resetSilenceTimer(this.#options.clock.getMonotonicTime());
	}

	/**
	 * Closes the connection if nothing was received for a time.
	 * @param silenceMs - Time without a received byte, in milliseconds.
	 */
	closeIfSilent(silenceMs: number): void {
		const now = this.#options.clock.getMonotonicTime();
		if (this.#open && now - this.#open.connection.getLastReceived() > silenceMs) {
			this.#open.connection.close();
		}
	}

	/** Closes the connection; requests in progress end as lost or not sent. */
	close(): void {
		this.#open?.connection.close();
	}

	#createPending(topic: string, body: ReturnType<typeof encodeValue>, {onFinish, ...options}: PeerRequestOptions & {readonly onFinish: (outcome: PeerOutcome) => void}): PendingRequest {
		const pending: PendingRequest = {
			...options,
			id: undefined,
			outgoing: {
				body,
				createFirstMessage: part => {
					const id = ++this.#lastId;
					pending.id = id;
					this.#replaceKeepAlive();
					this.#sent.set(id, pending);
					return {
						type: 'request',
						id,
						logicalTime: this.#options.getLogicalTime(),
						topic,
						echo: this.#open?.stamps.getEcho(this.#options.inputProgress.getReadUntil()) ?? 0,
						...this.#getAge(pending),
						size: body.length,
						part,
					};
				},
			},
			finish: outcome => {
				this.#pending.delete(pending);
				if (pending.id !== undefined) {
					this.#sent.delete(pending.id);
				}

				this.#lastUsed = this.#options.clock.getMonotonicTime();
				this.#open?.keepAlive.setBusy(this.#pending.size > 0, this.#lastUsed);
				onFinish(outcome);
			},
		};
		return pending;
	}

	#start(pending: PendingRequest): void {
		this.#pending.add(pending);
		if (this.#open) {
			this.#addToSender(this.#open, pending);
			return;
		}

		if (!this.#isConnecting) {
			this.#isConnecting = true;
			void this.#run();
		}
	}

	async #run(): Promise<void> {
		const result = await this.#options.connect();
		// The other end takes the handshake for a proof that the callers wait for whom requests follow.
		await this.#options.inputProgress.waitUntilRead();
		this.#isConnecting = false;
		if (!result.ok) {
			this.#finishAll(result.detail);
			return;
		}

		const {connection} = result;
		const open: OpenConnection = {
			connection,
			sender: new PartSender(connection, this.#options.maxBodyBytes * maxBufferedBodies),
			collector: new PartCollector<JobAnswer>(this.#options.maxBodyBytes * maxBufferedBodies),
			keepAlive: new JobKeepAlive(connection, this.#options.silenceMs, () => this.#getEcho(open), this.#options.getTimeoutFactor),
			stamps: new ReceivedStamps(),
			isEchoing: false,
			isEchoRepeated: false,
		};
		this.#open = open;
		for (const pending of this.#pending) {
			this.#addToSender(open, pending);
		}

		await this.#read(open);
		this.#open = undefined;
		this.#finishAll('the job connection ended');
	}

	#addToSender(open: OpenConnection, pending: PendingRequest): void {
		open.keepAlive.setBusy(true, this.#options.clock.getMonotonicTime());
		if (!open.sender.addBody(pending.outgoing)) {
			this.#options.onFault('buffer-full');
			pending.finish({kind: 'not_sent', detail: 'too much waits to be sent'});
		}
	}

	async #read(open: OpenConnection): Promise<void> {
		for (;;) {
			const payloads = await open.connection.receiveAll();
			if (payloads === undefined) {
				return;
			}

			if (!payloads.every(payload => this.#handleMessage(open, decodeJobMessage(payload)))) {
				this.#options.onFault('garbage');
				open.connection.close();
				return;
			}
		}
	}

	#handleMessage(open: OpenConnection, message: JobMessage | undefined): boolean {
		switch (message?.type) {
			case 'answer': {
				this.#options.onLogicalTime(message.logicalTime);
				this.#addStamp(open, message.stamp);
				if (this.#sent.has(message.id)) {
					this.#finishWith(message.id, open.collector.addFirst(message));
				}

				return true;
			}

			case 'part': {
				this.#finishWith(message.id, open.collector.addPart(message.id, message.part));
				return true;
			}

			case 'failure': {
				this.#sent.get(message.id)?.finish({kind: 'lost', detail: message.detail});
				return true;
			}

			case 'keep-alive': {
				this.#handleStamp(open, message);
				return true;
			}

			case 'request':
			case 'cancel':
			case undefined: {
				return false;
			}
		}
	}

	#handleStamp(open: OpenConnection, {stamp, isUrgent}: JobKeepAliveMessage): void {
		this.#addStamp(open, stamp);
		if (stamp !== undefined && isUrgent === true) {
			void this.#sendEcho(open);
		}
	}

	#addStamp(open: OpenConnection, stamp: number | undefined): void {
		if (stamp !== undefined) {
			open.stamps.addStamp(stamp, this.#options.clock.getMonotonicTime());
		}
	}

	/** Sends a keep-alive once the ends of callers' connections have been read that arrived before the last stamp, and their requests are cancelled. */
	async #sendEcho(open: OpenConnection): Promise<void> {
		if (open.isEchoing) {
			open.isEchoRepeated = true;
			return;
		}

		const {clock, inputProgress} = this.#options;
		do {
			open.isEchoRepeated = false;
			if (!open.stamps.isLastRead(inputProgress.getReadUntil())) {
				open.isEchoing = true;
				await inputProgress.waitUntilRead();
				open.isEchoing = false;
			}

			open.keepAlive.sendImmediately(clock.getMonotonicTime(), this.#getEcho(open));
		} while (open.isEchoRepeated && !open.stamps.isLastRead(inputProgress.getReadUntil()));
	}

	/** Lets the next request serve as a keep-alive, unless that would have to report the ages of other requests. */
	#replaceKeepAlive(): void {
		if ([...this.#sent.values()].every(({getConfirmedAt}) => getConfirmedAt === undefined)) {
			this.#open?.keepAlive.addSent(this.#options.clock.getMonotonicTime());
		}
	}

	/** Gets the last stamp with the ages of the confirmations of the processes for which requests are made. */
	#getEcho({stamps}: OpenConnection): {readonly echo: number; readonly ages?: ConfirmationAges} {
		const ages = getReportedAges(this.#sent.values(), this.#options.clock.getMonotonicTime());
		return {echo: stamps.getEcho(this.#options.inputProgress.getReadUntil()), ...(ages && {ages})};
	}

	#getAge({getConfirmedAt}: PendingRequest): {readonly ageMs?: number} {
		const ageMs = getReportedAge(getConfirmedAt, this.#options.clock.getMonotonicTime());
		return ageMs === undefined ? {} : {ageMs};
	}

	#finishWith(id: number, collected: CollectedBody<JobAnswer> | undefined | 'too-large'): void {
		if (collected === undefined) {
			return;
		}

		const pending = this.#sent.get(id);
		if (collected === 'too-large') {
			pending?.finish({kind: 'lost', detail: 'the answer is too large'});
			return;
		}

		const decoded = decodeValue(collected.body);
		pending?.finish(decoded.ok ? {kind: 'answered', body: decoded.value} : {kind: 'lost', detail: 'the answer cannot be decoded'});
	}

	#cancel(pending: PendingRequest): void {
		this.#open?.sender.removeBody(pending.outgoing);
		if (pending.id === undefined) {
			pending.finish({kind: 'not_sent', detail: 'cancelled'});
			return;
		}

		this.#open?.collector.remove(pending.id);
		this.#open?.connection.send(encodeFrame({type: 'cancel', id: pending.id}));
		pending.finish({kind: 'lost', detail: 'cancelled'});
	}

	#finishAll(detail: string): void {
		for (const pending of this.#pending) {
			pending.finish({kind: pending.id === undefined ? 'not_sent' : 'lost', detail});
		}
	}
}
