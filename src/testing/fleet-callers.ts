/**
 * Callers of a simulated fleet: each brings a job to a VM, and sends it again under the same identifier where the VM breaks off.
 */
import {type PoolJobOutcome, type PoolJobRequest} from '../pool/index.js';
import {type Clock, type Random, sleep} from '../seams/index.js';
import {type FleetVm} from './fleet-vm.js';

/** How a send ended for the caller. `left`: it waited no longer. `broken`: its connection ended. */
export type SendOutcome = PoolJobOutcome['kind'] | 'left' | 'broken';

/** One send of a job. */
export type FleetSend = {
	readonly job: string;
	readonly taskCount: number;
	readonly vm: string;
	readonly sentAt: number;
	endedAt: number;
	outcome: SendOutcome | undefined;
};

/** Options of {@link FleetCallers}. */
export type FleetCallersOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** Gets the incarnations that run, by the names of their VMs. */
	readonly getVms: () => ReadonlyMap<string, FleetVm>;
	/** Takes the duration of a job's tasks, in milliseconds. */
	readonly addWork: (job: string, durationMs: number) => void;
};

/** Durations of tasks, and thousandths of a core of each: half an upstream's room. */
const durationsMs = [60, 200, 900] as const;
const taskCpu = 8000;
const maxTasks = 8;

/** Time until a caller waits no longer, until it sends again, and of one way, in milliseconds. */
const deadlineMs = 1500;
const resendMs = 1300;
const wayMs = 1;

/** Time after the deadline for which a VM waits for a late answer, in milliseconds: it ends some time before the next send. */
const lateMs = 900;

/** Share of callers that leave before their deadline. */
const leaverShare = 0.08;
const maxSends = 3;
const idBytes = 8;

/** Brings jobs and notes what callers see. */
export class FleetCallers {
	readonly sends: FleetSend[] = [];
	readonly #options: FleetCallersOptions;
	/** What ends the connections to each incarnation. */
	readonly #connections = new Map<FleetVm, Set<() => void>>();

	constructor(options: FleetCallersOptions) {
		this.#options = options;
	}

	/** Brings one job. */
	async call(): Promise<void> {
		const {clock, random} = this.#options;
		const job = this.#createJob();
		const patienceMs = random.getFloat() < leaverShare ? 50 + (random.getFloat() * 800) : deadlineMs;
		let lastVm = '';
		for (let count = 0; count < maxSends; count++) {
			const chosen = this.#chooseVm(lastVm);
			if (chosen === undefined) {
				return;
			}

			const [name, vm] = chosen;
			const send: FleetSend = {
				job: job.id, taskCount: job.steps[0]!.taskCount, vm: name, sentAt: clock.getMonotonicTime(), endedAt: Infinity, outcome: undefined,
			};
			this.sends.push(send);
			send.outcome = await this.#send(vm, job, patienceMs);
			send.endedAt = clock.getMonotonicTime();
			if (send.outcome !== 'broken' && send.outcome !== 'interrupted' && send.outcome !== 'moved') {
				return;
			}

			lastVm = name;
			await sleep(clock, resendMs);
		}
	}

	/**
	 * Ends the connections to an incarnation that has ended.
	 * @param vm - Incarnation.
	 */
	handleEnded(vm: FleetVm): void {
		for (const breakOff of this.#connections.get(vm) ?? []) {
			breakOff();
		}
	}

	#chooseVm(except: string): readonly [name: string, vm: FleetVm] | undefined {
		const {random, getVms} = this.#options;
		const vms = [...getVms()].filter(([name]) => name !== except);
		return vms[Math.floor(random.getFloat() * vms.length)];
	}

	#createJob(): PoolJobRequest {
		const {random, addWork} = this.#options;
		const id = random.getHex(idBytes);
		const durationMs = durationsMs[Math.floor(random.getFloat() * durationsMs.length)]!;
		const taskCount = 1 + Math.floor(random.getFloat() * maxTasks);
		addWork(id, durationMs);
		return {
			id,
			spec: 'work',
			steps: [{
				taskCount, needs: {cpu: taskCpu, memoryMb: 64, accelerators: 0}, estimateMs: durationMs, after: [],
			}],
			rules: {
				route: `r${durationMs}`, service: 's', priority: Math.floor(random.getFloat() * 2), maxAttempts: 3, stretch: 1.6, slackMs: 200,
			},
		};
	}

	async #send(vm: FleetVm, job: PoolJobRequest, patienceMs: number): Promise<SendOutcome> {
		const {clock} = this.#options;
		return new Promise(resolve => {
			const controller = new AbortController();
			const connections = this.#connections.get(vm) ?? new Set();
			this.#connections.set(vm, connections);
			const end = (outcome: SendOutcome): void => {
				connections.delete(breakOff);
				timer.close();
				resolve(outcome);
			};

			const breakOff = (): void => {
				end('broken');
			};

			const timer = clock.setTimer(() => {
				end('left');
				clock.setTimer(() => {
					vm.process.dispatch(() => {
						controller.abort();
					});
				}, wayMs);
			}, patienceMs);
			connections.add(breakOff);
			clock.setTimer(() => {
				vm.process.dispatch(() => {
					void this.#submit(vm, job, controller, end);
				});
			}, wayMs);
		});
	}

	async #submit(vm: FleetVm, job: PoolJobRequest, controller: AbortController, end: (outcome: SendOutcome) => void): Promise<void> {
		vm.openCount++;
		const timer = vm.process.setTimer(() => {
			controller.abort();
		}, deadlineMs + lateMs);
		const {kind} = await vm.node.submit(job, deadlineMs, controller.signal);
		timer.close();
		vm.openCount--;
		this.#options.clock.setTimer(() => {
			end(kind);
		}, wayMs);
	}
}
