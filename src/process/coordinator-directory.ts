/**
 * Finds out which process answers for a coordinator.
 */
import * as z from 'zod';
import {type Member, type PeerNetwork} from '../connection/index.js';
import {type CoordinatorToken} from '../request/index.js';
import {type Clock} from '../seams/index.js';
import {type AdoptedRecords} from './adopted-records.js';

/** Who answers for a coordinator. */
export type CoordinatorLocation =
	| {readonly kind: 'self'}
	| {readonly kind: 'adopted'; readonly records: AdoptedRecords}
	| {readonly kind: 'member'; readonly member: Member}
	/** Not reachable at present. */
	| {readonly kind: 'unreachable'; readonly isKnown: boolean}
	/** Nobody has its records. */
	| {readonly kind: 'lost'};

/** Options of a {@link CoordinatorDirectory}. */
export type CoordinatorDirectoryOptions = {
	readonly clock: Clock;
	readonly selfId: string;
	readonly peers: Pick<PeerNetwork, 'getMembers' | 'request' | 'sendControl'>;
	/** Time for which hand-overs are remembered, in milliseconds. */
	readonly retentionMs: number;
	/** Time limit for asking the peers, in milliseconds. */
	readonly locateTimeoutMs?: number;
	/** Time for which a coordinator counts as lost after no peer knew it, in milliseconds. */
	readonly lostRetentionMs?: number;
};

/** Topic by which peers ask each other for a coordinator's successor. */
export const locateTopic = 'locate';

/** Topic by which peers tell each other of a hand-over. */
export const successionTopic = 'succession';

type Succession = {
	readonly successorId: string;
	readonly since: number;
};

const locateReplySchema = z.object({answererId: z.string().optional()});
const successionSchema = z.object({coordinatorId: z.string(), successorId: z.string()});
const defaultLocateTimeoutMs = 1000;
const defaultLostMs = 1000;
const maxLostEntries = 10_000;
/** Most hand-overs in a row that are followed. */
const maxSuccessionHops = 64;

/** Knows the members, the records adopted here, and which coordinators were handed over to whom. */
export class CoordinatorDirectory {
	readonly #options: CoordinatorDirectoryOptions;
	readonly #adopted = new Map<string, {readonly records: AdoptedRecords; readonly since: number}>();
	readonly #successions = new Map<string, Succession>();
	readonly #lostUntil = new Map<string, number>();

	constructor(options: CoordinatorDirectoryOptions) {
		this.#options = options;
	}

	/**
	 * Adds the records of a coordinator that stopped; this process answers for it from now on.
	 * @param records - Its complete records.
	 */
	addAdoptedRecords(records: AdoptedRecords): void {
		this.#removeExpired();
		const coordinatorId = records.coordinator.incarnation.id;
		this.#adopted.set(coordinatorId, {records, since: this.#options.clock.getMonotonicTime()});
		this.#lostUntil.delete(coordinatorId);
		this.#announceSuccession(coordinatorId, this.#options.selfId);
	}

	/** Gets the records adopted here. */
	getAdoptedRecords(): readonly AdoptedRecords[] {
		this.#removeExpired();
		return Array.from(this.#adopted.values(), ({records}) => records);
	}

	/**
	 * Adds a hand-over.
	 * @param coordinatorId - Incarnation that stopped.
	 * @param successorId - Incarnation that answers for it.
	 */
	addSuccession(coordinatorId: string, successorId: string): void {
		if (coordinatorId === successorId) {
			return;
		}

		this.#removeExpired();
		this.#successions.set(coordinatorId, {successorId, since: this.#options.clock.getMonotonicTime()});
		this.#lostUntil.delete(coordinatorId);
	}

	/**
	 * Takes a peer's message of the topic {@link successionTopic}.
	 * @param body - Body of the message.
	 */
	handleSuccession(body: unknown): void {
		const {data} = successionSchema.safeParse(body);
		if (data !== undefined) {
			this.addSuccession(data.coordinatorId, data.successorId);
		}
	}

	/**
	 * Answers a peer's request of the topic {@link locateTopic}.
	 * @param body - Body of the request.
	 */
	handleLocateRequest(body: unknown): unknown {
		const coordinatorId = z.object({coordinatorId: z.string()}).safeParse(body).data?.coordinatorId;
		if (coordinatorId === undefined) {
			return {};
		}

		if (this.#adopted.has(coordinatorId)) {
			return {answererId: this.#options.selfId};
		}

		return {answererId: this.#successions.get(coordinatorId)?.successorId};
	}

	/**
	 * Gets the place of a coordinator if this process answers for it.
	 * @param coordinatorId - Incarnation of the coordinator.
	 */
	getLocalLocation(coordinatorId: string): CoordinatorLocation | undefined {
		const location = this.#getKnownLocation(coordinatorId);
		return location?.kind === 'self' || location?.kind === 'adopted' ? location : undefined;
	}

	/**
	 * Gets the place of a coordinator, asking the peers when it is not known here.
	 * @param token - Coordinator to find.
	 */
	async findLocation(token: CoordinatorToken): Promise<CoordinatorLocation> {
		const known = this.#getKnownLocation(token.incarnationId);
		if (known !== undefined) {
			return known;
		}

		const now = this.#options.clock.getMonotonicTime();
		if ((this.#lostUntil.get(token.incarnationId) ?? 0) > now) {
			return {kind: 'lost'};
		}

		const answererId = await this.#queryPeers(token);
		if (answererId !== undefined) {
			this.addSuccession(token.incarnationId, answererId);
			return this.#getKnownLocation(token.incarnationId) ?? {kind: 'unreachable', isKnown: true};
		}

		// It may have joined while the peers were asked.
		return this.#getKnownLocation(token.incarnationId) ?? this.#classifyMissing(token);
	}

	/** Gets the place as far as it is known here, following the hand-overs. */
	#getKnownLocation(coordinatorId: string): CoordinatorLocation | undefined {
		let id = coordinatorId;
		for (let hop = 0; hop < maxSuccessionHops; hop++) {
			if (id === this.#options.selfId && id === coordinatorId) {
				return {kind: 'self'};
			}

			const adopted = this.#adopted.get(coordinatorId);
			if (adopted !== undefined) {
				return {kind: 'adopted', records: adopted.records};
			}

			const succession = this.#successions.get(id);
			if (succession === undefined) {
				return this.#getMemberLocation(id);
			}

			id = succession.successorId;
		}

		return undefined;
	}

	#getMemberLocation(id: string): CoordinatorLocation | undefined {
		const member = this.#options.peers.getMembers().find(({incarnation}) => incarnation.id === id);
		return member === undefined || member.state === 'down' ? undefined : {kind: 'member', member};
	}

	/** Gets whether a coordinator that nobody answers for is cut off or gone. */
	#classifyMissing(token: CoordinatorToken): CoordinatorLocation {
		const members = this.#options.peers.getMembers();
		const isDataCenterReachable = members.some(({incarnation, state}) => incarnation.dataCenter === token.dataCenter && state === 'up');
		const isKnown = members.some(({incarnation}) => incarnation.id === token.incarnationId);
		if (isKnown || !isDataCenterReachable) {
			return {kind: 'unreachable', isKnown};
		}

		this.#addLost(token.incarnationId);
		return {kind: 'lost'};
	}

	#addLost(coordinatorId: string): void {
		if (this.#lostUntil.size >= maxLostEntries) {
			this.#lostUntil.clear();
		}

		const now = this.#options.clock.getMonotonicTime();
		this.#lostUntil.set(coordinatorId, now + (this.#options.lostRetentionMs ?? defaultLostMs));
	}

	async #queryPeers(token: CoordinatorToken): Promise<string | undefined> {
		const upMembers = this.#options.peers.getMembers().filter(({state}) => state === 'up');
		const localMembers = upMembers.filter(({incarnation}) => incarnation.dataCenter === token.dataCenter);
		const candidates = localMembers.length > 0 ? localMembers : upMembers;
		const ending = new AbortController();
		const timer = this.#options.clock.setTimer(() => {
			ending.abort();
		}, this.#options.locateTimeoutMs ?? defaultLocateTimeoutMs);
		try {
			return await Promise.any(candidates.map(async member => this.#queryPeer(member, token, ending.signal)));
		} catch {
			// None of them knows it.
			return undefined;
		} finally {
			timer.close();
			ending.abort();
		}
	}

	async #queryPeer(member: Member, token: CoordinatorToken, signal: AbortSignal): Promise<string> {
		const body = {coordinatorId: token.incarnationId};
		const outcome = await this.#options.peers.request(member.incarnation.id, {topic: locateTopic, body}, signal);
		const reply = outcome.kind === 'answered' ? locateReplySchema.safeParse(outcome.body).data : undefined;
		if (reply?.answererId === undefined) {
			throw new Error(`${member.incarnation.id} does not know ${token.incarnationId}`);
		}

		return reply.answererId;
	}

	#announceSuccession(coordinatorId: string, successorId: string): void {
		const message = {topic: successionTopic, body: {coordinatorId, successorId}};
		for (const {incarnation, state} of this.#options.peers.getMembers()) {
			if (state !== 'down') {
				this.#options.peers.sendControl(incarnation.id, message);
			}
		}
	}

	#removeExpired(): void {
		const expiresBefore = this.#options.clock.getMonotonicTime() - this.#options.retentionMs;
		for (const map of [this.#adopted, this.#successions]) {
			for (const [id, {since}] of map) {
				if (since < expiresBefore) {
					map.delete(id);
				}
			}
		}
	}
}
