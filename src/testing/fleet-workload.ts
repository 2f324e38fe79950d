/**
 * What the tasks of a simulated fleet do to their upstreams.
 */
import {type PoolJobRequest} from '../pool/index.js';
import {type Random} from '../seams/index.js';
import {type FleetFault} from './fleet-faults.js';
import {type SimulatedWork} from './simulated-upstreams.js';

/** Times from the start of a deadly task to the crash of its upstream, and from the crash to the upstream's next start, in milliseconds. */
const minCrashDelayMs = 5;
const crashDelayRangeMs = 295;
const minDownMs = 1000;
const downRangeMs = 3000;

/** Share of deadly jobs while a fault is active: its minimum and range over the faults. */
const minDeadlyShare = 0.05;
const deadlyShareRange = 0.25;

/** Share of fleets whose upstreams start whatever they are told to. */
const unguardedShare = 0.5;

/** Minimum and range of the share of its capacity that a shrunk upstream keeps. */
const minKeptShare = 0.25;
const keptShareRange = 0.5;

/** Interval in which an upstream writes its entry, in milliseconds. */
const entryIntervalMs = 1500;

/** Draws the effects of tasks and of capacities from a source of its own, so that fleets without such faults stay as they are. */
export class FleetWorkload {
	/** Whether the upstreams refuse what exceeds their capacity. */
	readonly isGuarded: boolean;
	/** Names of the tasks that crash their upstreams. */
	readonly deadlyTasks = new Set<string>();
	readonly #random: Random;
	readonly #durations = new Map<string, number>();
	readonly #crashDelays = new Map<string, number>();

	/**
	 * @param random - Source of random numbers.
	 * @param faults - Faults of the fleet.
	 */
	constructor(random: Random, faults: readonly FleetFault[]) {
		this.#random = random;
		const isUnguarded = random.getFloat() < unguardedShare;
		this.isGuarded = !isUnguarded || faults.every(({kind}) => kind !== 'capacity' && kind !== 'deadly');
	}

	/**
	 * Adds a job of one step.
	 * @param job - Job.
	 * @param durationMs - Duration of its tasks, in milliseconds.
	 * @param fault - Fault by which a share of the jobs is deadly; `undefined` for none.
	 */
	addJob({id, steps}: PoolJobRequest, durationMs: number, fault: FleetFault | undefined): void {
		this.#durations.set(id, durationMs);
		if (fault === undefined || this.#random.getFloat() >= minDeadlyShare + (fault.strength * deadlyShareRange)) {
			return;
		}

		const {taskCount} = steps[0]!;
		this.#crashDelays.set(id, minCrashDelayMs + (this.#random.getFloat() * crashDelayRangeMs));
		const deadlyIndex = Math.floor(this.#random.getFloat() * taskCount);
		const areAllDeadly = fault.salt % 2 === 1;
		for (let index = 0; index < taskCount; index++) {
			if (areAllDeadly || index === deadlyIndex) {
				this.deadlyTasks.add(`${id}.0.0.${index}`);
			}
		}
	}

	/**
	 * Gets the work of a task, without its needs.
	 * @param task - Name of the task.
	 */
	getWork(task: string): Omit<SimulatedWork, 'needs'> {
		const job = task.slice(0, task.indexOf('.'));
		return {durationMs: this.#durations.get(job)!, crashesAfterMs: this.deadlyTasks.has(task) ? this.#crashDelays.get(job) : undefined};
	}

	/** Draws the time from a crash until the upstream starts again, in milliseconds, and whether it then has another identifier or another address. */
	drawRestart(): {readonly downMs: number; readonly hasNewId: boolean; readonly hasNewAddress: boolean} {
		return {downMs: minDownMs + (this.#random.getFloat() * downRangeMs), hasNewId: this.#random.getFloat() < 0.5, hasNewAddress: this.#random.getFloat() < 0.5};
	}

	/** Draws the share of its capacity that an upstream keeps. */
	drawKeptShare(): number {
		return minKeptShare + (this.#random.getFloat() * keptShareRange);
	}

	/** Draws the time until the entry of an upstream shows a change, in milliseconds. */
	drawEntryDelayMs(): number {
		return this.#random.getFloat() * entryIntervalMs;
	}
}
