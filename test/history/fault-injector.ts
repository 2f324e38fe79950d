/**
 * Injects the faults of a run into a local cluster, and adds those to the history that the guarantees depend on.
 */
import {type LocalCluster, type LocalUpstream} from '../../src/lab/index.js';
import {type EntryVm} from '../../src/process/index.js';
import {type Clock, sleep} from '../../src/seams/index.js';
import {
	type History, type PeerFaults, type PlatformFaults, type UpstreamFaults,
} from '../../src/testing/index.js';
import {type Fault, type FaultKind} from './fault-schedule.js';

/** Options of {@link FaultInjector}. */
export type FaultInjectorOptions = {
	readonly clock: Clock;
	readonly cluster: LocalCluster;
	readonly history: History;
	readonly peerFaults: PeerFaults;
	/** Adds an entry VM in place of one that ended. */
	readonly addEntryVm: (dataCenter: string) => Promise<unknown>;
	/** Removes an entry VM from the balancer. */
	readonly removeFromBalancer: (entryVm: EntryVm) => void;
	readonly cancelAll: () => Promise<void>;
};

type StoreFaultKind = Extract<FaultKind, `store-${string}`>;

type UpstreamFaultKind = 'upstream-black-hole' | 'upstream-break-off' | 'upstream-refuse' | 'upstream-silent' | 'upstream-slow' | 'upstream-unavailable';

const storeFaults: Readonly<Record<StoreFaultKind, PlatformFaults>> = {
	'store-down': {isDown: true},
	'store-slow': {delayMs: 150},
	'store-lossy': {losesAnswers: true},
	'store-stale': {staleRevisions: 3},
	'store-silent': {isSilent: true},
};

const upstreamFaults: Readonly<Record<UpstreamFaultKind, Partial<UpstreamFaults>>> = {
	'upstream-black-hole': {mode: 'fail'},
	'upstream-break-off': {mode: 'break-off'},
	'upstream-unavailable': {mode: 'unavailable'},
	'upstream-silent': {mode: 'silent'},
	'upstream-refuse': {refuse: true},
	'upstream-slow': {slowFactor: 8},
};

/** Time within which entry VMs must have reconnected after a partition or a pause, in milliseconds. */
const maxRecoveryMs = 2000;

/** Time after which the balancer detects that an entry VM crashed or stopped, in milliseconds. */
const balancerDelayMs = 50;

/** Injects faults and ends each after its duration. */
export class FaultInjector {
	readonly #options: FaultInjectorOptions;
	#version = 1;

	constructor(options: FaultInjectorOptions) {
		this.#options = options;
	}

	/**
	 * Injects a fault and waits until it has ended.
	 * @param fault - Fault to inject.
	 */
	async injectFault(fault: Fault): Promise<void> {
		const {kind, durationMs, target} = fault;
		if (Object.hasOwn(storeFaults, kind)) {
			await this.#injectStoreFault(storeFaults[kind as StoreFaultKind], durationMs);
		} else if (Object.hasOwn(upstreamFaults, kind)) {
			await this.#injectUpstreamFault(upstreamFaults[kind as UpstreamFaultKind], durationMs, target);
		} else {
			await this.#injectOtherFault(fault);
		}
	}

	async #injectOtherFault({kind, durationMs, target}: Fault): Promise<void> {
		// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check -- injectFault handles the other kinds.
		switch (kind) {
			case 'kill': {
				return this.#kill(target);
			}

			case 'planned-stop': {
				return this.#stop(target);
			}

			case 'cut': {
				return this.#partitionDataCenters(durationMs);
			}

			case 'silent-peer-connections': {
				this.#options.peerFaults.silence();
				return;
			}

			case 'silent-upstream-connections': {
				this.#getUpstream(target).standIn.silenceConnections();
				return;
			}

			case 'pause': {
				this.#pause(durationMs);
				return;
			}

			case 'upstream-leaving': {
				return this.#markLeaving(target);
			}

			case 'new-version': {
				this.#version++;
				this.#options.cluster.setConfiguration(this.#version);
				return;
			}

			case 'cancel-wave': {
				return this.#options.cancelAll();
			}

			default: {
				throw new Error(`unknown fault kind: ${kind}`);
			}
		}
	}

	async #kill(target: number): Promise<void> {
		const {addEntryVm, clock, cluster, removeFromBalancer} = this.#options;
		const entryVm = this.#getEntryVm(target);
		if (entryVm === undefined) {
			return;
		}

		this.#addDisruption(entryVm, 'killed');
		await cluster.abortEntryVm(entryVm);
		await sleep(clock, balancerDelayMs);
		removeFromBalancer(entryVm);
		await addEntryVm(entryVm.getIncarnation().dataCenter);
	}

	async #stop(target: number): Promise<void> {
		const {addEntryVm, clock, cluster, history, removeFromBalancer} = this.#options;
		const entryVm = this.#getEntryVm(target);
		if (entryVm === undefined) {
			return;
		}

		const {dataCenter, vm} = entryVm.getIncarnation();
		await addEntryVm(dataCenter);
		history.addRecord({kind: 'stop-began', time: clock.getMonotonicTime(), vm});
		const stopped = cluster.removeEntryVm(entryVm);
		await sleep(clock, balancerDelayMs);
		removeFromBalancer(entryVm);
		await stopped;
		history.addRecord({kind: 'stop-ended', time: clock.getMonotonicTime(), vm});
	}

	async #partitionDataCenters(durationMs: number): Promise<void> {
		const {clock, cluster, peerFaults} = this.#options;
		const dataCenters = new Map(cluster.getEntryVms().map(entryVm => {
			const {dataCenter, vm} = entryVm.getIncarnation();
			return [vm, dataCenter];
		}));
		const entryVms = [...cluster.getEntryVms()];
		const time = clock.getMonotonicTime();
		peerFaults.partition((from, to) => dataCenters.get(from) !== dataCenters.get(to));
		await sleep(clock, durationMs);
		peerFaults.heal();
		this.#addTemporaryDisruption(entryVms, time, 'cut off');
	}

	/** Blocks the whole process, as when its VM is paused. */
	#pause(durationMs: number): void {
		const time = this.#options.clock.getMonotonicTime();
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
		this.#addTemporaryDisruption(this.#options.cluster.getEntryVms(), time, 'paused');
	}

	async #markLeaving(target: number): Promise<void> {
		const {clock, cluster, history} = this.#options;
		const {listed, standIn} = this.#getUpstream(target);
		await standIn.setFaults({leaving: true});
		history.addRecord({
			kind: 'leaving', time: clock.getMonotonicTime(), upstream: listed.name, isLeaving: true,
		});
		cluster.platform.addVm({...listed, state: 'leaving'});
	}

	async #injectStoreFault(faults: PlatformFaults, durationMs: number): Promise<void> {
		const {clock, cluster} = this.#options;
		await cluster.platform.setFault(faults);
		await sleep(clock, durationMs);
		await cluster.platform.setFault();
	}

	async #injectUpstreamFault(faults: Partial<UpstreamFaults>, durationMs: number, target: number): Promise<void> {
		const {standIn} = this.#getUpstream(target);
		await standIn.setFaults(faults);
		await sleep(this.#options.clock, durationMs);
		await standIn.setFaults({mode: 'none', refuse: false, slowFactor: 1});
	}

	/** Gets an entry VM, or `undefined` when it is the last one of its data centre. */
	#getEntryVm(target: number): EntryVm | undefined {
		const entryVms = this.#options.cluster.getEntryVms();
		const entryVm = entryVms[target % entryVms.length];
		const {dataCenter} = entryVm?.getIncarnation() ?? {};
		const sameDataCenterVms = entryVms.filter(other => other.getIncarnation().dataCenter === dataCenter);
		return sameDataCenterVms.length > 1 ? entryVm : undefined;
	}

	#getUpstream(target: number): LocalUpstream {
		const upstreams = this.#options.cluster.getUpstreams();
		return upstreams[target % upstreams.length]!;
	}

	#addTemporaryDisruption(entryVms: readonly EntryVm[], time: number, detail: string): void {
		const {clock, history} = this.#options;
		const until = clock.getMonotonicTime() + maxRecoveryMs;
		for (const entryVm of entryVms) {
			history.addRecord({
				kind: 'disruption', time, until, vm: entryVm.getIncarnation().vm, detail,
			});
		}
	}

	#addDisruption(entryVm: EntryVm, detail: string): void {
		const {clock, history} = this.#options;
		history.addRecord({
			kind: 'disruption', time: clock.getMonotonicTime(), vm: entryVm.getIncarnation().vm, detail,
		});
	}
}
