/**
 * A running entry VM: its addresses, its status and its shutdown.
 */
import {type Subscription} from 'most';
import {
	type CallerMemory, type HttpListener, type Incarnation, type PeerMesh, type UpstreamClient,
} from '../connection/index.js';
import {type Clock, type Random} from '../seams/index.js';
import {type CallerApi} from './caller-api.js';
import {type ConfigurationFollower} from './configuration-follower.js';
import {type Coordinator} from './coordinator.js';
import {type CoordinatorDirectory} from './coordinator-directory.js';
import {type EntryVmOptions} from './entry-vm-options.js';
import {type EntryVmStatus, getEntryVmStatus} from './entry-vm-status.js';
import {type EventLog} from './events.js';
import {stopGracefully} from './graceful-stop.js';
import {type JobRouter} from './job-router.js';
import {type JobRunner} from './job-runner.js';
import {type Metrics} from './metrics/index.js';
import {type PeerMessageDispatcher} from './peer-message-dispatcher.js';
import {type PeerSync} from './peer-sync.js';
import {type SlotScheduler} from './scheduler/index.js';
import {type VmListFollower} from './vm-list-follower.js';

const defaultDrainMs = 3000;
const defaultStopTimeoutMs = 60_000;

/** State shared by several components. */
export type EntryVmState = {
	isStopping: boolean;
};

/** Listeners of an entry VM. */
export type EntryVmListeners = {
	readonly caller: HttpListener;
	readonly operator: HttpListener;
};

/** The components of an entry VM. */
export type EntryVmComponents = {
	readonly state: EntryVmState;
	readonly clock: Clock;
	readonly random: Random;
	readonly self: Incarnation;
	readonly events: EventLog;
	readonly configuration: ConfigurationFollower;
	readonly vmList: VmListFollower;
	readonly sync: PeerSync;
	readonly messageDispatcher: PeerMessageDispatcher;
	readonly metrics: Metrics;
	readonly mesh: PeerMesh;
	readonly scheduler: SlotScheduler;
	readonly upstreamClient: UpstreamClient;
	readonly runner: JobRunner;
	readonly coordinator: Coordinator;
	readonly directory: CoordinatorDirectory;
	readonly router: JobRouter;
	readonly callerMemory: CallerMemory;
	readonly callerApi: CallerApi;
};

/** A running entry VM. */
export class EntryVm {
	readonly #options: EntryVmOptions;
	readonly #components: EntryVmComponents;
	readonly #callerListener: HttpListener;
	readonly #operatorListener: HttpListener;
	readonly #subscriptions: ReadonlyArray<Subscription<unknown>>;
	#closing: Promise<void> | undefined;

	/** @internal */
	constructor(
		options: EntryVmOptions,
		components: EntryVmComponents,
		listeners: EntryVmListeners,
		subscriptions: ReadonlyArray<Subscription<unknown>>,
	) {
		this.#options = options;
		this.#components = components;
		this.#callerListener = listeners.caller;
		this.#operatorListener = listeners.operator;
		this.#subscriptions = subscriptions;
	}

	/** Gets the incarnation of this process. */
	getIncarnation(): Incarnation {
		return this.#components.self;
	}

	/** Gets the address for callers. */
	getCallerAddress(): string {
		return this.#callerListener.getAddress();
	}

	/** Gets the address for operators. */
	getOperatorAddress(): string {
		return this.#operatorListener.getAddress();
	}

	/** Gets the address for other entry VMs. */
	getPeerAddress(): string {
		return this.#components.mesh.getAddress();
	}

	/** Gets the components, for measurements and metrics. */
	getComponents(): EntryVmComponents {
		return this.#components;
	}

	/** Gets whether the entry VM accepts new work. */
	isReady(): boolean {
		return isEntryVmReady(this.#components);
	}

	/** Gets the status for operators. */
	getStatus(): EntryVmStatus {
		return getEntryVmStatus(this.#components);
	}

	/** Stops gracefully: refuses new work, waits for the jobs in progress, hands the records over and closes everything. */
	async close(): Promise<void> {
		this.#closing ??= this.#closeGracefully();
		await this.#closing;
	}

	/** Closes everything immediately without a hand-over, like a crash of the process. */
	async abort(): Promise<void> {
		this.#components.state.isStopping = true;
		const {mesh, scheduler, upstreamClient, runner} = this.#components;
		await Promise.all([mesh.close(), scheduler.close(), this.#callerListener.abort(), this.#operatorListener.abort()]);
		await upstreamClient.abort();
		// All callers are disconnected by now; this stops the jobs' timers.
		await runner.abortJobs('the entry VM ended');
		await this.#closeResources();
	}

	async #closeGracefully(): Promise<void> {
		const {clock, random, events, self, coordinator, directory, runner, mesh, scheduler, upstreamClient} = this.#components;
		const {log, drainMs, stopTimeoutMs} = this.#options;
		this.#components.state.isStopping = true;
		scheduler.handleStopping();
		log?.info({incarnation: self.id}, 'stopping');
		await stopGracefully({
			clock, random, log, events, self, coordinator, directory, runner, peers: mesh, callerListener: this.#callerListener,
			drainMs: drainMs ?? defaultDrainMs,
			stopTimeoutMs: stopTimeoutMs ?? defaultStopTimeoutMs,
		});
		// All jobs have ended; requests to upstreams that are still running belong to jobs ended by the time limit.
		await upstreamClient.abort();
		await scheduler.close();
		await mesh.close();
		await this.#operatorListener.abort();
		await this.#closeResources();
	}

	async #closeResources(): Promise<void> {
		for (const subscription of this.#subscriptions) {
			subscription.unsubscribe();
		}

		for (const store of Object.values(this.#options.tls ?? {})) {
			store?.close();
		}

		this.#components.metrics.close();
		this.#components.callerMemory.close();
		this.#components.coordinator.close();
		this.#components.configuration.close();
		this.#components.vmList.close();
		await this.#options.platform.close();
	}
}

/**
 * Gets whether an entry VM accepts new work: it has a configuration and is not stopping.
 * @param components - State and configuration of the entry VM.
 */
export function isEntryVmReady({state, configuration}: Pick<EntryVmComponents, 'state' | 'configuration'>): boolean {
	return !state.isStopping && configuration.getConfiguration().version > 0;
}
