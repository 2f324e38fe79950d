/**
 * Causes the faults of a run in a local cluster, and writes those into the record that matter to the promises.
 */
import {type LocalCluster, type LocalUpstream} from '../../src/lab/index.js';
import {type EntryVm} from '../../src/process/index.js';
import {type Clock, sleep} from '../../src/seams/index.js';
import {
	type History, type PeerFaults, type PlatformFaults, type UpstreamFaults,
} from '../../src/testing/index.js';
import {type Fault, type FaultKind} from './fault-schedule.js';

/** What the faults act on. */
export type FaultInjectorOptions = {
	readonly clock: Clock;
	readonly cluster: LocalCluster;
	readonly history: History;
	readonly peerFaults: PeerFaults;
	/** Adds an entry VM in place of one that ended. */
	readonly addEntryVm: (dataCenter: string) => Promise<unknown>;
	/** Takes an entry VM out of the balancer. */
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

/** Time in which entry VMs must have found each other after a cut or a pause, in milliseconds. */
const recoveryMs = 2000;

/** Time after which the balancer takes notice of an entry VM that died, in milliseconds. */
const balancerLagMs = 50;

/** Causes faults, and ends each after its time. */
export class FaultInjector {
	readonly #targets: FaultInjectorOptions;
	#version = 1;

	constructor(targets: FaultInjectorOptions) {
		this.#targets = targets;
	}

	/**
	 * Causes a fault and waits until it has ended.
	 * @param fault - Fault to cause.
	 */
	async injectFault(fault: Fault): Promise<void> {
		const {kind, lengthMs, target} = fault;
		if (Object.hasOwn(storeFaults, kind)) {
			await this.#disturbStore(storeFaults[kind as StoreFaultKind], lengthMs);
		} else if (Object.hasOwn(upstreamFaults, kind)) {
			await this.#disturbUpstream(upstreamFaults[kind as UpstreamFaultKind], lengthMs, target);
		} else {
			await this.#runOther(fault);
		}
	}

	async #runOther({kind, lengthMs, target}: Fault): Promise<void> {
		// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check -- the other kinds were taken before.
		switch (kind) {
			case 'kill': {
				return this.#kill(target);
			}

			case 'planned-stop': {
				return this.#stop(target);
			}

			case 'cut': {
				return this.#cut(lengthMs);
			}

			case 'silent-peer-connections': {
				this.#targets.peerFaults.silence();
				return;
			}

			case 'silent-upstream-connections': {
				this.#getUpstream(target).standIn.silenceConnections();
				return;
			}

			case 'pause': {
				this.#pause(lengthMs);
				return;
			}

			case 'upstream-leaving': {
				return this.#leave(target);
			}

			case 'new-version': {
				this.#version++;
				this.#targets.cluster.setConfiguration(this.#version);
				return;
			}

			case 'cancel-wave': {
				return this.#targets.cancelAll();
			}

			default: {
				throw new Error(`no such fault: ${kind}`);
			}
		}
	}

	async #kill(target: number): Promise<void> {
		const {addEntryVm, clock, cluster, removeFromBalancer} = this.#targets;
		const entryVm = this.#getEntryVm(target);
		if (entryVm === undefined) {
			return;
		}

		this.#addDisruption(entryVm, 'killed');
		await cluster.abortEntryVm(entryVm);
		await sleep(clock, balancerLagMs);
		removeFromBalancer(entryVm);
		await addEntryVm(entryVm.getIncarnation().dataCenter);
	}

	async #stop(target: number): Promise<void> {
		const {addEntryVm, clock, cluster, history, removeFromBalancer} = this.#targets;
		const entryVm = this.#getEntryVm(target);
		if (entryVm === undefined) {
			return;
		}

		const {dataCenter, vm} = entryVm.getIncarnation();
		await addEntryVm(dataCenter);
		history.addRecord({kind: 'stop-began', time: clock.getMonotonicTime(), vm});
		const stopped = cluster.removeEntryVm(entryVm);
		await sleep(clock, balancerLagMs);
		removeFromBalancer(entryVm);
		await stopped;
		history.addRecord({kind: 'stop-ended', time: clock.getMonotonicTime(), vm});
	}

	async #cut(lengthMs: number): Promise<void> {
		const {clock, cluster, peerFaults} = this.#targets;
		const places = new Map(cluster.getEntryVms().map(entryVm => {
			const {dataCenter, vm} = entryVm.getIncarnation();
			return [vm, dataCenter];
		}));
		const entryVms = [...cluster.getEntryVms()];
		const time = clock.getMonotonicTime();
		peerFaults.partition((from, to) => places.get(from) !== places.get(to));
		await sleep(clock, lengthMs);
		peerFaults.heal();
		this.#addPassingDisruption(entryVms, time, 'cut off');
	}

	/** Stops the whole process, as when its VM is paused. */
	#pause(lengthMs: number): void {
		const time = this.#targets.clock.getMonotonicTime();
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, lengthMs);
		this.#addPassingDisruption(this.#targets.cluster.getEntryVms(), time, 'paused');
	}

	async #leave(target: number): Promise<void> {
		const {clock, cluster, history} = this.#targets;
		const {listed, standIn} = this.#getUpstream(target);
		await standIn.setFaults({leaving: true});
		history.addRecord({
			kind: 'leaving', time: clock.getMonotonicTime(), upstream: listed.name, isLeaving: true,
		});
		cluster.platform.addVm({...listed, state: 'leaving'});
	}

	async #disturbStore(faults: PlatformFaults, lengthMs: number): Promise<void> {
		const {clock, cluster} = this.#targets;
		await cluster.platform.setFault(faults);
		await sleep(clock, lengthMs);
		await cluster.platform.setFault();
	}

	async #disturbUpstream(faults: Partial<UpstreamFaults>, lengthMs: number, target: number): Promise<void> {
		const {standIn} = this.#getUpstream(target);
		await standIn.setFaults(faults);
		await sleep(this.#targets.clock, lengthMs);
		await standIn.setFaults({mode: 'none', refuse: false, slowFactor: 1});
	}

	/** Gets an entry VM whose end leaves another one in its data centre. */
	#getEntryVm(target: number): EntryVm | undefined {
		const entryVms = this.#targets.cluster.getEntryVms();
		const entryVm = entryVms[target % entryVms.length];
		const {dataCenter} = entryVm?.getIncarnation() ?? {};
		const neighbours = entryVms.filter(other => other.getIncarnation().dataCenter === dataCenter);
		return neighbours.length > 1 ? entryVm : undefined;
	}

	#getUpstream(target: number): LocalUpstream {
		const upstreams = this.#targets.cluster.getUpstreams();
		return upstreams[target % upstreams.length]!;
	}

	#addPassingDisruption(entryVms: readonly EntryVm[], time: number, detail: string): void {
		const {clock, history} = this.#targets;
		const until = clock.getMonotonicTime() + recoveryMs;
		for (const entryVm of entryVms) {
			history.addRecord({
				kind: 'disruption', time, until, vm: entryVm.getIncarnation().vm, detail,
			});
		}
	}

	#addDisruption(entryVm: EntryVm, detail: string): void {
		const {clock, history} = this.#targets;
		history.addRecord({
			kind: 'disruption', time: clock.getMonotonicTime(), vm: entryVm.getIncarnation().vm, detail,
		});
	}
}
