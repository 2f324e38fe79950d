/**
 * Stand-in for the platform's load balancer: routes new connections to VMs whose readiness check passes.
 */
import {request} from 'undici';
import {type Random} from '../../src/seams/index.js';
import {type VmProcess} from './vm-process.js';

/** Time between two readiness checks of a VM, and the timeout of one, in milliseconds. */
const checkIntervalMs = 1000;
/** Consecutive failed checks after which a VM counts as not ready; an unchecked VM does too. */
const failuresUntilUnready = 2;

/** Checks the readiness of all VMs until `close`. */
export class Balancer {
	readonly #vms: readonly VmProcess[];
	readonly #failedChecks = new Map<VmProcess, number>();
	readonly #timer: NodeJS.Timeout;

	constructor(vms: readonly VmProcess[]) {
		this.#vms = vms;
		this.#timer = setInterval(() => {
			for (const vm of vms) {
				void this.#checkVm(vm);
			}
		}, checkIntervalMs);
	}

	/** Gets whether the last check of every VM passed. */
	areAllReady(): boolean {
		return this.#vms.every(vm => this.#failedChecks.get(vm) === 0);
	}

	/**
	 * Chooses a VM for a new connection at random. Candidates are the ready VMs of the data centre, or all its VMs when fewer
	 * than half are ready, or the ready VMs of all data centres when none of its own is ready.
	 * @param dataCenter - Data centre of the caller.
	 * @param random - Source of random numbers.
	 */
	chooseVm(dataCenter: string, random: Random): VmProcess {
		const local = this.#vms.filter(vm => vm.getDataCenter() === dataCenter);
		const readyLocal = local.filter(vm => (this.#failedChecks.get(vm) ?? failuresUntilUnready) < failuresUntilUnready);
		const allReady = this.#vms.filter(vm => (this.#failedChecks.get(vm) ?? failuresUntilUnready) < failuresUntilUnready);
		const candidates = [readyLocal.length * 2 >= local.length ? readyLocal : local, readyLocal.length === 0 && allReady.length > 0 ? allReady : []].findLast(vms => vms.length > 0)!;
		return candidates[Math.floor(random.getFloat() * candidates.length)]!;
	}

	/** Stops the readiness checks. */
	close(): void {
		clearInterval(this.#timer);
	}

	async #checkVm(vm: VmProcess): Promise<void> {
		const isReady = await isVmReady(vm);
		this.#failedChecks.set(vm, isReady ? 0 : (this.#failedChecks.get(vm) ?? failuresUntilUnready) + 1);
	}
}

async function isVmReady(vm: VmProcess): Promise<boolean> {
	try {
		const res = await request(vm.getReadinessUrl(), {signal: AbortSignal.timeout(checkIntervalMs)});
		await res.body.dump();
		return res.statusCode === 200;
	} catch {
		return false;
	}
}
