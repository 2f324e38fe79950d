/**
 * Requests between entry VMs in one process, timed by a given clock.
 */
import {empty} from 'most';
import {
	type Member, type PeerNetwork, type PeerOutcome, type PeerRequest,
} from '../connection/index.js';
import {type Clock, sleep} from '../seams/index.js';

/** Handles the requests to one entry VM. */
export type SimulatedPeerHandler = (request: PeerRequest, signal: AbortSignal) => Promise<unknown>;

/** Options of {@link SimulatedPeers}. */
export type SimulatedPeersOptions = {
	readonly clock: Clock;
	/** One-way latency between two entry VMs, in milliseconds. */
	readonly oneWayLatencyMs?: number;
	/** Time until both sides detect a cut connection, in milliseconds. */
	readonly detectionDelayMs?: number;
};

const defaultOneWayLatencyMs = 1;
const defaultDetectionDelayMs = 500;

type OpenRequest = {readonly from: string; readonly to: string; readonly signal: AbortSignal; readonly drop: () => void; readonly answer: (body: unknown) => void};

function createMember(id: string): Member {
	return {
		incarnation: {dataCenter: '', vm: id, id}, state: 'up', isLeaving: false, peerAddress: '', configurationVersion: 0, claims: {}, cores: 1,
	};
}

/** Delivers requests between entry VMs, which can be isolated from each other. */
export class SimulatedPeers {
	readonly #clock: Clock;
	readonly #oneWayLatencyMs: number;
	readonly #detectionDelayMs: number;
	readonly #handlers = new Map<string, SimulatedPeerHandler>();
	readonly #isolated = new Set<string>();
	readonly #requests = new Set<OpenRequest>();

	constructor({clock, oneWayLatencyMs = defaultOneWayLatencyMs, detectionDelayMs = defaultDetectionDelayMs}: SimulatedPeersOptions) {
		this.#clock = clock;
		this.#oneWayLatencyMs = oneWayLatencyMs;
		this.#detectionDelayMs = detectionDelayMs;
	}

	/**
	 * Adds an entry VM.
	 * @param id - Identifier of the VM.
	 * @param handler - Handles the requests to the VM.
	 * @returns Peer network as seen by the VM.
	 */
	addPeer(id: string, handler: SimulatedPeerHandler): PeerNetwork {
		this.#handlers.set(id, handler);
		return {
			getMembers: () => [...this.#handlers.keys()].filter(other => other !== id).map(other => createMember(other)),
			getMemberStream: () => empty(),
			sendControl: () => false,
			request: async (to, request, signal) => this.#request(id, to, request, signal),
			async close() {/* Nothing is open. */},
		};
	}

	/**
	 * Cuts the connections between an entry VM and all others; both sides detect it after the detection delay.
	 * @param id - Identifier of the VM.
	 */
	isolatePeer(id: string): void {
		this.#isolated.add(id);
		for (const request of this.#requests) {
			if (request.from === id || request.to === id) {
				this.#scheduleDrop(request);
			}
		}
	}

	#scheduleDrop({drop}: {readonly drop: () => void}): void {
		this.#clock.setTimer(drop, this.#detectionDelayMs);
	}

	#isIsolated(from: string, to: string): boolean {
		return this.#isolated.has(from) || this.#isolated.has(to);
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
			if (this.#isIsolated(from, to)) {
				this.#scheduleDrop(open);
			}

			signal?.addEventListener('abort', open.drop, {once: true});
			void this.#transmit(handler, request, open);
		});
	}

	async #transmit(handler: SimulatedPeerHandler, request: PeerRequest, open: OpenRequest): Promise<void> {
		await sleep(this.#clock, this.#oneWayLatencyMs);
		if (this.#isIsolated(open.from, open.to)) {
			return;
		}

		const body = await handler(structuredClone(request), open.signal);
		await sleep(this.#clock, this.#oneWayLatencyMs);
		if (!this.#isIsolated(open.from, open.to) && this.#requests.delete(open)) {
			open.answer(body);
		}
	}
}
