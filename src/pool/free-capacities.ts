/**
 * The free capacities that one pass over the waiting jobs starts tasks in. They are read only as far as the pass needs them: most passes start few
 * tasks, and most of these on upstreams of the own pool.
 */
import {type PlacementCandidate} from '../scheduling/index.js';
import {type NeighbourCapacity} from './lending.js';
import {type TaskNeeds} from './pool-job.js';
import {toCandidate} from './upstream-health.js';
import {type UpstreamLink} from './upstream-link.js';

/** An upstream of the pool as a candidate. */
export type UpstreamCandidate = PlacementCandidate & {readonly link: UpstreamLink};

/** Free capacity of another pool, which decreases with each task that is sent there. */
type RemainingCapacity = NeighbourCapacity & {cpu: number};

/** Holds the free capacities of the upstreams and of the other pools during one pass. */
export class FreeCapacities {
	readonly #getLinks: () => readonly UpstreamLink[];
	readonly #getNeighbourCapacities: () => readonly NeighbourCapacity[];
	/** Candidates by service. */
	#byService: Map<string, UpstreamCandidate[]> | undefined;
	#others: readonly RemainingCapacity[] | undefined;
	/** Largest free CPU of an upstream and of another pool; `undefined` after a start there. */
	#maxUpstreamCpu: number | undefined;
	#maxOtherCpu: number | undefined;

	/**
	 * @param getLinks - Gets the links to the upstreams that tasks may be started on.
	 * @param getNeighbourCapacities - Gets the free capacities of the other pools.
	 */
	constructor(getLinks: () => readonly UpstreamLink[], getNeighbourCapacities: () => readonly NeighbourCapacity[]) {
		this.#getLinks = getLinks;
		this.#getNeighbourCapacities = getNeighbourCapacities;
	}

	/**
	 * Gets the upstreams of a service that tasks may be started on.
	 * @param service - Service.
	 */
	getUpstreams(service: string): readonly UpstreamCandidate[] {
		return this.#getByService().get(service) ?? [];
	}

	/** Gets the free capacities of the other pools. */
	getOfOtherPools(): readonly NeighbourCapacity[] {
		return this.#getOthers();
	}

	/**
	 * Reduces the free capacity of another pool.
	 * @param capacity - Free capacity in which a task was started.
	 * @param cpu - Thousandths of a core that the task takes.
	 */
	reduceOther(capacity: NeighbourCapacity, cpu: number): void {
		this.#getOthers().find(other => other === capacity)!.cpu -= cpu;
		this.#maxOtherCpu = undefined;
	}

	/**
	 * Reads the free capacity of an upstream again.
	 * @param candidate - Candidate on which a task was started.
	 */
	update(candidate: UpstreamCandidate): void {
		const candidates = this.#getByService().get(candidate.link.description.service)!;
		candidates[candidates.indexOf(candidate)] = createCandidate(candidate.link);
		this.#maxUpstreamCpu = undefined;
	}

	/**
	 * Gets the largest free CPU of an upstream or of another pool, in thousandths of a core; the other pools are not read if an upstream has enough.
	 * @param sufficientCpu - What is enough.
	 */
	getMaxCpu(sufficientCpu: number): number {
		this.#maxUpstreamCpu ??= getMax([...this.#getByService().values()].flat().map(({free}) => free.cpu));
		if (this.#maxUpstreamCpu >= sufficientCpu) {
			return this.#maxUpstreamCpu;
		}

		this.#maxOtherCpu ??= getMax(this.#getOthers().map(({cpu}) => cpu));
		return Math.max(this.#maxUpstreamCpu, this.#maxOtherCpu);
	}

	#getOthers(): readonly RemainingCapacity[] {
		this.#others ??= this.#getNeighbourCapacities().map(capacity => ({...capacity}));
		return this.#others;
	}

	/** The upstreams are read after those for suspects are reserved. */
	#getByService(): ReadonlyMap<string, UpstreamCandidate[]> {
		if (this.#byService === undefined) {
			this.#byService = new Map();
			for (const link of this.#getLinks()) {
				const {service} = link.description;
				const candidates = this.#byService.get(service) ?? [];
				candidates.push(createCandidate(link));
				this.#byService.set(service, candidates);
			}
		}

		return this.#byService;
	}
}

function getMax(values: readonly number[]): number {
	let largest = 0;
	for (const value of values) {
		largest = Math.max(largest, value);
	}

	return largest;
}

function createCandidate(link: UpstreamLink): UpstreamCandidate {
	return {...toCandidate(link), link};
}

/**
 * Gets the thousandths of a core that are free for tasks: none while what runs exceeds any part of a capacity that has shrunk.
 * @param free - Free capacity.
 */
export function getUsableCpu({cpu, memoryMb, accelerators}: TaskNeeds): number {
	return memoryMb < 0 || accelerators < 0 ? 0 : Math.max(0, cpu);
}
