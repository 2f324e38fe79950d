/**
 * Requests between VMs for the upstreams of pools: the store may reject the calls of a pool's owner while it serves other VMs.
 */
import * as z from 'zod';
import {type Member, type PeerNetwork} from '../connection/index.js';
import {type DecisionLog, upstreamsSchema} from '../pool/index.js';
import {type Clock} from '../seams/index.js';
import {type UpstreamList} from './upstream-list.js';

/** Topic of requests for the upstreams of pools. */
export const upstreamRequestTopic = 'platform-upstreams';

/** Options of {@link UpstreamRequests}. */
export type UpstreamRequestsOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Data centre of this VM, whose other VMs are asked before those of other data centres. */
	readonly dataCenter: string;
	/** Gets the links to the other entry VMs. */
	readonly getPeers: () => Pick<PeerNetwork, 'getMembers' | 'request'>;
	/** Gets the pools owned by this VM. */
	readonly getPools: () => readonly string[];
	readonly upstreams: Pick<UpstreamList, 'addReport' | 'getReport' | 'refresh'>;
};

const requestSchema = z.object({pools: z.array(z.string()).max(1000)});
const answerSchema = z.object({reports: z.array(upstreamsSchema).nonempty()});

/** Time limit of a request, in milliseconds: the asked VM may have to read the list, which takes 400 ms at most. */
const answerTimeoutMs = 500;

/** Number of VMs that are asked at the same time; the store may turn several of them away, and some may not answer. */
const askedCount = 3;

/** Asks other VMs for the upstreams of this VM's pools, and answers such requests. */
export class UpstreamRequests {
	readonly #options: UpstreamRequestsOptions;
	/** Incarnation that answered the last request; it is asked first. */
	#answering: string | undefined;
	/** Number of VMs that were passed over since they did not answer. */
	#skippedCount = 0;

	constructor(options: UpstreamRequestsOptions) {
		this.#options = options;
	}

	/** Adds the reports of a VM that has read the upstreams of this VM's pools lately; adds none if no VM that is asked has. */
	async request(): Promise<void> {
		const {log, getPools} = this.#options;
		const pools = getPools();
		if (pools.length === 0) {
			return;
		}

		if (this.#answering !== undefined && await this.#ask(this.#answering, pools)) {
			return;
		}

		this.#answering = undefined;
		const asked = this.#chooseMembers();
		if (asked.length === 0) {
			return;
		}

		const answers = await Promise.all(asked.map(async ({incarnation: {id}}) => await this.#ask(id, pools) ? [id] : []));
		[this.#answering] = answers.flat();
		if (this.#answering === undefined) {
			this.#skippedCount += asked.length;
			log.info({pools, asked: asked.map(({incarnation: {id}}) => id)}, 'no VM that was asked has read the list of upstreams');
		} else {
			log.info({pools, peer: this.#answering}, 'upstreams received from a peer');
		}
	}

	/**
	 * Handles the request of another VM.
	 * @param body - Body of the request.
	 * @returns Body of the answer; it has no reports if the list cannot be read here either.
	 */
	async handleRequest(body: unknown): Promise<unknown> {
		const {upstreams} = this.#options;
		const {pools} = requestSchema.parse(body);
		const isFresh = await upstreams.refresh();
		return {reports: isFresh ? pools.map(pool => upstreams.getReport(pool)) : []};
	}

	/** Asks a VM and adds its reports; returns whether it had any. */
	async #ask(id: string, pools: readonly string[]): Promise<boolean> {
		const {clock, getPeers, upstreams} = this.#options;
		const controller = new AbortController();
		const timer = clock.setTimer(() => {
			controller.abort();
		}, answerTimeoutMs);
		const outcome = await getPeers().request(id, {topic: upstreamRequestTopic, body: {pools}}, controller.signal);
		timer.close();
		const answer = outcome.kind === 'answered' ? answerSchema.safeParse(outcome.body).data : undefined;
		for (const report of answer?.reports ?? []) {
			upstreams.addReport(report);
		}

		return answer !== undefined;
	}

	/** Gets the VMs to ask next, in turn: those of this data centre first. */
	#chooseMembers(): readonly Member[] {
		const {dataCenter, getPeers} = this.#options;
		const up = getPeers().getMembers().filter(({state}) => state === 'up');
		const isLocal = ({incarnation}: Member): boolean => incarnation.dataCenter === dataCenter;
		const sorted = [...up.filter(member => isLocal(member)), ...up.filter(member => !isLocal(member))];
		const first = sorted.length === 0 ? 0 : this.#skippedCount % sorted.length;
		return [...sorted.slice(first), ...sorted.slice(0, first)].slice(0, askedCount);
	}
}
