/**
 * Placement of tasks under which an upstream has crashed: each runs by itself, so that a further crash proves which task is at fault and takes no
 * other with it.
 */
import {chooseUpstream} from '../scheduling/index.js';
import {type Clock} from '../seams/index.js';
import {type CrashLedger} from './crash-ledger.js';
import {type JobStep} from './pool-job.js';
import {toCandidate} from './upstream-health.js';
import {type UpstreamLink} from './upstream-link.js';

/** A suspect that waits for its start. */
export type WaitingSuspect = {
	readonly step: JobStep;
	readonly service: string;
	/** Names of upstreams to avoid if there are others. */
	readonly avoided: ReadonlySet<string>;
	/** Starts it on an upstream of the pool. */
	readonly start: (link: UpstreamLink) => void;
	/** Starts it in another pool, if there is room. */
	readonly lend: () => void;
};

/** Options of {@link SuspectPlacement}. */
export type SuspectPlacementOptions = {
	readonly clock: Clock;
	readonly ledger: CrashLedger;
	/** Gets the links to the pool's upstreams. */
	readonly getLinks: () => readonly UpstreamLink[];
};

/** Largest share of a service's upstreams in the pool that run suspects or are reserved for them; one upstream in small pools. */
const maxShare = 0.25;

/** Time after which verdicts are read again that may have changed with time alone, in milliseconds. */
const maxVerdictAgeMs = 20;

/** Whether suspects run on an upstream, as long as neither its runs nor the failed runs change. */
type SuspectRuns = {readonly areFound: boolean; readonly ledgerRevision: number; readonly runsRevision: number; readonly validUntil: number};

/** Starts suspects on upstreams that run nothing else, and reserves upstreams for them where none is idle. */
export class SuspectPlacement {
	readonly #options: SuspectPlacementOptions;
	#reserved: ReadonlySet<UpstreamLink> = new Set();
	/** What was last found of an upstream, which is asked for several times in each pass. */
	readonly #suspectRuns = new WeakMap<UpstreamLink, SuspectRuns>();

	constructor(options: SuspectPlacementOptions) {
		this.#options = options;
	}

	/**
	 * Gets whether other tasks may start on an upstream: it neither runs a suspect nor is reserved for one.
	 * @param link - Upstream.
	 */
	isOpen(link: UpstreamLink): boolean {
		return !this.#reserved.has(link) && !this.#hasSuspectRun(link);
	}

	/**
	 * Starts the waiting suspects for which an upstream is idle, and reserves the least busy upstreams for the others; the reservations last until
	 * the next call.
	 * @param suspects - Waiting suspects, the most urgent first.
	 */
	place(suspects: readonly WaitingSuspect[]): void {
		if (suspects.length === 0) {
			this.#reserved = new Set();
			return;
		}

		const links = this.#options.getLinks();
		// The runs of an upstream that does not answer wait for the end of their lease and are not suspects at work.
		const taken = new Set(links.filter(link => !link.isSilent() && this.#hasSuspectRun(link)));
		const reserved = new Set<UpstreamLink>();
		// Hundreds of tasks of a step may have been lost with one upstream.
		const usableByStep = new Map<JobStep, readonly UpstreamLink[]>();
		for (const suspect of suspects) {
			const usable = usableByStep.get(suspect.step) ?? getUsableLinks(links, suspect);
			usableByStep.set(suspect.step, usable);
			if (usable.length === 0) {
				suspect.lend();
				continue;
			}

			const inUse = [...taken, ...reserved].filter(({description}) => description.service === suspect.service).length;
			if (inUse >= Math.max(1, Math.floor(usable.length * maxShare))) {
				continue;
			}

			const available = this.#sort(usable.filter(link => !taken.has(link) && !reserved.has(link)), suspect);
			const idle = chooseIdle(available, suspect);
			if (idle !== undefined) {
				suspect.start(idle);
				taken.add(idle);
			} else if (available.length > 0) {
				reserved.add(available[0]!);
			}
		}

		this.#reserved = reserved;
	}

	/**
	 * Gets the upstreams on which a suspect of another pool may start now.
	 * @param suspect - Suspect.
	 */
	getIdleLinks(suspect: Pick<WaitingSuspect, 'step' | 'service'>): readonly UpstreamLink[] {
		return getUsableLinks(this.#options.getLinks(), suspect).filter(link => link.isIdle() && this.isOpen(link));
	}

	#hasSuspectRun(link: UpstreamLink): boolean {
		const {ledger, clock} = this.#options;
		if (ledger.isEmpty()) {
			return false;
		}

		const now = clock.getMonotonicTime();
		const known = this.#suspectRuns.get(link);
		if (known?.ledgerRevision === ledger.revision && known.runsRevision === link.runsRevision && now < known.validUntil) {
			return known.areFound;
		}

		let areFound = false;
		for (const {task} of link.getRuns()) {
			if (ledger.getVerdict(task) !== 'clear') {
				areFound = true;
				break;
			}
		}

		this.#suspectRuns.set(link, {
			areFound, ledgerRevision: ledger.revision, runsRevision: link.runsRevision, validUntil: now + maxVerdictAgeMs,
		});
		return areFound;
	}

	/** Sorts upstreams by how soon they suit a suspect; one that is reserved already comes before others. */
	#sort(links: readonly UpstreamLink[], {avoided}: WaitingSuspect): readonly UpstreamLink[] {
		const getCost = (link: UpstreamLink): readonly number[] => [
			Number(avoided.has(link.name)), Number(!this.#reserved.has(link)), link.description.capacity.cpu - link.getFreeCapacity().cpu,
		];
		const costs = new Map(links.map(link => [link, getCost(link)]));
		return links.toSorted((a, b) => compare(costs.get(a)!, costs.get(b)!));
	}
}

/** Gets the upstreams that accept starts and that a suspect fits when they are idle. */
function getUsableLinks(links: readonly UpstreamLink[], {step, service}: Pick<WaitingSuspect, 'step' | 'service'>): readonly UpstreamLink[] {
	return links.filter(link => link.description.service === service && link.isAcceptingStarts()
		&& chooseUpstream(step, [{...toCandidate(link), free: link.description.capacity}]) !== undefined);
}

function chooseIdle(links: readonly UpstreamLink[], {step, avoided}: WaitingSuspect): UpstreamLink | undefined {
	const idle = links.filter(link => link.isIdle());
	const preferred = idle.filter(({name}) => !avoided.has(name));
	const chosen = chooseUpstream(step, (preferred.length > 0 ? preferred : idle).map(link => toCandidate(link)));
	return idle.find(({name}) => name === chosen?.id);
}

function compare(a: readonly number[], b: readonly number[]): number {
	const position = a.findIndex((value, index) => value !== b[index]);
	return position === -1 ? 0 : a[position]! - b[position]!;
}
