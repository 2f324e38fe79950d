/**
 * Grouping of tasks by the upstreams that satisfy their needs.
 */
import {type ListedUpstream} from '../../platform/index.js';
import {type TaskNeeds} from '../task-scheduler.js';
import {fitsNeeds} from './upstream-entry.js';

/** Maximum number of different needs whose shape is cached. */
const maxCachedNeeds = 1000;

/**
 * Groups tasks by the set of upstreams that satisfy their declared needs, which keeps the number of queues low. A shape
 * lists the resources of these upstreams; it is empty when there are none.
 * @internal
 */
export class UpstreamShapes {
	#upstreamsByResources = new Map<string, ListedUpstream>();
	#liveResources: ReadonlySet<string> = new Set();
	readonly #resourcesByShape = new Map<string, ReadonlySet<string>>();
	readonly #shapesByNeeds = new Map<string, string>();

	/**
	 * Updates the upstreams; returns whether the set of their different resources changed.
	 * @param upstreams - All upstreams of the service.
	 */
	setUpstreams(upstreams: readonly ListedUpstream[]): boolean {
		const upstreamsByResources = new Map(upstreams.map(upstream => [getResourceKey(upstream), upstream]));
		const isChanged = upstreamsByResources.size !== this.#upstreamsByResources.size || [...upstreamsByResources.keys()].some(key => !this.#upstreamsByResources.has(key));
		this.#upstreamsByResources = upstreamsByResources;
		this.#shapesByNeeds.clear();
		this.#liveResources = new Set(upstreams.filter(upstream => upstream.state === 'live').map(upstream => getResourceKey(upstream)));
		return isChanged;
	}

	/**
	 * Gets the shape of a task.
	 * @param needs - Declared needs of the task.
	 */
	getShape(needs: TaskNeeds): string {
		const key = `${needs.cores ?? 0}/${needs.memoryMb ?? 0}/${needs.accelerators ?? 0}`;
		const cachedShape = this.#shapesByNeeds.get(key);
		if (cachedShape !== undefined) {
			return cachedShape;
		}

		const shape = this.#computeShape(needs);
		if (this.#shapesByNeeds.size >= maxCachedNeeds) {
			this.#shapesByNeeds.clear();
		}

		this.#shapesByNeeds.set(key, shape);
		return shape;
	}

	/** Gets whether a live upstream is listed. */
	hasLiveUpstream(): boolean {
		return this.#liveResources.size > 0;
	}

	/**
	 * Gets whether some listed upstream fits a task.
	 * @param needs - Declared needs of the task.
	 */
	isRunnable(needs: TaskNeeds): boolean {
		return this.getShape(needs) !== '';
	}

	/**
	 * Gets whether a live upstream that fits a shape is listed.
	 * @param shape - Shape of the tasks.
	 */
	hasLiveUpstreamFor(shape: string): boolean {
		return [...this.#resourcesByShape.get(shape)!].some(key => this.#liveResources.has(key));
	}

	/**
	 * Gets whether an upstream fits a shape.
	 * @param shape - Shape of the task.
	 * @param upstream - Upstream to check.
	 */
	fits(shape: string, upstream: ListedUpstream): boolean {
		return this.#resourcesByShape.get(shape)!.has(getResourceKey(upstream));
	}

	/**
	 * Gets whether at least one of the given upstreams fits a shape.
	 * @param shape - Shape of the task.
	 * @param entries - Upstreams to check.
	 */
	fitsAny(shape: string, entries: ReadonlyArray<{readonly listed: ListedUpstream}>): boolean {
		return entries.some(({listed}) => this.fits(shape, listed));
	}

	#computeShape(needs: TaskNeeds): string {
		const fitting = [...this.#upstreamsByResources].filter(([, upstream]) => fitsNeeds(upstream, needs));
		const shape = fitting.map(([key]) => key).toSorted((a, b) => a < b ? -1 : 1).join(' ');
		if (!this.#resourcesByShape.has(shape)) {
			this.#resourcesByShape.set(shape, new Set(shape.split(' ')));
		}

		return shape;
	}
}

const resourceKeys = new WeakMap<ListedUpstream, string>();

function getResourceKey(upstream: ListedUpstream): string {
	const cachedKey = resourceKeys.get(upstream);
	if (cachedKey !== undefined) {
		return cachedKey;
	}

	const created = formatResourceKey(upstream);
	resourceKeys.set(upstream, created);
	return created;
}

function formatResourceKey(upstream: ListedUpstream): string {
	return `${upstream.cores}/${upstream.memoryMb}/${upstream.accelerators}`;
}
