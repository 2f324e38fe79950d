/**
 * A simulated fleet of entry VMs in several data centres on a manual clock, with scheduled faults.
 */
import {type InputProgress, type PeerRequest, type SenderConfirmation} from '../connection/index.js';
import {
	getPoolNames, getPoolOfUpstream, type TaskNeeds, type UpstreamDescription, type UpstreamOrders,
} from '../pool/index.js';
import {type SchedulingOptions} from '../scheduling/index.js';
import {type Clock, createSeededRandom, type Random} from '../seams/index.js';
import {FleetCallers} from './fleet-callers.js';
import {type FleetEvacuation, type ListedCapacity, type SentOrder} from './fleet-checks.js';
import {type FleetFault, type FleetFaultKind} from './fleet-faults.js';
import {type FleetLogLine, type FleetStore, FleetVm} from './fleet-vm.js';
import {FleetWorkload} from './fleet-workload.js';
import {ManualClock} from './manual-clock.js';
import {type SimulatedUpstreamFaults, SimulatedUpstreams} from './simulated-upstreams.js';
import {SimulatedVmNetwork} from './simulated-vm-network.js';

/** Entry of an upstream in the store. */
type UpstreamEntry = {
	/** Newest instance of the upstream. */
	description: UpstreamDescription;
	/** Capacity that the entry shows; it follows that of the upstream. */
	listedCapacity: TaskNeeds;
	/** What the entry says while it differs from the upstream's own description. */
	overwritten?: UpstreamDescription | 'unreadable';
	listedAt: number;
	unlistedAt: number;
	isDown: boolean;
};

/** Options of {@link PoolFleet}. */
export type PoolFleetOptions = {
	readonly seed: number;
	readonly faults: readonly FleetFault[];
	/** Time at which the last callers arrive, in milliseconds. */
	readonly callersUntilMs?: number;
	/** Time at which the run ends, in milliseconds. */
	readonly untilMs?: number;
	/** Whether some of the callers submit again after no answer; by default, none does. */
	readonly hasResenders?: boolean;
	/** Whether some of the callers leave soon after they submitted a long job; by default, none does. */
	readonly hasLeavers?: boolean;
	/** Switches of the scheduling; all parts are on by default. */
	readonly scheduling?: SchedulingOptions;
	/** Replaces the orders of all owners, for tests of the checks. */
	readonly wrapOrders?: (orders: UpstreamOrders) => UpstreamOrders;
	/** Returns what a VM takes for the listed upstreams, for tests of the checks. */
	readonly wrapUpstreams?: (upstreams: readonly UpstreamDescription[]) => readonly UpstreamDescription[];
	/** Share of callers that wait for long; 0 by default. */
	readonly patientShare?: number;
	/** Replaces the proofs that senders still wait, for tests of the checks. */
	readonly wrapConfirmation?: (confirmation: SenderConfirmation) => SenderConfirmation;
	/** Replaces what VMs receive from each other, for tests of the checks. */
	readonly wrapMessage?: (message: PeerRequest) => PeerRequest;
	/** Replaces what VMs know of their input, for tests of the checks. */
	readonly wrapProgress?: (progress: InputProgress, clock: Clock) => InputProgress;
	/** Replaces what VMs take for the evacuated data centres, for tests of the checks. */
	readonly wrapEvacuated?: (dataCenters: readonly string[]) => readonly string[];
};

/** Far from the offsets of the other sources of random numbers, so that neighbouring seeds share none. */
const resendSeedOffset = 800_000_000;
const leaverSeedOffset = 400_000_000;

/** Time from which callers arrive, in milliseconds: the first owners are active by then. */
const callersFromMs = 1500;
const defaultCallersUntilMs = 12_000;
const defaultUntilMs = 17_000;
const defaultPatientUntilMs = 36_000;

/** Far from the offsets of the other sources of random numbers, so that neighbouring seeds share none. */
const workloadSeedOffset = 700_000_000;
const patienceSeedOffset = 800_000_000;

/** CPU capacity of an upstream in thousandths of a core: enough for two tasks. */
const upstreamCpu = 16_000;

/** Parameters of the arrival rate: relative to the capacity of all upstreams the load is between 0.5 and 1.1, so that some runs are overloaded. */
const meanTasksPerJob = 4.5;
const meanTaskMs = 387;
const minLoad = 0.5;
const loadRange = 0.6;

/** Mean one-way latencies between VMs of one data centre and of different ones, in milliseconds. */
const localLatencyMs = 0.4;
const remoteLatencyMs = 1.5;

/** Times after a crash until the entry of an upstream is removed, and until then if the upstream has another identifier, and maximum time until a VM reads a new entry, in milliseconds. */
const entryTtlMs = 3000;
const replacedEntryTtlMs = 4500;
const maxListDelayMs = 30;

/** Duration of stopping a run, in milliseconds, and rate of the upstreams' clocks. */
const runStopMs = 20;
const upstreamClockRate = 0.985;

/** Minimum and range of the delay of a late order, in milliseconds, and share of late orders. */
const minOrderDelayMs = 100;
const orderDelayRangeMs = 2900;
const delayedOrderShare = 0.4;

/** Shares of answers that are odd or delayed, maximum delay of an answer and of the announcement of a restart, in milliseconds. */
const oddAnswerShare = 0.3;
const delayedAnswerShare = 0.4;
const maxAnswerDelayMs = 400;
const maxAnnouncementDelayMs = 1500;

/** Strengths up to which an overwritten entry is unreadable or has an address without a listener; above, it has another upstream's address. */
const maxUnreadableStrength = 0.25;
const maxNoListenerStrength = 0.6;

/** Maximum delay of timers in a starved VM: its minimum and range over the faults, in milliseconds. */
const minStarvationDelayMs = 60;
const starvationDelayRangeMs = 340;

/** Longest time for which a process is held: its minimum and range over the faults, in milliseconds. */
const minLongestHoldMs = 150;
const longestHoldRangeMs = 700;

/** Time within which all VMs have to know of an evacuation, and the most by which faults may extend it, in milliseconds. */
const evacuateMs = 5000;
const maxStretchMs = 6000;

/** Kinds of faults that keep VMs from the store, from each other or from their work, or orders from upstreams. */
const isolatingKinds: ReadonlySet<FleetFaultKind> = new Set<FleetFaultKind>([
	'store-away', 'store-lost', 'cut', 'cut-one-way', 'cut-center', 'freeze', 'suspend', 'starve', 'held', 'late', 'late-reborn', 'late-grant',
]);

/** Share of orders sent during a network cut that are delivered once it has healed. */
const deliveredAfterCutShare = 0.3;

function hasBit(salt: number, position: number): boolean {
	return Math.floor(salt / (2 ** (position % 24))) % 2 === 1;
}

function getDataCenterOfName(name: string): string {
	return name.slice(0, name.indexOf('-'));
}

/** Simulates a fleet and records its submissions, runs and log lines. */
export class PoolFleet {
	readonly clock = new ManualClock();
	readonly logLines: FleetLogLine[] = [];
	readonly upstreams: SimulatedUpstreams;
	readonly callers: FleetCallers;
	readonly poolCounts = new Map<string, number>();
	readonly workload: FleetWorkload;
	readonly listedCapacities: ListedCapacity[] = [];
	readonly evacuations: FleetEvacuation[] = [];
	readonly #options: PoolFleetOptions;
	readonly #random: Random;
	readonly #network: SimulatedVmNetwork;
	readonly #registered: Array<{readonly name: string; readonly dataCenter: string}> = [];
	readonly #vms = new Map<string, FleetVm>();
	readonly #startedAt = new Map<string, number>();
	readonly #entries: UpstreamEntry[] = [];
	readonly #upstreamFaults: SimulatedUpstreamFaults[] = [];
	readonly #store: FleetStore;
	/** Current faults of the store and of the lists of upstreams. */
	readonly #activeFaults = new Set<FleetFault>();
	/** Sent orders by upstream, fence and process. */
	readonly #sentOrders = new Map<string, SentOrder>();
	#incarnationCount = 0;

	constructor(options: PoolFleetOptions) {
		this.#options = options;
		const {clock} = this;
		this.#store = {
			revision: 1000, claims: new Map(), getState: vm => this.#getStoreState(vm),
			...(options.faults.some(({kind}) => kind === 'evacuate') && {evacuated: new Set()}),
		};
		// The composition of the fleet and the callers must not depend on the faults.
		const random = createSeededRandom(options.seed);
		this.#random = createSeededRandom(options.seed + 1);
		this.workload = new FleetWorkload(createSeededRandom(options.seed + workloadSeedOffset), options.faults);
		this.upstreams = new SimulatedUpstreams({
			clock, oneWayLatencyMs: 0, stopMs: runStopMs, clockRate: upstreamClockRate, isRoutedByAddress: true, isGuarded: this.workload.isGuarded,
			getWork: task => ({...this.workload.getWork(task), needs: {cpu: upstreamCpu / 2, memoryMb: 64, accelerators: 0}}),
			onTaskCrashed: upstream => {
				this.#handleTaskCrashed(upstream);
			},
		});
		this.#network = new SimulatedVmNetwork({
			clock, random: this.#random, getOneWayLatencyMs: (from, to) => (getDataCenterOfName(from) === getDataCenterOfName(to) ? localLatencyMs : remoteLatencyMs) * (0.5 + this.#random.getFloat()),
		});
		const patience = createSeededRandom(options.seed + patienceSeedOffset);
		this.callers = new FleetCallers({
			clock,
			random: createSeededRandom(options.seed + 2),
			resendRandom: options.hasResenders ? createSeededRandom(options.seed + resendSeedOffset) : undefined,
			leaverRandom: options.hasLeavers ? createSeededRandom(options.seed + leaverSeedOffset) : undefined,
			getVms: () => this.#vms,
			isPatient: () => patience.getFloat() < (options.patientShare ?? 0),
			onJobCreated: (job, durationMs) => {
				this.workload.addJob(job, durationMs, [...this.#activeFaults].find(({kind}) => kind === 'deadly'));
			},
		});
		this.#createFleet(random);
	}

	/** Gets the orders that were sent under the fence of an owner, one for each upstream, fence and process. */
	getSentOrders(): readonly SentOrder[] {
		return [...this.#sentOrders.values()];
	}

	/** Runs the simulation to its end. */
	async run(): Promise<void> {
		const {faults, seed, patientShare = 0, callersUntilMs = defaultCallersUntilMs, untilMs = patientShare > 0 ? defaultPatientUntilMs : defaultUntilMs} = this.#options;
		for (const fault of faults) {
			this.clock.setTimer(() => {
				this.#beginFault(fault);
			}, fault.atMs);
		}

		const random = createSeededRandom(seed + 3);
		const slots = this.#entries.length * 2;
		const jobsPerSecond = slots * 1000 / meanTaskMs / meanTasksPerJob * (minLoad + (random.getFloat() * loadRange));
		for (let arrivalMs = callersFromMs; arrivalMs < callersUntilMs; arrivalMs += -Math.log(1 - random.getFloat()) * 1000 / jobsPerSecond) {
			this.clock.setTimer(() => {
				void this.callers.submitJob();
			}, arrivalMs);
		}

		await this.clock.advance(untilMs);
	}

	#createFleet(random: Random): void {
		const dataCenters = Array.from({length: 2 + Math.floor(random.getFloat() * 2)}, (_, index) => `dc${index}`);
		for (const dataCenter of dataCenters) {
			const poolCount = 1 + Math.floor(random.getFloat() * 2);
			this.poolCounts.set(dataCenter, poolCount);
			const vmCount = 2 + Math.floor(random.getFloat() * 3);
			for (let index = 0; index < vmCount; index++) {
				this.#registered.push({name: `${dataCenter}-vm${index}`, dataCenter});
			}

			for (let index = 0; index < poolCount * 3; index++) {
				this.#addUpstream(dataCenter, index, 0);
			}
		}

		for (const {name} of this.#registered) {
			this.clock.setTimer(() => {
				this.#startVm(name);
			}, random.getFloat() * 200);
		}
	}

	#addUpstream(dataCenter: string, index: number, listedAt: number): void {
		const id = `${dataCenter}-u${index}`;
		const description: UpstreamDescription = {
			id, bornMs: 1, address: id, dataCenter, service: 's', rack: 'r', labels: [], isLeaving: false, capacity: {cpu: upstreamCpu, memoryMb: 32_768, accelerators: 0},
		};
		this.#addEntry(description, listedAt);
	}

	#addEntry(description: UpstreamDescription, listedAt: number): void {
		this.#entries.push({
			description, listedCapacity: description.capacity, listedAt, unlistedAt: Infinity, isDown: false,
		});
		this.#upstreamFaults.push(this.upstreams.addUpstream(description));
		this.listedCapacities.push({upstream: description.id, at: listedAt, cpu: description.capacity.cpu});
	}

	#startVm(name: string): void {
		this.#incarnationCount++;
		this.#startedAt.set(name, this.clock.getMonotonicTime());
		this.#vms.set(name, new FleetVm({
			clock: this.clock,
			seed: (this.#options.seed * 1000) + this.#incarnationCount,
			self: {dataCenter: getDataCenterOfName(name), vm: name, id: `${name}-${this.#incarnationCount}`},
			network: this.#network,
			upstreams: this.upstreams,
			store: this.#store,
			vms: this.#registered,
			poolCounts: this.poolCounts,
			getListedUpstreams: pool => this.#getListedUpstreams(name, pool),
			getConnectedVms: () => [...this.#vms].flatMap(([other, vm]) => other === name || this.#network.isCut(other, name) || this.#network.isCut(name, other) ? [] : vm),
			addLogLine: line => {
				this.logLines.push(line);
			},
			onOrderSent: order => {
				// Probes of another pool's upstreams carry no owner's fence.
				if (order.fence > 0) {
					this.#sentOrders.set(`${order.upstream} ${order.fence} ${order.process}`, order);
				}
			},
			isDeliveredAfterCut: () => this.#random.getFloat() < deliveredAfterCutShare,
			wrapOrders: this.#options.wrapOrders,
			scheduling: this.#options.scheduling,
			wrapConfirmation: this.#options.wrapConfirmation,
			wrapMessage: this.#options.wrapMessage,
			wrapProgress: this.#options.wrapProgress,
			wrapEvacuated: this.#options.wrapEvacuated,
		}));
	}

	#getListedUpstreams(vm: string, pool: string): readonly UpstreamDescription[] {
		const {wrapUpstreams = upstreams => upstreams} = this.#options;
		const now = this.clock.getMonotonicTime();
		const names = [...this.poolCounts].flatMap(([dataCenter, count]) => getPoolNames(dataCenter, count));
		const vmIndex = this.#registered.findIndex(({name}) => name === vm);
		return wrapUpstreams(this.#entries.filter(({description: {id, dataCenter}, overwritten, listedAt, unlistedAt}, index) => {
			const pools = names.filter(name => name === dataCenter || name.startsWith(`${dataCenter}#`));
			return getPoolOfUpstream(id, pools) === pool
				&& now >= (listedAt === 0 ? 0 : listedAt + (maxListDelayMs * vmIndex / this.#registered.length))
				&& now < unlistedAt && !this.#isHidden(vm, vmIndex, index) && overwritten !== 'unreadable';
		}).map(({description, listedCapacity, overwritten}) => typeof overwritten === 'object' ? overwritten : {...description, capacity: listedCapacity}));
	}

	/** Entries expire while the store is unavailable; VMs that start during the fault, or a part of all VMs, then read a list without them. */
	#isHidden(vm: string, vmIndex: number, entryIndex: number): boolean {
		return [...this.#activeFaults].some(({kind, atMs, salt, strength}) => {
			const isVmAffected = strength < 0.5 ? this.#startedAt.get(vm)! >= atMs : (strength > 0.8 || hasBit(salt, vmIndex));
			return kind === 'unlisted' && isVmAffected && hasBit(salt, entryIndex + 9);
		});
	}

	#getStoreState(vm: string): ReturnType<FleetStore['getState']> {
		const vmIndex = this.#registered.findIndex(({name}) => name === vm);
		for (const {kind, salt, strength} of this.#activeFaults) {
			const isAffected = strength < 0.5 || hasBit(salt, vmIndex);
			if (isAffected && (kind === 'store-away' || kind === 'store-lost')) {
				return kind === 'store-away' ? 'unavailable' : 'lost';
			}
		}

		return 'available';
	}

	#beginFault(fault: FleetFault): void {
		const {kind, durationMs, target, strength} = fault;
		const vmName = this.#registered[target % this.#registered.length]!.name;
		const vm = this.#vms.get(vmName);
		const endAfterDuration = (action: () => void): void => {
			this.clock.setTimer(action, durationMs);
		};

		const setActive = (): void => {
			this.#activeFaults.add(fault);
			endAfterDuration(() => {
				this.#activeFaults.delete(fault);
			});
		};

		const freeze = (): void => {
			vm?.process.freeze(kind === 'suspend');
			endAfterDuration(() => {
				vm?.process.unfreeze();
			});
		};

		const cut = (): void => {
			endAfterDuration(this.#network.addCut(this.#createCutFilter(fault, vmName)));
		};

		const impair = (): void => {
			this.#impairUpstreams(fault, endAfterDuration);
		};

		const changeAnswers = (): void => {
			this.#changeAnswers(fault, endAfterDuration);
		};

		const actions: Readonly<Record<FleetFault['kind'], () => void>> = {
			kill: () => {
				this.#kill(vmName, vm, false, durationMs);
			},
			power: () => {
				this.#kill(vmName, vm, true, durationMs);
			},
			stop: () => {
				void this.#stop(vmName, vm, durationMs);
			},
			freeze,
			suspend: freeze,
			starve() {
				vm?.process.starve(minStarvationDelayMs + (strength * starvationDelayRangeMs));
				endAfterDuration(() => {
					vm?.process.starve(0);
				});
			},
			held() {
				vm?.process.hold(minLongestHoldMs + (strength * longestHoldRangeMs));
				endAfterDuration(() => {
					vm?.process.hold(0);
				});
			},
			cut,
			'cut-one-way': cut,
			'cut-center': cut,
			reset: () => {
				this.#network.reset(this.#createLinkFilter(fault, vmName));
			},
			silence: () => {
				this.#network.silence(this.#createLinkFilter(fault, vmName));
			},
			unlisted: setActive,
			'store-away': setActive,
			'store-lost': setActive,
			deadly: setActive,
			evacuate: () => {
				this.#evacuate(fault, endAfterDuration);
			},
			capacity: () => {
				this.#shrinkUpstreams(fault, endAfterDuration);
			},
			'new-upstream': () => {
				this.#addUpstream(getDataCenterOfName(vmName), this.#entries.length, this.clock.getMonotonicTime());
			},
			crash: () => {
				this.#crash(target % this.#entries.length, durationMs);
			},
			'crash-for-good': () => {
				this.#crash(target % this.#entries.length, Infinity);
			},
			'entry-overwritten': () => {
				this.#overwriteEntry(fault, endAfterDuration);
			},
			reborn: () => {
				this.#restart(target % this.#entries.length, fault, false);
			},
			'two-lives': () => {
				this.#restart(target % this.#entries.length, fault, true);
			},
			'late-reborn': () => {
				this.#changeAnswers(fault, endAfterDuration);
				this.clock.setTimer(() => {
					this.#restart(target % this.#entries.length, {...fault, durationMs: 0}, false);
				}, durationMs / 2);
			},
			'late-grant': changeAnswers,
			'odd-answer': changeAnswers,
			overtake: changeAnswers,
			'few-ends': changeAnswers,
			late: impair,
			mute: impair,
			slow: impair,
			hang: impair,
			fail: impair,
		};
		actions[kind]();
	}

	/** Evacuates a data centre, unless it is evacuated already. */
	#evacuate({target, atMs, durationMs}: FleetFault, endAfterDuration: (action: () => void) => void): void {
		const dataCenters = [...this.poolCounts.keys()];
		const dataCenter = dataCenters[target % dataCenters.length]!;
		const {evacuated} = this.#store;
		if (evacuated === undefined || evacuated.has(dataCenter)) {
			return;
		}

		this.#store.revision++;
		evacuated.add(dataCenter);
		const until = atMs + durationMs;
		this.evacuations.push({
			dataCenter, from: atMs, until, boundMs: evacuateMs + this.#getStretchMs(atMs, until),
		});
		endAfterDuration(() => {
			this.#store.revision++;
			evacuated.delete(dataCenter);
		});
	}

	/** Gets for how long faults may have kept VMs from hearing of an evacuation, in milliseconds. */
	#getStretchMs(from: number, until: number): number {
		const overlaps = this.#options.faults.filter(({kind}) => isolatingKinds.has(kind)).map(({atMs, durationMs}) => Math.min(until, atMs + durationMs) - Math.max(from, atMs));
		return Math.min(maxStretchMs, overlaps.reduce((sum, overlapMs) => sum + Math.max(0, overlapMs), 0));
	}

	#kill(name: string, vm: FleetVm | undefined, isPowerLoss: boolean, downMs: number): void {
		if (vm !== undefined) {
			this.#network.kill(name, isPowerLoss);
			this.#handleVmEnded(name, vm, !isPowerLoss, downMs);
		}
	}

	async #stop(name: string, vm: FleetVm | undefined, downMs: number): Promise<void> {
		if (vm?.isStopping === false) {
			await vm.leave();
			if (this.#vms.get(name) === vm) {
				this.#handleVmEnded(name, vm, true, downMs);
			}
		}
	}

	/** Selects the connections of a VM to all others or to one, in one direction or both. */
	#createLinkFilter({salt, strength}: FleetFault, vm: string): (from: string, to: string) => boolean {
		const peer = this.#registered[salt % this.#registered.length]!.name;
		const isAffected = (from: string, to: string): boolean => from === vm && (strength < 0.5 || to === peer);
		return (from, to) => isAffected(from, to) || (hasBit(salt, 20) && isAffected(to, from));
	}

	#handleVmEnded(name: string, vm: FleetVm, closesConnections: boolean, downMs: number): void {
		this.#vms.delete(name);
		if (closesConnections) {
			this.callers.handleVmEnded(vm);
		}

		this.clock.setTimer(() => {
			this.#startVm(name);
		}, downMs);
	}

	#createCutFilter({kind, salt, strength}: FleetFault, vm: string): (from: string, to: string) => boolean {
		const includesUpstreams = hasBit(salt, 20);
		const names = this.#registered.map(({name}) => name);
		const isUpstream = (name: string): boolean => !names.includes(name);
		const isInside = (name: string): boolean => kind === 'cut-center' ? getDataCenterOfName(name) === getDataCenterOfName(vm) : name === vm;
		const isOutside = (name: string): boolean => !isInside(name)
			&& (isUpstream(name) ? includesUpstreams : kind === 'cut-center' || strength < 0.5 || hasBit(salt, names.indexOf(name)));
		return (from, to) => {
			// A data centre that is cut off still reaches its own upstreams; they are unreachable for the others only if the cut includes upstreams.
			const isFromInside = isInside(from) && (!isUpstream(from) || includesUpstreams);
			const isToInside = isInside(to) && (!isUpstream(to) || includesUpstreams);
			return (isFromInside && isOutside(to)) || (kind !== 'cut-one-way' && isToInside && isOutside(from));
		};
	}

	#crash(index: number, downMs: number): void {
		const entry = this.#entries[index]!;
		const {id} = entry.description;
		if (entry.isDown) {
			return;
		}

		entry.isDown = true;
		this.upstreams.crash(id);
		entry.unlistedAt = Math.min(entry.unlistedAt, this.clock.getMonotonicTime() + entryTtlMs);
		if (downMs < Infinity) {
			this.clock.setTimer(() => {
				entry.description = {...entry.description, bornMs: entry.description.bornMs + 1};
				entry.unlistedAt = Infinity;
				entry.isDown = false;
				this.upstreams.addUpstream(entry.description);
			}, downMs);
		}
	}

	#impairUpstreams({kind, salt, strength, target}: FleetFault, endAfterDuration: (action: () => void) => void): void {
		const affectsSeveral = strength > 0.7;
		const affected = this.#upstreamFaults.filter((_, index) => index === target % this.#upstreamFaults.length || (affectsSeveral && hasBit(salt, index)));
		for (const faults of affected) {
			const {isMute, isHanging, isFailing, slowness, getLateMs} = faults;
			faults.isMute ||= kind === 'mute';
			faults.isHanging ||= kind === 'hang';
			faults.isFailing ||= kind === 'fail';
			faults.slowness = kind === 'slow' ? 2 + (strength * 8) : faults.slowness;
			faults.getLateMs = kind === 'late' ? () => this.#getOrderDelayMs() : faults.getLateMs;
			endAfterDuration(() => {
				Object.assign(faults, {
					isMute, isHanging, isFailing, slowness, getLateMs,
				});
			});
		}
	}

	/** Gets the random delay of an order; 0 for most. */
	#getOrderDelayMs(): number {
		return this.#random.getFloat() < delayedOrderShare ? minOrderDelayMs + (this.#random.getFloat() * orderDelayRangeMs) : 0;
	}

	/** Changes what upstreams answer, or makes their orders late, for the duration of a fault. */
	#changeAnswers({kind, salt, strength, target}: FleetFault, endAfterDuration: (action: () => void) => void): void {
		const changes: Partial<SimulatedUpstreamFaults> = {
			...(kind === 'odd-answer' && {isAnswerOdd: () => this.#random.getFloat() < oddAnswerShare}),
			...(kind === 'overtake' && {getAnswerDelayMs: () => this.#random.getFloat() < delayedAnswerShare ? this.#random.getFloat() * maxAnswerDelayMs : 0}),
			...(kind === 'few-ends' && {maxListedEnds: 1 + (salt % 3)}),
			...(kind === 'late-reborn' && {getLateMs: () => this.#getOrderDelayMs(), reachesNextInstance: true}),
			...(kind === 'late-grant' && {getLateMs: () => this.#getOrderDelayMs(), grantsLeaseLate: true}),
		};
		const affectsSeveral = strength > 0.7;
		const affected = this.#upstreamFaults.filter((_, index) => index === target % this.#upstreamFaults.length || (affectsSeveral && hasBit(salt, index)));
		for (const faults of affected) {
			Object.assign(faults, changes);
			endAfterDuration(() => {
				for (const name of Object.keys(changes) as Array<keyof typeof changes>) {
					if (faults[name] === changes[name]) {
						Reflect.deleteProperty(faults, name);
					}
				}
			});
		}
	}

	/** Starts an upstream that a task has crashed again: under its identifier, or under another one while its entry stands until it expires. */
	#handleTaskCrashed({id, address}: UpstreamDescription): void {
		const entry = this.#entries.find(({description}) => description.id === id && description.address === address);
		if (entry === undefined) {
			// A former instance that worked on.
			return;
		}

		const {downMs, hasNewId, hasNewAddress} = this.workload.drawRestart();
		const now = this.clock.getMonotonicTime();
		entry.isDown = true;
		entry.unlistedAt = Math.min(entry.unlistedAt, now + (hasNewId ? replacedEntryTtlMs : entryTtlMs));
		this.clock.setTimer(() => {
			const {description} = entry;
			const bornMs = description.bornMs + 1;
			if (hasNewId) {
				const nextId = `${id}.${bornMs}`;
				const capacity = {...description.capacity, cpu: upstreamCpu};
				this.#addEntry({
					...description, id: nextId, bornMs, address: hasNewAddress ? nextId : address, capacity,
				}, this.clock.getMonotonicTime());
				return;
			}

			entry.description = {...description, bornMs};
			entry.unlistedAt = Infinity;
			entry.isDown = false;
			this.upstreams.addUpstream(entry.description);
		}, downMs);
	}

	/** Shrinks the capacity of several upstreams and lets it grow again; their entries follow. */
	#shrinkUpstreams({salt, target}: FleetFault, endAfterDuration: (action: () => void) => void): void {
		const affected = this.#entries.filter((_, index) => index === target % this.#entries.length || hasBit(salt, index));
		for (const entry of affected) {
			this.#setCpu(entry, Math.round(upstreamCpu * this.workload.drawKeptShare()));
			endAfterDuration(() => {
				this.#setCpu(entry, upstreamCpu);
			});
		}
	}

	#setCpu(entry: UpstreamEntry, cpu: number): void {
		const {id, capacity} = entry.description;
		entry.description = this.upstreams.setCapacity(id, {...capacity, cpu});
		this.clock.setTimer(() => {
			entry.listedCapacity = entry.description.capacity;
			this.listedCapacities.push({upstream: id, at: this.clock.getMonotonicTime(), cpu: entry.listedCapacity.cpu});
		}, this.workload.drawEntryDelayMs());
	}

	/** Overwrites the entry of an upstream, which writes it again at the end of the fault. */
	#overwriteEntry({target, salt, strength}: FleetFault, endAfterDuration: (action: () => void) => void): void {
		const entry = this.#entries[target % this.#entries.length]!;
		const other = this.#entries[salt % this.#entries.length]!.description;
		const address = strength < maxNoListenerStrength || other.id === entry.description.id ? `${entry.description.dataCenter}-nowhere` : other.address;
		const overwritten = strength < maxUnreadableStrength
			? 'unreadable'
			: {
				...entry.description, address, bornMs: entry.description.bornMs + (hasBit(salt, 20) ? 1 : -1),
			};
		this.#setOverwritten(entry, overwritten, endAfterDuration);
	}

	#setOverwritten(entry: UpstreamEntry, overwritten: UpstreamDescription | 'unreadable', schedule: (action: () => void) => void): void {
		entry.overwritten = overwritten;
		schedule(() => {
			if (entry.overwritten === overwritten) {
				entry.overwritten = undefined;
			}
		});
	}

	/**
	 * Starts an upstream again under its identifier, at the same or another address, and announces it at once or late. A former instance that works on
	 * does so at its address for the duration of the fault; some of the VMs cannot reach it.
	 */
	#restart(index: number, {kind, salt, strength, durationMs}: FleetFault, doesFormerWorkOn: boolean): void {
		const entry = this.#entries[index]!;
		if (entry.isDown) {
			return;
		}

		const former = entry.description;
		const bornMs = former.bornMs + 1;
		const hasOtherAddress = doesFormerWorkOn || (kind === 'reborn' && hasBit(salt, 21));
		entry.description = {...former, bornMs, address: hasOtherAddress ? `${former.id}@${bornMs}` : former.address};
		if (doesFormerWorkOn) {
			const isCutOff = (vm: string): boolean => strength > 0.7 || hasBit(salt, this.#registered.findIndex(({name}) => name === vm));
			const endCut = this.#network.addCut((from, to) => (to === former.address && isCutOff(from)) || (from === former.address && isCutOff(to)));
			this.clock.setTimer(() => {
				this.upstreams.crashFormer(former.address);
				endCut();
			}, durationMs);
		} else {
			this.upstreams.crash(former.id);
		}

		this.upstreams.addUpstream(entry.description);
		if (hasBit(salt, 22)) {
			this.#setOverwritten(entry, {...former, capacity: entry.listedCapacity}, action => {
				this.clock.setTimer(action, maxAnnouncementDelayMs * strength);
			});
		}
	}
}
