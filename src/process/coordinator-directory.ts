/**
 * Locates the process that serves the jobs of a coordinator: the coordinator itself, or the successor that adopted its records.
 */
import * as z from 'zod';
import {type Member, type PeerNetwork} from '../connection/index.js';
import {type CoordinatorToken} from '../request/index.js';
import {type Clock} from '../seams/index.js';
import {type AdoptedRecords} from './adopted-records.js';

/** Where the jobs of a coordinator are served. */
export type CoordinatorLocation =
	| {readonly kind: 'self'}
	| {readonly kind: 'adopted'; readonly records: AdoptedRecords}
	| {readonly kind: 'member'; readonly member: Member}
	/** Currently not reachable; `isKnown`: it is or was a member. */
	| {readonly kind: 'unreachable'; readonly isKnown: boolean}
	/** No process has its records. */
	| {readonly kind: 'lost'};

/** Options of a {@link CoordinatorDirectory}. */
export type CoordinatorDirectoryOptions = {
	readonly clock: Clock;
	readonly selfId: string;
	readonly peers: Pick<PeerNetwork, 'getMembers' | 'request' | 'sendControl'>;
	/** Time for which adopted records and hand-overs are kept, in milliseconds. */
	readonly retentionMs: number;
	/** Timeout of a query to the peers, in milliseconds. */
	readonly locateTimeoutMs?: number;
	/** Time for which a coordinator that no peer could locate is cached as lost, in milliseconds. */
	readonly lostRetentionMs?: number;
};

/** Topic of requests for a coordinator's successor. */
export const locateTopic = 'locate';

/** Topic of control messages that announce a completed hand-over. */
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
/** Longest chain of hand-overs that is followed; ends a cycle as well. */
const maxSuccessionHops = 64;

/** Locates coordinators from the members, the records adopted here, and the known hand-overs. */
export class CoordinatorDirectory {
	readonly #options: CoordinatorDirectoryOptions;
	readonly #adopted = new Map<string, {readonly records: AdoptedRecords; readonly since: number}>();
	readonly #successions = new Map<string, Succession>();
	readonly #lostUntil = new Map<string, number>();

	constructor(options: CoordinatorDirectoryOptions) {
		this.#options = options;
	}

	/**
	 * Adds the records of a stopped coordinator, whose jobs this process serves from now on, and announces it to the members.
	 * @param records - Complete records of the coordinator.
	 */
	addAdoptedRecords(records: AdoptedRecords): void {
		this.#removeExpired();
		const coordinatorId = records.coordinator.incarnation.id;
		this.#adopted.set(coordinatorId, {records, since: this.#options.clock.getMonotonicTime()});
		this.#lostUntil.delete(coordinatorId);
		this.#announceSuccession(coordinatorId, this.#options.selfId);
	}

	/** Gets the records adopted by this process that have not expired. */
	getAdoptedRecords(): readonly AdoptedRecords[] {
		this.#removeExpired();
		return Array.from(this.#adopted.values(), ({records}) => records);
	}

	/**
	 * Adds a completed hand-over.
	 * @param coordinatorId - Incarnation that stopped.
	 * @param successorId - Incarnation that adopted its records.
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
	 * Handles a peer's message of the topic {@link successionTopic}; ignores an invalid one.
	 * @param body - Body of the message.
	 */
	handleSuccession(body: unknown): void {
		const {data} = successionSchema.safeParse(body);
		if (data !== undefined) {
			this.addSuccession(data.coordinatorId, data.successorId);
		}
	}

	/**
	 * Handles a peer's request of the topic {@link locateTopic}.
	 * @param body - Body of the request.
	 * @returns The reply, without `answererId` when the successor is not known here.
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
	 * Gets the location of a coordinator whose jobs this process serves.
	 * @param coordinatorId - Incarnation of the coordinator.
	 * @returns A location of kind `self` or `adopted`; `undefined` when this process does not serve the coordinator.
	 */
	getLocalLocation(coordinatorId: string): CoordinatorLocation | undefined {
		const location = this.#getKnownLocation(coordinatorId);
		return location?.kind === 'self' || location?.kind === 'adopted' ? location : undefined;
	}

	/**
	 * Locates a coordinator; queries the peers when the location is not known here.
	 * @param token - Token of the coordinator.
	 * @returns The location; of kind `unreachable` or `lost` when no process can serve the coordinator now.
	 */
	async findLocation(token: CoordinatorToken): Promise<CoordinatorLocation> {
		const knownLocation = this.#getKnownLocation(token.incarnationId);
		if (knownLocation !== undefined) {
			return knownLocation;
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

		// The coordinator may have joined while the peers were queried.
		return this.#getKnownLocation(token.incarnationId) ?? this.#classifyMissing(token);
	}

	/** Gets the location from local state, following the chain of hand-overs. */
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

	/**
	 * Classifies a coordinator that no process could locate. It is lost only if its data centre has a member that is up and the
	 * coordinator is not a member; otherwise it may just be unreachable.
	 */
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
		const queryAbort = new AbortController();
		const timeoutTimer = this.#options.clock.setTimer(() => {
			queryAbort.abort();
		}, this.#options.locateTimeoutMs ?? defaultLocateTimeoutMs);
		try {
			return await Promise.any(candidates.map(async member => this.#queryPeer(member, token, queryAbort.signal)));
		} catch {
			// No peer located it in time.
			return undefined;
		} finally {
			timeoutTimer.close();
			queryAbort.abort();
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
