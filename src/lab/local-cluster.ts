/**
 * A whole deployment in one process on loopback: platform stand-in, upstreams and entry VMs.
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
	/** Further options of each upstream. */
	readonly upstream?: UpstreamStandInOptions;
	/** Further options of each entry VM. */
	readonly entryVm?: Partial<EntryVmOptions>;
};

/** An upstream of the deployment and how it is listed. */
export type LocalUpstream = {
	readonly listed: ListedUpstream;
	readonly standIn: UpstreamStandIn;
};

const defaultDataCenters: readonly LocalDataCenter[] = [{name: 'dc1', entryVms: 3, upstreams: 3}];
const defaultSlots = 8;
const defaultConnections = 64;
const deployment = 'local';
const peerKey = 'the key of the local deployment';
const anyPort = '127.0.0.1:0';

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

	/** Gets the addresses that callers can use. */
	getCallerAddresses(): readonly string[] {
		return this.#entryVms.map(entryVm => entryVm.getCallerAddress());
	}

	/** Gets the upstreams. */
	getUpstreams(): readonly LocalUpstream[] {
		return this.#upstreams;
	}

	/**
	 * Sets the configuration in the platform to a version.
	 * @param version - Version of the configuration.
	 * @param declarations - Declarations; those of the options when absent.
	 */
	setConfiguration(version: number, declarations: unknown = this.#options.declarations ?? {profiles: {standard: {}}, services: {[this.#service]: {profile: 'standard'}}}): Configuration {
		const configuration = configurationSchema.parse({version, changeId: `change-${version}`, declarations});
		this.platform.putKey(getConfigurationKey(deployment), JSON.stringify(configuration));
		return configuration;
	}

	/**
	 * Adds an upstream that runs and is listed.
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
	 * Adds an entry VM that runs and is listed.
	 * @param dataCenter - Data centre of the entry VM.
	 * @param options - Options of this entry VM only.
	 */
	async addEntryVm(dataCenter: string, options: Partial<EntryVmOptions> = {}): Promise<EntryVm> {
		this.#entryVmCount++;
		const entryVm = await createEntryVm({
			deployment,
			dataCenter,
			vm: `e${this.#entryVmCount}`,
			callerAddress: anyPort,
			operatorAddress: anyPort,
			peerAddress: anyPort,
			peerKey,
			platform: createEtcdPlatform({endpoints: [this.platform.getUrl()]}),
			drainMs: 0,
			...this.#options.entryVm,
			...options,
		});
		this.platform.addVm(getListing(entryVm, 'live'));
		this.#entryVms.push(entryVm);
		return entryVm;
	}

	/**
	 * Stops an entry VM gracefully.
	 * @param entryVm - Entry VM to stop.
	 */
	async removeEntryVm(entryVm: EntryVm): Promise<void> {
		this.#forget(entryVm);
		this.platform.addVm(getListing(entryVm, 'leaving'));
		await entryVm.close();
		this.platform.removeVm(getListing(entryVm, 'leaving'));
	}

	/**
	 * Ends an entry VM at once, as when its process dies; the platform's list goes on naming it.
	 * @param entryVm - Entry VM to end.
	 */
	async abortEntryVm(entryVm: EntryVm): Promise<void> {
		this.#forget(entryVm);
		await entryVm.abort();
	}

	/** Waits until every entry VM takes work, sees all others and has all upstreams. */
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

	/** Ends everything at once. */
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

	#forget(entryVm: EntryVm): void {
		const index = this.#entryVms.indexOf(entryVm);
		if (index !== -1) {
			this.#entryVms.splice(index, 1);
		}
	}
}

/**
 * Creates a deployment that takes requests.
 * @param options - What it consists of.
 */
export async function createLocalCluster(options: LocalClusterOptions = {}): Promise<LocalCluster> {
	const cluster = new LocalCluster(options);
	await cluster.start();
	return cluster;
}

function getListing(entryVm: EntryVm, state: ListedEntryVm['state']): ListedEntryVm {
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
