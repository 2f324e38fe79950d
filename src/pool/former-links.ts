/**
 * Links of a new owner to instances of upstreams that are listed at another address now: earlier owners may have runs there.
 */
import {type Clock} from '../seams/index.js';
import {type UpstreamLink} from './upstream-link.js';
import {type UpstreamDescription} from './upstream-orders.js';

/** Options of {@link FormerLinks}. */
export type FormerLinksOptions = {
	readonly clock: Clock;
	/** Time for which a link is kept at least, in milliseconds: longer than the leases that earlier owners may have granted. */
	readonly retentionMs: number;
	readonly createLink: (upstream: UpstreamDescription) => UpstreamLink;
	/** Gets the link to the listed instance of an upstream. */
	readonly getListedLink: (id: string) => UpstreamLink | undefined;
	readonly onRemoved: (link: UpstreamLink) => void;
};

/** Margin of the timers, which may fire a fraction of a millisecond early, in milliseconds. */
const timerMarginMs = 1;

/** A link and the monotonic time from which it may be removed. */
type Entry = {readonly link: UpstreamLink; readonly removableAt: number};

/** Holds the links to former instances until nothing of an earlier owner can run there. Nothing is started on them. */
export class FormerLinks {
	readonly #options: FormerLinksOptions;
	readonly #entries = new Map<string, Entry>();
	/** Former instances on which nothing of an earlier owner runs. */
	readonly #cleared = new Set<string>();

	constructor(options: FormerLinksOptions) {
		this.#options = options;
	}

	/** Gets the links. */
	getLinks(): readonly UpstreamLink[] {
		return [...this.#entries.values()].map(({link}) => link);
	}

	/**
	 * Adds links to the former instances that are not known yet, and removes those that are no longer needed.
	 * @param upstreams - Former instances that are known now.
	 */
	setUpstreams(upstreams: readonly UpstreamDescription[]): void {
		const keys = new Set(upstreams.map(upstream => getKey(upstream)));
		for (const key of this.#cleared) {
			if (!keys.has(key)) {
				this.#cleared.delete(key);
			}
		}

		for (const upstream of upstreams) {
			const key = getKey(upstream);
			const isListed = this.#options.getListedLink(upstream.id)?.description.address === upstream.address;
			if (!isListed && !this.#entries.has(key) && !this.#cleared.has(key)) {
				this.add(this.#options.createLink(upstream));
			}
		}

		this.prune();
	}

	/**
	 * Adds a link to an instance that is no longer the listed one.
	 * @param link - Link; nothing is started on it any more.
	 */
	add(link: UpstreamLink): void {
		const {clock, retentionMs} = this.#options;
		link.description = {...link.description, isLeaving: true};
		this.#entries.set(getKey(link.description), {link, removableAt: clock.getMonotonicTime() + retentionMs});
		clock.setTimer(() => {
			this.prune();
		}, retentionMs + timerMarginMs);
	}

	/**
	 * Takes out the link to an instance that is listed again.
	 * @param upstream - Listed instance.
	 */
	take(upstream: UpstreamDescription): UpstreamLink | undefined {
		const key = getKey(upstream);
		const link = this.#entries.get(key)?.link;
		this.#entries.delete(key);
		return link;
	}

	/**
	 * Records that nothing runs on a former instance.
	 * @param upstream - Former instance.
	 */
	setCleared(upstream: UpstreamDescription): void {
		this.#cleared.add(getKey(upstream));
	}

	/** Removes the links to instances on which nothing runs, and those to instances that are listed at a new address of their own. */
	prune(): void {
		const now = this.#options.clock.getMonotonicTime();
		for (const [key, {link, removableAt}] of this.#entries) {
			const isEnded = now >= removableAt && link.isIdle();
			if (isEnded || this.#isDuplicate(link)) {
				this.#entries.delete(key);
				this.#cleared.add(key);
				link.close();
				this.#options.onRemoved(link);
			}
		}
	}

	/** Closes all links. */
	close(): void {
		for (const link of this.getLinks()) {
			link.close();
		}
	}

	/** Gets whether the listed link reaches the same instance, so that its polls show all runs. */
	#isDuplicate(link: UpstreamLink): boolean {
		const listed = this.#options.getListedLink(link.name);
		return listed !== undefined && listed.getLastPollAt() > -Infinity && listed.description.bornMs === link.description.bornMs && [...link.getRuns()].length === 0;
	}
}

function getKey({id, address}: UpstreamDescription): string {
	return JSON.stringify([id, address]);
}
