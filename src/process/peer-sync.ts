/**
 * Keeps this process up to date through its peers: newer configurations, and the list of VMs while the platform is away.
 */
import * as z from 'zod';
import {type HeartbeatBody, type Incarnation, type PeerNetwork} from '../connection/index.js';
import {listedVmSchema, type VmList} from '../platform/index.js';
import {type ConfigurationFollower} from './configuration-follower.js';
import {type VmListFollower} from './vm-list-follower.js';

/** Topic by which a peer's configuration is asked for. */
export const configurationTopic = 'configuration';

/** Topic by which a peer's list of VMs is asked for. */
export const vmListTopic = 'vm-list';

/** What an entry VM tells of itself with each heartbeat, besides the configuration version. */
export type HeartbeatPayload = {
	/** Token for new jobs at this VM. */
	readonly token: string;
	readonly vmListRevision: number;
};

/** Options of a {@link PeerSync}. */
export type PeerSyncOptions = {
	readonly configuration: ConfigurationFollower;
	readonly vmList: VmListFollower;
	readonly getPeers: () => Pick<PeerNetwork, 'request'>;
};

type TokenSource = {
	getToken(): string;
};

const payloadSchema = z.object({token: z.string(), vmListRevision: z.number()});
const vmListSchema = z.object({revision: z.number(), vms: z.array(listedVmSchema)});

/** Compares what peers tell with what is known here, and asks for what is newer there. */
export class PeerSync {
	readonly #options: PeerSyncOptions;
	readonly #tokens = new Map<string, string>();
	#tokenSource: TokenSource | undefined;
	#isFetchingConfiguration = false;
	#isFetchingVmList = false;

	constructor(options: PeerSyncOptions) {
		this.#options = options;
	}

	/**
	 * Sets where this process's own token comes from.
	 * @param getToken - Gets the present token.
	 */
	setTokenSource(getToken: () => string): void {
		this.#tokenSource = {getToken};
	}

	/** Gets what this process tells of itself with each heartbeat. */
	getHeartbeatPayload(): HeartbeatPayload {
		return {token: this.#tokenSource?.getToken() ?? '', vmListRevision: this.#options.vmList.getVmList().revision};
	}

	/**
	 * Gets the last token that a peer told for new jobs; `undefined` when none is known.
	 * @param incarnationId - Peer.
	 */
	getToken(incarnationId: string): string | undefined {
		return this.#tokens.get(incarnationId);
	}

	/**
	 * Forgets the tokens of processes that are no longer members.
	 * @param incarnationIds - Present members.
	 */
	setMembers(incarnationIds: ReadonlySet<string>): void {
		for (const id of this.#tokens.keys()) {
			if (!incarnationIds.has(id)) {
				this.#tokens.delete(id);
			}
		}
	}

	/**
	 * Takes a peer's heartbeat.
	 * @param body - What the peer tells of itself.
	 * @param from - The peer.
	 */
	handleHeartbeat(body: HeartbeatBody, from: Incarnation): void {
		const {configuration, vmList} = this.#options;
		if (body.configurationVersion > configuration.getConfiguration().version) {
			void this.#fetchConfiguration(from.id);
		}

		const payload = payloadSchema.safeParse(body.load).data;
		if (payload === undefined) {
			return;
		}

		if (payload.token !== '') {
			this.#tokens.set(from.id, payload.token);
		}

		const isPlatformDown = vmList.getStatus().isPlatformUp === false;
		if (isPlatformDown && payload.vmListRevision > vmList.getVmList().revision) {
			void this.#fetchVmList(from.id);
		}
	}

	/**
	 * Answers a peer that asks for the configuration or the list of VMs; `undefined` for other topics.
	 * @param topic - Topic of the request.
	 */
	getReply(topic: string): unknown {
		if (topic === configurationTopic) {
			return this.#options.configuration.getConfiguration();
		}

		if (topic === vmListTopic) {
			const {revision, entryVms, upstreams} = this.#options.vmList.getVmList();
			return {revision, vms: [...entryVms, ...upstreams]};
		}

		return undefined;
	}

	async #fetchConfiguration(peerId: string): Promise<void> {
		if (this.#isFetchingConfiguration) {
			return;
		}

		this.#isFetchingConfiguration = true;
		const outcome = await this.#options.getPeers().request(peerId, {topic: configurationTopic, body: {}});
		this.#isFetchingConfiguration = false;
		if (outcome.kind === 'answered') {
			this.#options.configuration.offerConfiguration(outcome.body);
		}
	}

	async #fetchVmList(peerId: string): Promise<void> {
		if (this.#isFetchingVmList) {
			return;
		}

		this.#isFetchingVmList = true;
		const outcome = await this.#options.getPeers().request(peerId, {topic: vmListTopic, body: {}});
		this.#isFetchingVmList = false;
		const list = outcome.kind === 'answered' ? parseVmList(outcome.body) : undefined;
		if (list !== undefined) {
			this.#options.vmList.offerVmList(list);
		}
	}
}

function parseVmList(body: unknown): VmList | undefined {
	const {data} = vmListSchema.safeParse(body);
	if (data === undefined) {
		return undefined;
	}

	return {
		revision: data.revision,
		entryVms: data.vms.filter(vm => vm.kind === 'entry'),
		upstreams: data.vms.filter(vm => vm.kind === 'upstream'),
	};
}
