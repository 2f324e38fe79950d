/**
 * Fetches newer data from peers: configurations, and the list of VMs while the platform is unavailable.
 */
import * as z from 'zod';
import {type HeartbeatBody, type Incarnation, type PeerNetwork} from '../connection/index.js';
import {listedVmSchema, type VmList} from '../platform/index.js';
import {type ConfigurationFollower} from './configuration-follower.js';
import {type VmListFollower} from './vm-list-follower.js';

/** Topic of requests for a peer's configuration. */
export const configurationTopic = 'configuration';

/** Topic of requests for a peer's list of VMs. */
export const vmListTopic = 'vm-list';

/** Payload of an entry VM's heartbeats, besides the configuration version. */
export type HeartbeatPayload = {
	/** Coordinator token for new jobs at this VM; empty when there is none yet. */
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

/** Compares the versions in peers' heartbeats with the local ones, and fetches what is newer at the peer. */
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
	 * Sets the source of this process's own coordinator token.
	 * @param getToken - Gets the current token.
	 */
	setTokenSource(getToken: () => string): void {
		this.#tokenSource = {getToken};
	}

	/** Gets the payload of this process's next heartbeat. */
	getHeartbeatPayload(): HeartbeatPayload {
		return {token: this.#tokenSource?.getToken() ?? '', vmListRevision: this.#options.vmList.getVmList().revision};
	}

	/**
	 * Gets the coordinator token that a peer sent last.
	 * @param incarnationId - Incarnation of the peer.
	 * @returns The token for new jobs at the peer; `undefined` when none was received.
	 */
	getToken(incarnationId: string): string | undefined {
		return this.#tokens.get(incarnationId);
	}

	/**
	 * Removes the tokens of processes that are no longer members.
	 * @param incarnationIds - Incarnations of the current members.
	 */
	setMembers(incarnationIds: ReadonlySet<string>): void {
		for (const id of this.#tokens.keys()) {
			if (!incarnationIds.has(id)) {
				this.#tokens.delete(id);
			}
		}
	}

	/**
	 * Handles a peer's heartbeat.
	 * @param body - Body of the heartbeat.
	 * @param from - Peer that sent it.
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
	 * Gets the reply to a peer's request for the configuration or the list of VMs.
	 * @param topic - Topic of the request.
	 * @returns The body of the reply; `undefined` for other topics.
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
