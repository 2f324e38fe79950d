/**
 * A fleet of entry VMs in several data centres on a manual clock, with faults by a schedule.
 */
import {getPoolNames, getPoolOfUpstream, type UpstreamDescription} from '../pool/index.js';
import {createSeededRandom, type Random} from '../seams/index.js';
import {FleetCallers} from './fleet-callers.js';
import {type FleetFault} from './fleet-faults.js';
import {type FleetLine, type FleetStore, FleetVm} from './fleet-vm.js';
import {ManualClock} from './manual-clock.js';
import {type SimulatedFaults, SimulatedUpstreams} from './simulated-upstreams.js';
import {SimulatedVms} from './simulated-vms.js';

/** An upstream's entry in the store. */
type Entry = {description: UpstreamDescription; listedAt: number; unlistedAt: number; isDown: boolean};

/** Options of {@link PoolFleet}. */
export type PoolFleetOptions = {
	readonly seed: number;
	readonly faults: readonly FleetFault[];
	/** Time at which callers stop coming, in milliseconds. */
	readonly callersUntilMs?: number;
	/** Time at which the run ends, in milliseconds. */
	readonly untilMs?: number;
};

/** Time from which callers come, in milliseconds: the first owners are in office. */
const callersFromMs = 1500;
const defaultCallersUntilMs = 12_000;
const defaultUntilMs = 17_000;

/** Thousandths of a core of an upstream: room for two tasks. */
const upstreamCpu = 16_000;

/** Core-milliseconds a second that callers bring for each upstream: some more than what it can do, in the mean. */
const meanTasks = 4.5;
const meanDurationMs = 387;
const leastLoad = 0.5;
const loadRange = 0.6;

/** Ways between VMs of one data centre and of two, in milliseconds. */
const nearMs = 0.4;
const farMs = 1.5;

/** Time after a crash until the entry of an upstream is gone, and longest time until a VM reads a new entry, in milliseconds. */
const entryMs = 3000;
const skewMs = 30;

/** Time that a stop of a run takes, in milliseconds, and the speed of the upstreams' clocks. */
const stopMs = 20;
const clockRate = 0.985;

/** Least and most time by which an order is late, in milliseconds, and the share of orders that are. */
const leastLateMs = 100;
const lateRangeMs = 2900;
const lateShare = 0.4;

/** Most lateness of what a starved VM does: least, and range, in milliseconds. */
const leastStarvedMs = 60;
const starvedRangeMs = 340;

/** Share of orders sent into a cut that are carried out once it has healed. */
const heldShare = 0.3;

function hasBit(salt: number, position: number): boolean {
	return Math.floor(salt / (2 ** (position % 24))) % 2 === 1;
}

function getCenter(name: string): string {
	return name.slice(0, name.indexOf('-'));
}

/** Runs a fleet. */
export class PoolFleet {
	readonly clock = new ManualClock();
	readonly lines: FleetLine[] = [];
	readonly upstreams: SimulatedUpstreams;
	readonly callers: FleetCallers;
	readonly poolCounts = new Map<string, number>();
	readonly #options: PoolFleetOptions;
	readonly #random: Random;
	readonly #network: SimulatedVms;
	readonly #registered: Array<{readonly name: string; readonly dataCenter: string}> = [];
	readonly #vms = new Map<string, FleetVm>();
	readonly #startedAt = new Map<string, number>();
	readonly #entries: Entry[] = [];
	readonly #upstreamFaults: SimulatedFaults[] = [];
	readonly #works = new Map<string, number>();
	readonly #store: FleetStore = {revision: 1000, claims: new Map(), getState: vm => this.#getStoreState(vm)};
	/** Faults of the store and of the lists that go on. */
	readonly #active = new Set<FleetFault>();
	#incarnations = 0;

	constructor(options: PoolFleetOptions) {
		this.#options = options;
		const {clock} = this;
		// The make-up of the fleet and the callers do not depend on the faults.
		const random = createSeededRandom(options.seed);
		this.#random = createSeededRandom(options.seed + 1);
		this.upstreams = new SimulatedUpstreams({
			clock, travelMs: 0, stopMs, clockRate,
			getWork: task => ({needs: {cpu: upstreamCpu / 2, memoryMb: 64, accelerators: 0}, durationMs: this.#works.get(task.slice(0, task.indexOf('.')))!}),
		});
		this.#network = new SimulatedVms({
			clock, random: this.#random, getWayMs: (from, to) => (getCenter(from) === getCenter(to) ? nearMs : farMs) * (0.5 + this.#random.getFloat()),
		});
		this.callers = new FleetCallers({
			clock,
			random: createSeededRandom(options.seed + 2),
			getVms: () => this.#vms,
			addWork: (job, durationMs) => {
				this.#works.set(job, durationMs);
			},
		});
		this.#build(random);
	}

	/** Runs to the end. */
	async run(): Promise<void> {
		const {faults, seed, callersUntilMs = defaultCallersUntilMs, untilMs = defaultUntilMs} = this.#options;
		for (const fault of faults) {
			this.clock.setTimer(() => {
				this.#begin(fault);
			}, fault.atMs);
		}

		const random = createSeededRandom(seed + 3);
		const slots = this.#entries.length * 2;
		const perSecond = slots * 1000 / meanDurationMs / meanTasks * (leastLoad + (random.getFloat() * loadRange));
		for (let at = callersFromMs; at < callersUntilMs; at += -Math.log(1 - random.getFloat()) * 1000 / perSecond) {
			this.clock.setTimer(() => {
				void this.callers.call();
			}, at);
		}

		await this.clock.advance(untilMs);
	}

	#build(random: Random): void {
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
		this.#entries.push({
			description, listedAt, unlistedAt: Infinity, isDown: false,
		});
		this.#upstreamFaults.push(this.upstreams.addUpstream(description));
	}

	#startVm(name: string): void {
		this.#incarnations++;
		this.#startedAt.set(name, this.clock.getMonotonicTime());
		this.#vms.set(name, new FleetVm({
			clock: this.clock,
			seed: (this.#options.seed * 1000) + this.#incarnations,
			self: {dataCenter: getCenter(name), vm: name, id: `${name}-${this.#incarnations}`},
			network: this.#network,
			upstreams: this.upstreams,
			store: this.#store,
			vms: this.#registered,
			poolCounts: this.poolCounts,
			getUpstreams: pool => this.#getUpstreams(name, pool),
			addLine: line => {
				this.lines.push(line);
			},
			isHeldOrder: () => this.#random.getFloat() < heldShare,
		}));
	}

	#getUpstreams(vm: string, pool: string): readonly UpstreamDescription[] {
		const now = this.clock.getMonotonicTime();
		const names = [...this.poolCounts].flatMap(([dataCenter, count]) => getPoolNames(dataCenter, count));
		const vmIndex = this.#registered.findIndex(({name}) => name === vm);
		return this.#entries.filter(({description: {id, dataCenter}, listedAt, unlistedAt}, index) => {
			const pools = names.filter(name => name === dataCenter || name.startsWith(`${dataCenter}#`));
			return getPoolOfUpstream(id, pools) === pool
				&& now >= (listedAt === 0 ? 0 : listedAt + (skewMs * vmIndex / this.#registered.length))
				&& now < unlistedAt && !this.#isHidden(vm, vmIndex, index);
		}).map(({description}) => description);
	}

	/** Entries lapse while the store is away; the VMs that start then read a list without them, or all do. */
	#isHidden(vm: string, vmIndex: number, entryIndex: number): boolean {
		return [...this.#active].some(({kind, atMs, salt, strength}) => {
			const isVmHit = strength < 0.5 ? this.#startedAt.get(vm)! >= atMs : (strength > 0.8 || hasBit(salt, vmIndex));
			return kind === 'unlisted' && isVmHit && hasBit(salt, entryIndex + 9);
		});
	}

	#getStoreState(vm: string): ReturnType<FleetStore['getState']> {
		const vmIndex = this.#registered.findIndex(({name}) => name === vm);
		for (const {kind, salt, strength} of this.#active) {
			const isHit = strength < 0.5 || hasBit(salt, vmIndex);
			if (isHit && (kind === 'store-away' || kind === 'store-lost')) {
				return kind === 'store-away' ? 'away' : 'lost';
			}
		}

		return 'there';
	}

	#begin(fault: FleetFault): void {
		const {kind, durationMs, target, strength} = fault;
		const vmName = this.#registered[target % this.#registered.length]!.name;
		const vm = this.#vms.get(vmName);
		const end = (act: () => void): void => {
			this.clock.setTimer(act, durationMs);
		};

		const setActive = (): void => {
			this.#active.add(fault);
			end(() => {
				this.#active.delete(fault);
			});
		};

		const freeze = (): void => {
			vm?.process.freeze(kind === 'suspend');
			end(() => {
				vm?.process.unfreeze();
			});
		};

		const cut = (): void => {
			end(this.#network.addCut(this.#createCut(fault, vmName)));
		};

		const disturb = (): void => {
			this.#disturbUpstreams(fault, end);
		};

		const acts: Readonly<Record<FleetFault['kind'], () => void>> = {
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
				vm?.process.starve(leastStarvedMs + (strength * starvedRangeMs));
				end(() => {
					vm?.process.starve(0);
				});
			},
			cut,
			'cut-one-way': cut,
			'cut-center': cut,
			reset: () => {
				this.#network.reset(this.#createHit(fault, vmName));
			},
			silence: () => {
				this.#network.silence(this.#createHit(fault, vmName));
			},
			unlisted: setActive,
			'store-away': setActive,
			'store-lost': setActive,
			'new-upstream': () => {
				this.#addUpstream(getCenter(vmName), this.#entries.length, this.clock.getMonotonicTime());
			},
			crash: () => {
				this.#crash(target % this.#entries.length, durationMs);
			},
			'crash-for-good': () => {
				this.#crash(target % this.#entries.length, Infinity);
			},
			late: disturb,
			mute: disturb,
			slow: disturb,
			hang: disturb,
			fail: disturb,
		};
		acts[kind]();
	}

	#kill(name: string, vm: FleetVm | undefined, isPower: boolean, downMs: number): void {
		if (vm !== undefined) {
			this.#network.kill(name, isPower);
			this.#handleEnded(name, vm, !isPower, downMs);
		}
	}

	async #stop(name: string, vm: FleetVm | undefined, downMs: number): Promise<void> {
		if (vm?.isStopping === false) {
			await vm.leave();
			if (this.#vms.get(name) === vm) {
				this.#handleEnded(name, vm, true, downMs);
			}
		}
	}

	/** Hits the connections of a VM to all others or to one, in one direction or both. */
	#createHit({salt, strength}: FleetFault, vm: string): (from: string, to: string) => boolean {
		const peer = this.#registered[salt % this.#registered.length]!.name;
		const isHit = (from: string, to: string): boolean => from === vm && (strength < 0.5 || to === peer);
		return (from, to) => isHit(from, to) || (hasBit(salt, 20) && isHit(to, from));
	}

	#handleEnded(name: string, vm: FleetVm, isNoticed: boolean, downMs: number): void {
		this.#vms.delete(name);
		if (isNoticed) {
			this.callers.handleEnded(vm);
		}

		this.clock.setTimer(() => {
			this.#startVm(name);
		}, downMs);
	}

	#createCut({kind, salt, strength}: FleetFault, vm: string): (from: string, to: string) => boolean {
		const isWithUpstreams = hasBit(salt, 20);
		const names = this.#registered.map(({name}) => name);
		const isUpstream = (name: string): boolean => !names.includes(name);
		const isIn = (name: string): boolean => kind === 'cut-center' ? getCenter(name) === getCenter(vm) : name === vm;
		const isOther = (name: string): boolean => !isIn(name)
			&& (isUpstream(name) ? isWithUpstreams : kind === 'cut-center' || strength < 0.5 || hasBit(salt, names.indexOf(name)));
		return (from, to) => {
			// A data centre that is cut off keeps its own upstreams; these are out of reach of the others only if they are cut off too.
			const isFromIn = isIn(from) && (!isUpstream(from) || isWithUpstreams);
			const isToIn = isIn(to) && (!isUpstream(to) || isWithUpstreams);
			return (isFromIn && isOther(to)) || (kind !== 'cut-one-way' && isToIn && isOther(from));
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
		entry.unlistedAt = Math.min(entry.unlistedAt, this.clock.getMonotonicTime() + entryMs);
		if (downMs < Infinity) {
			this.clock.setTimer(() => {
				entry.description = {...entry.description, bornMs: entry.description.bornMs + 1};
				entry.unlistedAt = Infinity;
				entry.isDown = false;
				this.upstreams.addUpstream(entry.description);
			}, downMs);
		}
	}

	#disturbUpstreams({kind, salt, strength, target}: FleetFault, end: (act: () => void) => void): void {
		const isAll = strength > 0.7;
		const hit = this.#upstreamFaults.filter((_, index) => index === target % this.#upstreamFaults.length || (isAll && hasBit(salt, index)));
		for (const faults of hit) {
			const before = {...faults};
			faults.isMute ||= kind === 'mute';
			faults.isHanging ||= kind === 'hang';
			faults.isFailing ||= kind === 'fail';
			faults.slowness = kind === 'slow' ? 2 + (strength * 8) : faults.slowness;
			faults.getLateMs = kind === 'late' ? () => this.#random.getFloat() < lateShare ? leastLateMs + (this.#random.getFloat() * lateRangeMs) : 0 : faults.getLateMs;
			end(() => {
				Object.assign(faults, {
					...before, getLateMs: before.getLateMs,
				});
			});
		}
	}
}
