/**
 * The platform's balancer in a soak of processes: new connections go to VMs that say that they are ready.
 */
import {request} from 'undici';
import {type Random} from '../../src/seams/index.js';
import {type VmProcess} from './vm-process.js';

/** Time between two questions whether a VM is ready, in milliseconds. */
const checkMs = 1000;
const missesUntilOut = 2;

/** Asks until `close`. */
export class Balancer {
	readonly #vms: readonly VmProcess[];
	readonly #misses = new Map<VmProcess, number>();
	readonly #timer: NodeJS.Timeout;

	constructor(vms: readonly VmProcess[]) {
		this.#vms = vms;
		this.#timer = setInterval(() => {
			for (const vm of vms) {
				void this.#check(vm);
			}
		}, checkMs);
	}

	/** Gets whether all VMs take new connections. */
	areAllReady(): boolean {
		return this.#vms.every(vm => this.#misses.get(vm) === 0);
	}

	/**
	 * Gets a VM for a new connection: one of the data centre; all of them where fewer than half are ready, all VMs where none is.
	 * @param dataCenter - Data centre of the caller.
	 * @param random - Source of the choice.
	 */
	chooseVm(dataCenter: string, random: Random): VmProcess {
		const near = this.#vms.filter(vm => vm.getDataCenter() === dataCenter);
		const ready = near.filter(vm => (this.#misses.get(vm) ?? missesUntilOut) < missesUntilOut);
		const far = this.#vms.filter(vm => (this.#misses.get(vm) ?? missesUntilOut) < missesUntilOut);
		const chosen = [ready.length * 2 >= near.length ? ready : near, ready.length === 0 && far.length > 0 ? far : []].findLast(vms => vms.length > 0)!;
		return chosen[Math.floor(random.getFloat() * chosen.length)]!;
	}

	/** Ends the questions. */
	close(): void {
		clearInterval(this.#timer);
	}

	async #check(vm: VmProcess): Promise<void> {
		const isReady = await isVmReady(vm);
		this.#misses.set(vm, isReady ? 0 : (this.#misses.get(vm) ?? missesUntilOut) + 1);
	}
}

async function isVmReady(vm: VmProcess): Promise<boolean> {
	try {
		const res = await request(vm.getReadinessUrl(), {signal: AbortSignal.timeout(checkMs)});
		await res.body.dump();
		return res.statusCode === 200;
	} catch {
		return false;
	}
}
