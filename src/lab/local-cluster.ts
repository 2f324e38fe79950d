/**
 * Runs a complete deployment in one process on loopback: platform stand-in, upstreams and entry VMs.
 */
import {
	createEtcdPlatform, getConfigurationKey, type ListedEntryVm, type ListedUpstream,
} from '../platform/index.js';
import {createEntryVm, type EntryVm, type EntryVmOptions} from '../process/index.js';
import {PlatformStandIn, UpstreamStandIn, type UpstreamStandInOptions} from '../testing/index.js';
import {type Configuration, configurationSchema} from '../version/index.js';

/** One data centre of a {@link LocalCluster}. */
export type LocalDataCenter = {
	readonly name: string;
	readonly entryVms: number;
	readonly upstreams: number;
};

/** Options of a {@link LocalCluster}. */
export type LocalClusterOptions = {
	readonly dataCenters?: readonly LocalDataCenter[];
	/** Service that the upstreams belong to. */
	readonly service?: string;
	readonly slots?: number;
	readonly declarations?: unknown;
	/** Additional options of each upstream. */
	readonly upstream?: UpstreamStandInOptions;
	/** Additional options of each entry VM. */
	readonly entryVm?: Partial<EntryVmOptions>;
};

/** An upstream of the deployment and its entry in the VM list. */
export type LocalUpstream = {
	readonly listed: ListedUpstream;
	readonly standIn: UpstreamStandIn;
};

const defaultDataCenters: readonly LocalDataCenter[] = [{name: 'dc1', entryVms: 3, upstreams: 3}];
const defaultSlots = 8;
const defaultConnections = 64;
const deployment = 'local';
const peerKey = 'the key of the local deployment';
const ephemeralAddress = '127.0.0.1:0';

/** Runs a deployment in this process. */
export class LocalCluster {
	readonly platform = new PlatformStandIn({deployment});
	readonly #options: LocalClusterOptions;
	readonly #service: string;
	readonly #upstreams: LocalUpstream[] = [];
	readonly #entryVms: EntryVm[] = [];
	#entryVmCount = 0;
	#upstreamCount = 0;

	/** @internal */
	constructor(options: LocalClusterOptions) {
		this.#options = options;
		this.#service = options.service ?? 'demo';
	}

	/** Gets the running entry VMs. */
	getEntryVms(): readonly EntryVm[] {
		return this.#entryVms;
	}

	/** Gets the caller addresses of the running entry VMs. */
	getCallerAddresses(): readonly string[] {
		return this.#entryVms.map(entryVm => entryVm.getCallerAddress());
	}

	/** Gets the upstreams. */
	getUpstreams(): readonly LocalUpstream[] {
		return this.#upstreams;
	}

	/**
	 * Stores a version of the configuration in the platform and returns it.
	 * @param version - Version of the configuration.
	 * @param declarations - Declarations; by default those of the options.
	 */
	setConfiguration(version: number, declarations: unknown = this.#options.declarations ?? {profiles: {standard: {}}, services: {[this.#service]: {profile: 'standard'}}}): Configuration {
		const configuration = configurationSchema.parse({version, changeId: `change-${version}`, declarations});
		this.platform.putKey(getConfigurationKey(deployment), JSON.stringify(configuration));
		return configuration;
	}

	/**
	 * Starts an upstream and adds it to the VM list.
	 * @param dataCenter - Data centre of the upstream.
	 */
	async addUpstream(dataCenter: string): Promise<LocalUpstream> {
		this.#upstreamCount++;
		const name = `u${this.#upstreamCount}`;
		const slots = this.#options.slots ?? defaultSlots;
		const standIn = new UpstreamStandIn({...this.#options.upstream, name, slots});
		await standIn.listen();
		const listed: ListedUpstream = {
			kind: 'upstream',
			name,
			dataCenter,
			state: 'live',
			service: this.#service,
			address: standIn.getAddress(),
			slots,
			connections: defaultConnections,
			cores: 16,
			memoryMb: 32_768,
			accelerators: 0,
			rack: '',
		};
		this.platform.addVm(listed);
		const upstream = {listed, standIn};
		this.#upstreams.push(upstream);
		return upstream;
	}

	/**
	 * Starts an entry VM and adds it to the VM list.
	 * @param dataCenter - Data centre of the entry VM.
	 * @param options - Options of this entry VM only.
	 */
	async addEntryVm(dataCenter: string, options: Partial<EntryVmOptions> = {}): Promise<EntryVm> {
		this.#entryVmCount++;
		const entryVm = await createEntryVm({
			deployment,
			dataCenter,
			vm: `e${this.#entryVmCount}`,
			callerAddress: ephemeralAddress,
			operatorAddress: ephemeralAddress,
			peerAddress: ephemeralAddress,
			peerKey,
			platform: createEtcdPlatform({endpoints: [this.platform.getUrl()]}),
			drainMs: 0,
			...this.#options.entryVm,
			...options,
		});
		this.platform.addVm(createListing(entryVm, 'live'));
		this.#entryVms.push(entryVm);
		return entryVm;
	}

	/**
	 * Stops an entry VM gracefully and removes it from the VM list.
	 * @param entryVm - Entry VM to stop.
	 */
	async removeEntryVm(entryVm: EntryVm): Promise<void> {
		this.#removeFromRunning(entryVm);
		this.platform.addVm(createListing(entryVm, 'leaving'));
		await entryVm.close();
		this.platform.removeVm(createListing(entryVm, 'leaving'));
	}

	/**
	 * Ends an entry VM immediately, as when its process crashes; it stays in the VM list.
	 * @param entryVm - Entry VM to end.
	 */
	async abortEntryVm(entryVm: EntryVm): Promise<void> {
		this.#removeFromRunning(entryVm);
		await entryVm.abort();
	}

	/** Waits until every entry VM has a configuration, is connected to all others and lists all upstreams. */
	async waitUntilReady(): Promise<void> {
		for (const entryVm of this.#entryVms) {
			const {configuration, mesh, vmList} = entryVm.getComponents();
			await configuration.getStream().filter(({version}) => version > 0).take(1).drain();
			await mesh.getMemberStream()
				.filter(members => members.filter(({state}) => state === 'up').length >= this.#entryVms.length - 1)
				.take(1).drain();
			await vmList.getStream().filter(({upstreams}) => upstreams.length >= this.#upstreams.length).take(1).drain();
		}
	}

	/** Stops the whole deployment immediately. */
	async close(): Promise<void> {
		await Promise.all(this.#entryVms.map(async entryVm => entryVm.abort()));
		await Promise.all(this.#upstreams.map(async ({standIn}) => standIn.close()));
		await this.platform.close();
	}

	/** @internal */
	async start(): Promise<void> {
		await this.platform.listen();
		this.setConfiguration(1);
		for (const {name, entryVms, upstreams} of this.#options.dataCenters ?? defaultDataCenters) {
			for (let index = 0; index < upstreams; index++) {
				await this.addUpstream(name);
			}

			for (let index = 0; index < entryVms; index++) {
				await this.addEntryVm(name);
			}
		}

		await this.waitUntilReady();
	}

	#removeFromRunning(entryVm: EntryVm): void {
		const index = this.#entryVms.indexOf(entryVm);
		if (index !== -1) {
			this.#entryVms.splice(index, 1);
		}
	}
}

/**
 * Creates a deployment and waits until it is ready for requests.
 * @param options - Composition of the deployment.
 */
export async function createLocalCluster(options: LocalClusterOptions = {}): Promise<LocalCluster> {
	const cluster = new LocalCluster(options);
	await cluster.start();
	return cluster;
}

function createListing(entryVm: EntryVm, state: ListedEntryVm['state']): ListedEntryVm {
	const {vm, dataCenter} = entryVm.getIncarnation();
	return {
		kind: 'entry',
		name: vm,
		dataCenter,
		state,
		callerAddress: entryVm.getCallerAddress(),
		operatorAddress: entryVm.getOperatorAddress(),
		peerAddress: entryVm.getPeerAddress(),
	};
}
