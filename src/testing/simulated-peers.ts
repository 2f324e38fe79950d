/**
 * Requests between entry VMs in one process, on the clock that is passed in.
 */
import {empty} from 'most';
import {type PeerNetwork, type PeerOutcome, type PeerRequest} from '../connection/index.js';
import {type Clock, sleep} from '../seams/index.js';

/** Answers the requests to one entry VM. */
export type SimulatedPeerHandler = (request: PeerRequest, signal: AbortSignal) => Promise<unknown>;

/** Options of {@link SimulatedPeers}. */
export type SimulatedPeersOptions = {
	readonly clock: Clock;
	/** Time of one way between two entry VMs, in milliseconds. */
	readonly oneWayLatencyMs?: number;
	/** Time until a cut link is noticed on both sides, in milliseconds. */
	readonly detectionDelayMs?: number;
};

const defaultWayMs = 1;
const defaultNoticeMs = 500;

type OpenRequest = {readonly from: string; readonly to: string; readonly signal: AbortSignal; readonly drop: () => void; readonly answer: (body: unknown) => void};

/** Carries requests between entry VMs; links can be cut. */
export class SimulatedPeers {
	readonly #clock: Clock;
	readonly #wayMs: number;
	readonly #noticeMs: number;
	readonly #handlers = new Map<string, SimulatedPeerHandler>();
	readonly #cut = new Set<string>();
	readonly #requests = new Set<OpenRequest>();

	constructor({clock, oneWayLatencyMs: wayMs = defaultWayMs, detectionDelayMs: noticeMs = defaultNoticeMs}: SimulatedPeersOptions) {
		this.#clock = clock;
		this.#wayMs = wayMs;
		this.#noticeMs = noticeMs;
	}

	/**
	 * Adds an entry VM and gets its view of the others.
	 * @param id - Entry VM.
	 * @param handler - Answers the requests to it.
	 */
	addPeer(id: string, handler: SimulatedPeerHandler): PeerNetwork {
		this.#handlers.set(id, handler);
		return {
			getMembers: () => [],
			getMemberStream: () => empty(),
			sendControl: () => false,
			request: async (to, request, signal) => this.#request(id, to, request, signal),
			async close() {/* Nothing is open. */},
		};
	}

	/**
	 * Cuts an entry VM off from all others; both sides notice after a while.
	 * @param id - Entry VM.
	 */
	isolatePeer(id: string): void {
		this.#cut.add(id);
		for (const request of this.#requests) {
			if (request.from === id || request.to === id) {
				this.#dropLater(request);
			}
		}
	}

	#dropLater({drop}: {readonly drop: () => void}): void {
		this.#clock.setTimer(drop, this.#noticeMs);
	}

	#isCut(from: string, to: string): boolean {
		return this.#cut.has(from) || this.#cut.has(to);
	}

	async #request(from: string, to: string, request: PeerRequest, signal?: AbortSignal): Promise<PeerOutcome> {
		const handler = this.#handlers.get(to);
		if (handler === undefined) {
			return {kind: 'not_sent', detail: 'no such peer'};
		}

		const controller = new AbortController();
		return new Promise(resolve => {
			const open: OpenRequest = {
				from,
				to,
				signal: controller.signal,
				drop: () => {
					this.#requests.delete(open);
					controller.abort();
					resolve({kind: 'lost', detail: 'the link broke'});
				},
				answer(body) {
					resolve({kind: 'answered', body});
				},
			};
			this.#requests.add(open);
			if (this.#isCut(from, to)) {
				this.#dropLater(open);
			}

			signal?.addEventListener('abort', open.drop, {once: true});
			void this.#carry(handler, request, open);
		});
	}

	async #carry(handler: SimulatedPeerHandler, request: PeerRequest, open: OpenRequest): Promise<void> {
		await sleep(this.#clock, this.#wayMs);
		if (this.#isCut(open.from, open.to)) {
			return;
		}

		const body = await handler(structuredClone(request), open.signal);
		await sleep(this.#clock, this.#wayMs);
		if (!this.#isCut(open.from, open.to) && this.#requests.delete(open)) {
			open.answer(body);
		}
	}
}
