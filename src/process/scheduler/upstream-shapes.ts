/**
 * Sets of upstreams that fit the needs of tasks.
 */
import {type ListedUpstream} from '../../platform/index.js';
import {type TaskNeeds} from '../task-scheduler.js';
import {fitsNeeds} from './upstream-entry.js';

/** Different needs whose shape is remembered. */
const maxKnownNeeds = 1000;

/**
 * Groups tasks by the set of upstreams that fit their declared needs, so that queues are few. A shape lists the
 * resources of the upstreams that fit; it is empty when none does.
 * @internal
 */
export class UpstreamShapes {
	#examples = new Map<string, ListedUpstream>();
	#live: ReadonlySet<string> = new Set();
	readonly #members = new Map<string, ReadonlySet<string>>();
	readonly #shapesByNeeds = new Map<string, string>();

	/**
	 * Takes a new list of upstreams; true when the kinds of upstreams changed.
	 * @param upstreams - Upstreams of the service.
	 */
	setUpstreams(upstreams: readonly ListedUpstream[]): boolean {
		const examples = new Map(upstreams.map(upstream => [getResources(upstream), upstream]));
		const isChanged = examples.size !== this.#examples.size || [...examples.keys()].some(key => !this.#examples.has(key));
		this.#examples = examples;
		this.#shapesByNeeds.clear();
		this.#live = new Set(upstreams.filter(upstream => upstream.state === 'live').map(upstream => getResources(upstream)));
		return isChanged;
	}

	/**
	 * Gets the shape of a task.
	 * @param needs - Needs that the task declares.
	 */
	getShape(needs: TaskNeeds): string {
		const key = `${needs.cores ?? 0}/${needs.memoryMb ?? 0}/${needs.accelerators ?? 0}`;
		const known = this.#shapesByNeeds.get(key);
		if (known !== undefined) {
			return known;
		}

		const shape = this.#computeShape(needs);
		if (this.#shapesByNeeds.size >= maxKnownNeeds) {
			this.#shapesByNeeds.clear();
		}

		this.#shapesByNeeds.set(key, shape);
		return shape;
	}

	/** Tells whether an upstream is listed that takes work. */
	hasLiveUpstream(): boolean {
		return this.#live.size > 0;
	}

	/**
	 * Tells whether some listed upstream fits a task.
	 * @param needs - Needs that the task declares.
	 */
	isRunnable(needs: TaskNeeds): boolean {
		return this.getShape(needs) !== '';
	}

	/**
	 * Tells whether an upstream that takes work is listed for a shape.
	 * @param shape - Shape of the tasks.
	 */
	hasLiveUpstreamFor(shape: string): boolean {
		return [...this.#members.get(shape)!].some(key => this.#live.has(key));
	}

	/**
	 * Tells whether an upstream fits a shape.
	 * @param shape - Shape of the task.
	 * @param upstream - Upstream to check.
	 */
	fits(shape: string, upstream: ListedUpstream): boolean {
		return this.#members.get(shape)!.has(getResources(upstream));
	}

	/**
	 * Tells whether one of some upstreams fits a shape.
	 * @param shape - Shape of the task.
	 * @param entries - Upstreams to check.
	 */
	fitsAny(shape: string, entries: ReadonlyArray<{readonly listed: ListedUpstream}>): boolean {
		return entries.some(({listed}) => this.fits(shape, listed));
	}

	#computeShape(needs: TaskNeeds): string {
		const fitting = [...this.#examples].filter(([, upstream]) => fitsNeeds(upstream, needs));
		const shape = fitting.map(([key]) => key).toSorted((a, b) => a < b ? -1 : 1).join(' ');
		if (!this.#members.has(shape)) {
			this.#members.set(shape, new Set(shape.split(' ')));
		}

		return shape;
	}
}

const resources = new WeakMap<ListedUpstream, string>();

function getResources(upstream: ListedUpstream): string {
	const known = resources.get(upstream);
	if (known !== undefined) {
		return known;
	}

	const created = formatResources(upstream);
	resources.set(upstream, created);
	return created;
}

function formatResources(upstream: ListedUpstream): string {
	return `${upstream.cores}/${upstream.memoryMb}/${upstream.accelerators}`;
}
